//! Versions of the configuration, and the rule that a daemon only moves forward.

use crate::identity::Fingerprint;
use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

/// A version of the configuration. Zero is no configuration.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    Readable,
    Writable,
    Serialize,
    Deserialize,
)]
pub struct Generation(pub u64);

impl Generation {
    /// The generation after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Identifies one submission of one submitter, so that a lost answer can be resolved by reading.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize,
)]
pub struct SubmissionId(pub u64);

/// A generation with what tells its content apart.
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
    /// It is older: keep the one in force, and tell the one who offered it.
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

/// What a submitter learns by reading the store after a lost answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resolution {
    /// The write landed and made this generation.
    Landed(Generation),
    /// It did not land and can't any more: another write took its place.
    Superseded(Generation),
    /// The value is still the one the write was based on; the write may yet arrive.
    Pending,
}

/// Resolves a submission from the store's present document.
///
/// `recent` lists submissions and their generations, as the document keeps them.
#[must_use]
pub fn resolve(
    submission: SubmissionId,
    based_on: Generation,
    stored: Generation,
    recent: &[(SubmissionId, Generation)],
) -> Resolution {
    if let Some((_, generation)) = recent.iter().find(|(id, _)| *id == submission) {
        return Resolution::Landed(*generation);
    }
    if stored > based_on { Resolution::Superseded(stored) } else { Resolution::Pending }
}
