//! Configuration generations: which version is in force, and whether a submission has been accepted.
//!
//! A daemon adopts an offered version only if it is newer ([`judge_offer`]). It asks a peer for a newer one at most
//! once in the time that an answer may take ([`AskedPeers`]). A submission goes on until the store holds it or can no
//! longer accept it ([`submission_step`]); each step is decided from what the store holds and from the newest known
//! generation, both read for this step. An accepted configuration is thus in force everywhere within seconds, and
//! never reverts to an older one. Alternatives: docs/DESIGN.md#configuration.

use crate::clock::{Instant, Microseconds, SECOND};
use crate::identity::{Address, Fingerprint};
use crate::wire_number::wire_number;
use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};
use std::collections::HashMap;

wire_number! {
    /// A version of the configuration. Zero stands for no configuration.
    #[derive(Default)]
    pub struct Generation(pub u64);
}

impl Generation {
    /// The generation after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

wire_number! {
    /// Identifies one submission of one submitter, so that reading the store tells its outcome if the answer is lost.
    pub struct SubmissionId(pub u64);
}

/// A generation and the digest of its content.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize,
)]
pub struct Version {
    /// The generation.
    pub generation: Generation,
    /// Digest of the document.
    pub content: Fingerprint,
}

/// What to do with an offered version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
    /// Newer: adopt it.
    Adopt,
    /// Equal to the one in force.
    Same,
    /// Older: keep the one in force, and send it to the daemon that made the offer.
    Stale,
    /// Same generation with different content: the store went back in time. Keep the one in force.
    Conflict,
}

/// Judges `offered` against the version `in_force`.
#[must_use]
pub fn judge_offer(in_force: Option<Version>, offered: Version) -> Offer {
    let Some(current) = in_force else { return Offer::Adopt };
    if offered.generation > current.generation {
        return Offer::Adopt;
    }
    if offered.generation < current.generation {
        return Offer::Stale;
    }
    if offered.content == current.content { Offer::Same } else { Offer::Conflict }
}

/// Next step of a submission, given what the store holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmissionStep {
    /// The store lacks a generation that is known to be accepted. Write that back first.
    Restore,
    /// The submission was accepted as this generation.
    Accepted(Generation),
    /// Another write took its place. The submission is not in the store and can't get there any more.
    Conflict(Generation),
    /// Write the successor of what the store holds, conditional on its revision. A delayed write that still arrives
    /// carries the same condition, so at most one of them succeeds.
    Write,
}

/// Time after which a peer is asked for a newer configuration again, in microseconds. Its answer counts as lost by
/// then.
pub const ASK_AGAIN_INTERVAL: Microseconds = SECOND;

/// Peers that were asked for a newer configuration, and when.
#[derive(Debug, Clone, Default)]
pub struct AskedPeers(HashMap<Address, Instant>);

impl AskedPeers {
    /// Starts to ask a peer. Returns false while the answer to an earlier question may still arrive.
    pub fn begin(&mut self, peer: Address, now: Instant) -> bool {
        let is_pending = self.0.get(&peer).is_some_and(|asked| now.since(*asked) < ASK_AGAIN_INTERVAL);
        if !is_pending {
            self.0.insert(peer, now);
        }
        !is_pending
    }

    /// Forgets all questions, once a configuration has arrived. What is still missing is asked for again.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}

/// What a submission knows when it looks at the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SubmissionView<'a> {
    /// Identity of the submission.
    pub id: SubmissionId,
    /// Generation that the submission is to follow.
    pub based_on: Generation,
    /// Newest generation known to this daemon or to the peers that it asked.
    pub known: Generation,
    /// Generation in the store, zero if the store is empty.
    pub stored: Generation,
    /// Submissions recorded in the stored document, with their generations.
    pub recent: &'a [(SubmissionId, Generation)],
}

/// Decides the next step of a submission.
#[must_use]
pub fn submission_step(view: &SubmissionView<'_>) -> SubmissionStep {
    if view.known > view.stored {
        return SubmissionStep::Restore;
    }
    if let Some((_, generation)) = view.recent.iter().find(|(id, _)| *id == view.id) {
        return SubmissionStep::Accepted(*generation);
    }
    if view.stored != view.based_on {
        return SubmissionStep::Conflict(view.stored);
    }
    SubmissionStep::Write
}
