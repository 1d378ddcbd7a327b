//! Calls whose request was running when servers crashed: whether they are rejected, where they run,
//! and when they are not sent again.
//!
//! The rules are in [`seamhatch_core::crashes`].

use super::Dispatcher;
use crate::base::clock;
use crate::filters::Rejection;
use crate::peer::PeerConnection;
use crate::snapshot::Server;
use seamhatch_core::balance::{Candidate, CandidateStatus};
use seamhatch_core::crashes::{LostRun, SuspectStanding, forbids_resend, runs_isolated, server_for_suspect};
use seamhatch_core::outcome::Reason;
use seamhatch_wire::{PeerMessage, Refusal};

impl Dispatcher<'_> {
    /// Rejects a condemned request.
    pub(super) fn check_suspect(&self) -> Result<(), Rejection> {
        let SuspectStanding::Condemned { crashes, .. } = self.shared.suspects.standing(self.digest) else {
            return Ok(());
        };
        let detail = format!(
            "this request was at work when {crashes} servers crashed, so it is not run for now; an operator can clear {}",
            self.digest
        );
        let pause = self.shared.suspects.pause_left(self.digest);
        Err(Rejection::not_run(Reason::CrashesServers, detail).retry_after(pause))
    }

    /// Reports the evidence against the request to the server's daemon, ahead of the call.
    pub(super) fn report_evidence(&self, connection: &PeerConnection) {
        if self.shared.suspects.standing(self.digest).crashes() > 0 {
            let reports = self.shared.suspects.reports(&[self.digest]);
            connection.send(PeerMessage::Suspects(reports));
        }
    }

    /// Describes an attempt that is about to be sent, as evidence against its request in case the
    /// receiving daemon is lost.
    pub(super) fn new_run(&self) -> LostRun {
        let crashes = self.shared.suspects.standing(self.digest).crashes();
        LostRun { request: self.digest, sent: clock::now(), isolated: runs_isolated(crashes) }
    }

    /// Reports a run, and those that were lost with it, as evidence against their requests if the
    /// daemon that received them has ended. This comes before the answer to the caller, whose next
    /// attempt may follow at once.
    pub(super) async fn report_lost_daemon(&self, connection: &PeerConnection, run: LostRun) {
        let runs = connection.record_lost_run(run).await;
        if !runs.is_empty() {
            self.shared.crash_context().record_lost_daemon(connection.address, connection.incarnation, &runs);
        }
    }

    /// Whether the loss of a daemon shows that the request has crashed too many servers for the
    /// call to be sent again.
    pub(super) fn loss_forbids_resend(&self) -> bool {
        forbids_resend(Reason::PeerLost, self.shared.suspects.standing(self.digest).crashes())
    }

    /// Whether a refusal shows that the request has crashed too many servers for the call to be
    /// sent again.
    pub(super) fn refusal_forbids_resend(&self, refusal: &Refusal) -> bool {
        let known = self.shared.suspects.standing(self.digest).crashes();
        forbids_resend(refusal.reason, known.max(refusal.crashes))
    }

    /// Returns the index of the server that runs a suspect. All daemons choose the same server, so
    /// that its daemon sees all copies of the request and runs one at a time.
    pub(super) fn server_for_suspect(&self, servers: &[&Server], candidates: &[Candidate]) -> Option<usize> {
        let SuspectStanding::Suspect { .. } = self.shared.suspects.standing(self.digest) else { return None };
        let usable = candidates.iter().map(|candidate| candidate.status == CandidateStatus::Available);
        let indices: Vec<usize> =
            (0..servers.len()).zip(usable).filter(|(_, usable)| *usable).map(|(i, _)| i).collect();
        let key = |index: &usize| servers[*index].peer.to_string().into_bytes();
        server_for_suspect(self.digest, indices.iter(), key).copied()
    }
}
