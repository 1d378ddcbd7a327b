//! States of the claims protocol: witnesses, attempts, and how far the change of the roster has come.

use seamhatch_core::Instant;
use seamhatch_core::claims::{Claim, ClaimHolder, ClaimKey, ClaimReply, Epoch, Witness};
use seamhatch_core::identity::{Address, Fingerprint, Incarnation};
use seamhatch_core::roster::{Assignment, WitnessId};
use std::net::{IpAddr, Ipv4Addr};

/// The key that all attempts claim.
pub(super) const KEY: ClaimKey = ClaimKey(7);
/// Processes that may be witnesses.
pub(super) const PROCESSES: usize = 4;
/// Witnesses of an epoch.
pub(super) const WITNESSES: usize = 3;
/// The search has no clock: nothing is forgotten.
pub(super) const NOW: Instant = Instant(0);

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum Phase {
    Idle,
    Asking,
    Won,
    Dispatched,
    /// Won, then refused: its caller got `not-run`.
    GivenUp,
    /// Did not win: its caller got `unknown` or `duplicate`.
    Lost,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Attempt {
    pub(super) phase: Phase,
    pub(super) epoch: u64,
    /// Replies so far, by place in the epoch's assignment.
    pub(super) replies: [Option<ClaimReply>; WITNESSES],
}

/// A state of the claims protocol.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClaimsState {
    pub(super) witnesses: [Witness; PROCESSES],
    pub(super) incarnations: [u8; PROCESSES],
    pub(super) attempts: Vec<Attempt>,
    pub(super) changing: bool,
    pub(super) sealed: [Option<Vec<Claim>>; WITNESSES],
    pub(super) restarts_left: u8,
    pub(super) late_messages_left: u8,
    pub(super) told_not_run_wrongly: bool,
}

impl ClaimsState {
    /// A late message that changes nothing costs nothing of the bound.
    pub(super) fn count_late_message(&mut self, before: &Self) {
        if self.witnesses != before.witnesses {
            self.late_messages_left = self.late_messages_left.saturating_sub(1);
        }
    }

    /// Ends the asking; what an attempt that has decided heard no longer matters.
    pub(super) fn settle(&mut self, attempt: usize, phase: Phase) {
        self.attempts[attempt].phase = phase;
        self.attempts[attempt].replies = [None; WITNESSES];
    }
}

pub(super) fn holder(attempt: usize) -> ClaimHolder {
    ClaimHolder { daemon: address(100), incarnation: Incarnation(1), attempt: attempt as u64 + 1 }
}

pub(super) fn address(number: u8) -> Address {
    Address { ip: IpAddr::V4(Ipv4Addr::new(127, 0, 0, number)), port: 1 }
}

pub(super) fn claim(attempt: usize) -> Claim {
    Claim { key: KEY, request: Fingerprint(1), holder: holder(attempt) }
}

pub(super) fn process(epoch: u64, place: usize) -> usize {
    place + (epoch as usize - 1)
}

pub(super) fn assignment(epoch: u64) -> Assignment {
    let witnesses = (0..WITNESSES)
        .map(|place| WitnessId { daemon: address(process(epoch, place) as u8), incarnation: Incarnation(0) })
        .collect();
    Assignment { epoch: Epoch(epoch), witnesses }
}
