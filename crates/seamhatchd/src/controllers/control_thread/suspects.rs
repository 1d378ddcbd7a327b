//! Telling all daemons which requests were at work when servers crashed.
//!
//! News goes to the live members that need it at once, in datagrams, and once more a little later, as some are lost. What is missed even so
//! comes with the exchanges of member lists, and a daemon that starts asks for one before it serves.

use super::ControlThread;
use crate::base::clock;
use crate::controllers::follow::remember_condemned;
use seamhatch_core::Instant;
use seamhatch_core::clock::{MILLISECOND, Microseconds, SECOND};
use seamhatch_core::identity::RequestDigest;
use seamhatch_core::membership::{GossipBody, GossipMessage, SUSPECTS_PER_MESSAGE};

/// News is told a second time after this long: a link that lost the first may be over what made it lose.
const TELL_AGAIN: Microseconds = 300 * MILLISECOND;
/// Records that an exchange of member lists brings along, those with the most crashes: eight datagrams.
const RECORDS_PER_EXCHANGE: usize = 8 * SUSPECTS_PER_MESSAGE;
/// Time between two looks for records that are too old to count.
const FORGET_INTERVAL: Microseconds = 10 * SECOND;

/// What is to be told a second time, and when.
#[derive(Debug, Default)]
pub(super) struct SuspectNews {
    again: Vec<(Instant, Vec<RequestDigest>)>,
    next_forget: Instant,
}

impl ControlThread {
    pub(super) fn suspects_changed(&mut self, requests: Vec<RequestDigest>) {
        self.tell_suspects(&requests);
        self.suspect_news.again.push((clock::now().plus(TELL_AGAIN), requests));
    }

    /// Has it remembered past the end of all daemons that requests are condemned.
    pub(super) fn condemned(&self, requests: Vec<RequestDigest>) {
        let Some(followed) = self.followed().cloned() else { return };
        tokio::spawn(remember_condemned(self.shared.clone(), followed, requests));
    }

    pub(super) fn tell_suspects_again(&mut self, now: Instant) {
        let due: Vec<_> = self.suspect_news.again.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, requests) in due {
            self.tell_suspects(&requests);
        }
        if now >= self.suspect_news.next_forget {
            self.suspect_news.next_forget = now.plus(FORGET_INTERVAL);
            self.shared.suspects.forget_old();
        }
    }

    /// Takes in what a datagram tells of suspects, and answers an exchange with what is known here.
    pub(super) fn note_suspects(&mut self, message: &GossipMessage) {
        match &message.body {
            GossipBody::Suspects(reports) => self.shared.suspects.merge(reports),
            GossipBody::SyncRequest { .. } => {
                let reports = self.shared.suspects.heaviest(RECORDS_PER_EXCHANGE);
                let outgoing = self.membership.state.tell_suspects(&[message.from], &reports);
                self.membership.send_all(outgoing);
            }
            _ => {}
        }
    }

    fn tell_suspects(&self, requests: &[RequestDigest]) {
        let reports = self.shared.suspects.reports(requests);
        let outgoing = self.membership.state.spread_suspects(&reports);
        self.membership.send_all(outgoing);
    }
}
