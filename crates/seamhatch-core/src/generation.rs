//! Configuration: which version is in force, and whether a submission has been accepted.
//!
//! Decides three things. A daemon adopts an offered version only where it is newer ([`judge_offer`]). It asks a peer for a newer one
//! once in the time that an answer may take ([`AskedPeers`]). A submission goes on until the store holds it or can't hold it any
//! more ([`submission_step`]); inputs are what the store holds and the newest generation that is known, read for this step. It protects the promise that an accepted configuration is in force everywhere
//! within seconds and never reverts to an older one. Alternatives: docs/DESIGN.md#configuration.

use crate::clock::{Instant, Microseconds, SECOND};
use crate::identity::{Address, Fingerprint};
use crate::wire_number::wire_number;
use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};
use std::collections::HashMap;

wire_number! {
    /// A version of the configuration. Zero is no configuration.
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
    /// Identifies one submission of one submitter, so that a lost answer can be resolved by reading.
    pub struct SubmissionId(pub u64);
}

/// A generation with the digest of its content.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize,
)]
pub struct Version {
    /// The generation.
    pub generation: Generation,
    /// Digest of the document.
    pub content: Fingerprint,
}

/// What to do with a version that was offered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
    /// It is newer: adopt it.
    Adopt,
    /// It is the one in force.
    Same,
    /// It is older: keep the one in force, and send it to the daemon that made the offer.
    Stale,
    /// Same generation, other content: the store went back in time. Keep the one in force.
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

/// What a submission has to do next, from what the store holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmissionStep {
    /// The store holds less than is known to be accepted: write that back first.
    Restore,
    /// The submission is in: it made this generation.
    Accepted(Generation),
    /// Another write took its place; it is not in and can't get in any more.
    Conflict(Generation),
    /// Write the successor of what the store holds, on condition of its revision.
    /// A lost write that still arrives carries the same condition, so that at
    /// most one of them lands.
    Write,
}

/// A peer that was asked for a newer configuration is asked again after this time, in microseconds: its answer is lost by then.
pub const ASK_AGAIN: Microseconds = SECOND;

/// The peers that were asked for a newer configuration, and when.
#[derive(Debug, Clone, Default)]
pub struct AskedPeers(HashMap<Address, Instant>);

impl AskedPeers {
    /// Begins to ask a peer; false while its answer to an earlier question may still come.
    pub fn begin(&mut self, peer: Address, now: Instant) -> bool {
        let waits = self.0.get(&peer).is_some_and(|asked| now.since(*asked) < ASK_AGAIN);
        if !waits {
            self.0.insert(peer, now);
        }
        !waits
    }

    /// A configuration has arrived: what is still missing is asked for again.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}

/// What a submission knows when it looks at the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SubmissionView<'a> {
    /// The submission.
    pub id: SubmissionId,
    /// The generation that it is to follow.
    pub based_on: Generation,
    /// The newest generation that this daemon or the peers it asked know.
    pub known: Generation,
    /// The store's generation, zero for an empty store.
    pub stored: Generation,
    /// Submissions that the stored document remembers.
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
