//! An accepted configuration in the form of the store and of messages between daemons.
//!
//! The field names are stored as JSON and sent as they are ordered: both must stay readable for earlier versions.

use seamhatch_core::generation::{Generation, SubmissionId, Version};
use seamhatch_core::identity::Fingerprint;
use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

/// Submissions that a stored configuration remembers. A submitter whose answer was lost finds out from them unless so
/// many others came after its own. Chosen, not measured.
const REMEMBERED_SUBMISSIONS: usize = 64;

/// One accepted submission.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
pub struct SubmissionRecord {
    /// Chosen by the submitter.
    pub id: SubmissionId,
    /// What it made.
    pub generation: Generation,
    /// Who submitted it, as they say.
    pub author: String,
    /// Seconds since the Unix epoch, by the accepting daemon's clock.
    pub accepted_at: u64,
}

/// An accepted configuration.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
pub struct StoredConfiguration {
    /// Its generation.
    pub generation: Generation,
    /// The TOML text as submitted.
    pub document: String,
    /// The latest submissions, this one first.
    pub recent: Vec<SubmissionRecord>,
}

impl StoredConfiguration {
    /// The configuration that follows `previous` by this submission.
    #[must_use]
    pub fn after(
        previous: Option<&Self>,
        document: String,
        id: SubmissionId,
        author: String,
        now: u64,
    ) -> Self {
        let generation = previous.map(|stored| stored.generation).unwrap_or_default().next();
        let record = SubmissionRecord { id, generation, author, accepted_at: now };
        let earlier = previous.map(|stored| stored.recent.clone()).unwrap_or_default();
        let recent = std::iter::once(record).chain(earlier).take(REMEMBERED_SUBMISSIONS).collect();
        Self { generation, document, recent }
    }

    /// The version, for comparison.
    #[must_use]
    pub fn version(&self) -> Version {
        let latest = self.recent.first().map(|record| record.id.0).unwrap_or_default();
        let content = Fingerprint::of(&[self.document.as_bytes(), &latest.to_le_bytes()]);
        Version { generation: self.generation, content }
    }

    /// Whether `earlier` is this configuration or one that it follows.
    #[must_use]
    pub fn includes(&self, earlier: &Self) -> bool {
        if earlier.generation == self.generation {
            return earlier.version() == self.version();
        }
        let made = earlier.recent.first().map(|record| (record.id, record.generation));
        earlier.generation < self.generation && made.is_some_and(|made| self.remembered().contains(&made))
    }

    /// The submissions that are remembered, with their generations.
    #[must_use]
    pub fn remembered(&self) -> Vec<(SubmissionId, Generation)> {
        self.recent.iter().map(|record| (record.id, record.generation)).collect()
    }
}
