//! States of the configuration protocol, and what changes in them without a choice.

use seamhatch_core::generation::{Generation, Offer, Version, judge_offer};
use seamhatch_core::identity::Fingerprint;

/// Daemons of the model.
pub(super) const DAEMONS: usize = 3;
/// Most of them.
pub(super) const MAJORITY: usize = 2;

/// The daemon that watches the store.
pub(super) const WATCHER: usize = 2;

/// A document: its submissions in order, the newest last. Its generation is their number.
pub(super) type History = Vec<u8>;

/// Stands for the document in force at the beginning.
pub(super) const FIRST: u8 = 100;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Told {
    Nothing,
    Accepted(Generation),
    Refused,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Submitter {
    pub(super) based_on: Option<u64>,
    /// The newest document that a majority of witnesses returned.
    pub(super) known: History,
    pub(super) read: Option<(History, u8)>,
    /// A write that was sent, with its condition.
    pub(super) in_flight: Option<(History, u8)>,
    /// The generation that its write made, as far as it knows.
    pub(super) landed: Option<Generation>,
    pub(super) told: Told,
}

/// A document on its way to being in force at a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub(super) struct PendingDocument {
    pub(super) document: History,
    pub(super) holders: [bool; DAEMONS],
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Daemon {
    pub(super) in_force: History,
    pub(super) held: History,
    pub(super) witness: bool,
    pub(super) ready: bool,
    pub(super) pending: Option<PendingDocument>,
    /// Witnesses that answered at the start.
    pub(super) asked: [bool; DAEMONS],
    /// The highest generation that was in force here, over all incarnations.
    pub(super) highest: usize,
    pub(super) reverted: bool,
}

/// A state of the configuration protocol.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ConfigurationState {
    pub(super) store: History,
    pub(super) revision: u8,
    pub(super) older_copy: Option<History>,
    pub(super) reachable: bool,
    pub(super) submitters: Vec<Submitter>,
    pub(super) daemons: [Daemon; DAEMONS],
    pub(super) lost_answers_left: u8,
    pub(super) restarts_left: u8,
    pub(super) restores_left: u8,
}

fn version(history: &History) -> Option<Version> {
    let generation = Generation(history.len() as u64);
    (!history.is_empty()).then(|| Version { generation, content: Fingerprint::of(&[history]) })
}

pub(super) fn is_newer(known: &History, offered: &History) -> bool {
    version(offered).is_some_and(|offered| judge_offer(version(known), offered) == Offer::Adopt)
}

impl ConfigurationState {
    /// What a submitter may hear from a majority of the witnesses.
    pub(super) fn majority_views(&self) -> Vec<History> {
        let mut views = Vec::new();
        for left_out in 0..=DAEMONS {
            let asked: Vec<&Daemon> = (0..DAEMONS)
                .filter(|witness| *witness != left_out && self.daemons[*witness].witness)
                .map(|witness| &self.daemons[witness])
                .collect();
            if asked.len() < MAJORITY {
                continue;
            }
            let newest = asked.iter().map(|daemon| daemon.held.clone()).max_by_key(Vec::len);
            views.extend(newest.filter(|newest| !views.contains(newest)));
        }
        views
    }

    /// Carries a write out if its condition holds.
    pub(super) fn land(&mut self, submitter: usize, write: &History, condition: u8) -> bool {
        self.submitters[submitter].in_flight = None;
        if self.revision != condition {
            return false;
        }
        self.older_copy.get_or_insert_with(|| self.store.clone());
        self.store.clone_from(write);
        self.revision += 1;
        true
    }

    /// The submitter's daemon brings what landed into force before it answers.
    pub(super) fn landed(&mut self, submitter: usize, generation: Generation, document: History) {
        self.submitters[submitter].landed = Some(generation);
        self.propose(submitter, document);
    }

    /// A daemon starts to bring a document into force, or goes on with a newer one.
    pub(super) fn propose(&mut self, daemon: usize, document: History) {
        let daemon = &mut self.daemons[daemon];
        let pending = daemon.pending.as_ref().map(|pending| pending.document.clone());
        let known = pending.unwrap_or_else(|| daemon.in_force.clone());
        if is_newer(&known, &document) {
            daemon.pending = Some(PendingDocument { document, holders: [false; DAEMONS] });
        }
    }
}

impl Daemon {
    pub(super) fn adopt(&mut self, document: History) {
        self.in_force = document;
        self.note();
    }

    pub(super) fn restart(&mut self) {
        self.in_force = Vec::new();
        self.held = Vec::new();
        self.witness = false;
        self.ready = false;
        self.pending = None;
        self.asked = [false; DAEMONS];
    }

    /// What is in force counts only while the daemon is ready.
    pub(super) fn note(&mut self) {
        if self.ready {
            self.reverted |= self.in_force.len() < self.highest;
            self.highest = self.highest.max(self.in_force.len());
        }
    }
}
