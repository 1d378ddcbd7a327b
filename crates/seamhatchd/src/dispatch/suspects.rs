//! Calls whose request was at work when servers crashed.

use super::Dispatcher;
use crate::filters::Rejection;
use crate::peer::PeerConnection;
use crate::server::crashes::time_until_trial;
use crate::snapshot::Server;
use seamhatch_core::balance::{Candidate, CandidateStanding};
use seamhatch_core::crashes::SuspectStanding;
use seamhatch_core::outcome::Reason;
use seamhatch_core::rendezvous;
use seamhatch_wire::{PeerMessage, Refusal};

/// Crashes after which a request isn't sent again within the same try. One is most often an accident, and a repeat at once
/// saves the many calls that were at work beside the cause; what was there twice goes on at its caller's next attempt.
const CRASHES_PER_TRY: u32 = 2;

impl Dispatcher<'_> {
    /// Turns a condemned request away.
    pub(super) fn check_suspect(&self) -> Result<(), Rejection> {
        let SuspectStanding::Condemned { crashes, .. } = self.shared.suspects.standing(self.digest) else {
            return Ok(());
        };
        let detail = format!(
            "this request was at work when {crashes} servers crashed, so it is not run for now; an operator can clear {}",
            self.digest
        );
        let pause = time_until_trial(self.shared, self.digest);
        Err(Rejection::not_run(Reason::CrashesServers, detail).retry_after(pause))
    }

    /// Tells the daemon beside the server what is known of the request, ahead of the call.
    pub(super) fn tell_suspicion(&self, connection: &PeerConnection) {
        if self.shared.suspects.standing(self.digest).crashes() > 0 {
            let reports = self.shared.suspects.reports(&[self.digest]);
            connection.send(PeerMessage::Suspects(reports));
        }
    }

    /// Whether a refusal tells that the request has crashed too many servers to be sent again in this try.
    pub(super) fn crashes_too_much(&self, refusal: &Refusal) -> bool {
        let known = self.shared.suspects.standing(self.digest).crashes();
        refusal.reason == Reason::BackendCrashed && known.max(refusal.crashes) >= CRASHES_PER_TRY
    }

    /// The index of the server that runs a suspect. All daemons choose the same one, so that the daemon beside it sees all
    /// copies and lets one run at a time.
    pub(super) fn home_of_suspect(&self, servers: &[&Server], candidates: &[Candidate]) -> Option<usize> {
        let SuspectStanding::Suspect { .. } = self.shared.suspects.standing(self.digest) else { return None };
        let usable = candidates.iter().map(|candidate| candidate.standing == CandidateStanding::Usual);
        let indices: Vec<usize> =
            (0..servers.len()).zip(usable).filter(|(_, usable)| *usable).map(|(i, _)| i).collect();
        let key = |index: &usize| servers[*index].peer.to_string().into_bytes();
        rendezvous::choose(self.digest.0, indices.iter(), key, 1).first().map(|index| **index)
    }
}
