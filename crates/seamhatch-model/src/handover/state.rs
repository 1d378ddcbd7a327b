//! States of the handover: daemons with what they witness, the versions of the roster, and what each coordinator has seen.

use seamhatch_core::Instant;
use seamhatch_core::claims::{Claim, ClaimHolder, ClaimKey, ClaimReply, Epoch, Witness};
use seamhatch_core::identity::{Address, Fingerprint, Incarnation};
use seamhatch_core::roster::{
    Assignment, SealProgress, ShardRoster, WitnessCandidate, WitnessHealth, WitnessId, seal_progress,
};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};

pub(super) const NOW: Instant = Instant(0);

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum DaemonPhase {
    Up,
    Stopping,
    Ended,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Daemon {
    pub(super) phase: DaemonPhase,
    /// The roster in the store when it was asked to stop, which it has read since.
    pub(super) stop_version: usize,
    pub(super) witness: Witness,
    /// What others hold of it.
    pub(super) held: Option<Vec<Claim>>,
}

impl Daemon {
    /// Whether what others hold of it has become incomplete.
    pub(super) fn remembers_more_than_held(&self) -> bool {
        let remembered = || self.witness.clone().retire();
        self.held.as_ref().is_some_and(|held| remembered().iter().any(|claim| !held.contains(claim)))
    }
}

/// What a coordinator has seen since it read the roster.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Coordinator {
    /// Version of the roster that it knows.
    pub(super) version: usize,
    /// The present epoch is installed at a majority.
    pub(super) confirmed: bool,
    /// Claims of sealed witnesses, by epoch and daemon.
    pub(super) sealed: BTreeMap<(Epoch, usize), Vec<Claim>>,
}

/// A state of the daemons, the roster and its coordinators.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct HandoverState {
    pub(super) daemons: Vec<Daemon>,
    /// All versions of the roster; the last one lies in the store.
    pub(super) rosters: Vec<ShardRoster>,
    pub(super) coordinators: Vec<Coordinator>,
    pub(super) stops_left: u8,
    pub(super) kills_left: u8,
}

pub(super) fn witness_id(daemon: usize) -> WitnessId {
    let ip = IpAddr::V4(Ipv4Addr::new(127, 0, 0, daemon as u8 + 1));
    WitnessId { daemon: Address { ip, port: 1 }, incarnation: Incarnation(1) }
}

pub(super) fn daemon_of(witness: &WitnessId) -> usize {
    match witness.daemon.ip {
        IpAddr::V4(ip) => usize::from(ip.octets()[3]) - 1,
        IpAddr::V6(_) => unreachable!("only IPv4 addresses are made here"),
    }
}

pub(super) fn the_claim() -> Claim {
    let holder = ClaimHolder { daemon: witness_id(200).daemon, incarnation: Incarnation(1), attempt: 1 };
    Claim { key: ClaimKey(7), request: Fingerprint(1), holder }
}

impl HandoverState {
    pub(super) fn latest(&self) -> &ShardRoster {
        self.rosters.last().expect("there is a first one")
    }

    pub(super) fn health(&self, daemon: usize) -> WitnessHealth {
        match self.daemons[daemon].phase {
            DaemonPhase::Up => WitnessHealth::Live,
            DaemonPhase::Stopping => WitnessHealth::Leaving,
            DaemonPhase::Ended => WitnessHealth::Unreachable,
        }
    }

    pub(super) fn candidates(&self) -> Vec<WitnessCandidate> {
        let up = (0..self.daemons.len()).filter(|daemon| self.daemons[*daemon].phase == DaemonPhase::Up);
        up.map(|daemon| WitnessCandidate { id: witness_id(daemon), zone: String::new(), ready: true })
            .collect()
    }

    pub(super) fn is_installed(&self, assignment: &Assignment) -> bool {
        let serves = |id: &&WitnessId| {
            let daemon = &self.daemons[daemon_of(id)];
            daemon.phase != DaemonPhase::Ended && daemon.witness.serves(assignment.epoch)
        };
        assignment.witnesses.iter().filter(serves).count() > assignment.witnesses.len() / 2
    }

    /// Whether a majority would grant another claim of the same key.
    pub(super) fn grants_again(&self, assignment: &Assignment) -> bool {
        let another = Claim { holder: ClaimHolder { attempt: 2, ..the_claim().holder }, ..the_claim() };
        let grants = |id: &&WitnessId| {
            let Daemon { phase, witness, .. } = &self.daemons[daemon_of(id)];
            let reply = witness.clone().claim(assignment.epoch, another, NOW);
            *phase != DaemonPhase::Ended && reply == ClaimReply::Granted
        };
        assignment.witnesses.iter().filter(grants).count() > assignment.witnesses.len() / 2
    }

    /// How far a coordinator could still seal the assignment.
    pub(super) fn seal_progress(&self, assignment: &Assignment) -> SealProgress {
        let has_ended = |id: &WitnessId| {
            let daemon = &self.daemons[daemon_of(id)];
            daemon.phase == DaemonPhase::Ended && daemon.held.is_none()
        };
        seal_progress(assignment, |id| !has_ended(id), has_ended)
    }
}
