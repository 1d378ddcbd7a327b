//! What a request is worth under overload: its class, and a bucket within it.

use crate::identity::RootId;
use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};
use std::fmt;
use std::str::FromStr;

/// Priority classes, the first shed last.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum PriorityClass {
    /// Work whose loss harms someone: shed last.
    Critical,
    /// Interactive work of ordinary worth; the default.
    Normal,
    /// Large transfers that can wait.
    Bulk,
    /// Work nobody is waiting for: shed first.
    Background,
}

impl PriorityClass {
    /// All classes, the most important first.
    pub const ALL: [Self; 4] = [Self::Critical, Self::Normal, Self::Bulk, Self::Background];

    /// The class's name in policies, logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Critical => "critical",
            Self::Normal => "normal",
            Self::Bulk => "bulk",
            Self::Background => "background",
        }
    }

    /// Position in [`Self::ALL`]; 0 is the most important.
    #[must_use]
    pub fn rank(self) -> usize {
        self as usize
    }
}

impl fmt::Display for PriorityClass {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// A class name that no priority class has.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("unknown priority class {name:?}: use critical, normal, bulk or background")]
pub struct UnknownClass {
    /// The name as given.
    pub name: String,
}

impl FromStr for PriorityClass {
    type Err = UnknownClass;

    fn from_str(name: &str) -> Result<Self, UnknownClass> {
        Self::ALL
            .into_iter()
            .find(|class| class.name() == name)
            .ok_or_else(|| UnknownClass { name: name.to_owned() })
    }
}

/// Buckets in a class.
pub const BUCKETS: u8 = 128;

/// Buckets of each class that are kept from starving: one in 32 of its requests.
pub const KEPT_BUCKETS: u8 = 4;

/// A request's place in the order of shedding: class first, then bucket.
///
/// The bucket comes from the root id alone, so every daemon of a chain gives
/// one request the same verdict. Smaller is more important.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize,
)]
pub struct Priority {
    /// The class that the policy chose.
    pub class: PriorityClass,
    /// 0 to [`BUCKETS`] - 1.
    pub bucket: u8,
}

impl Priority {
    /// The priority of a request of `class` with this root id.
    #[must_use]
    pub fn new(class: PriorityClass, root: RootId) -> Self {
        let hash = xxhash_rust::xxh3::xxh3_64(&root.0.to_le_bytes());
        Self { class, bucket: (hash % u64::from(BUCKETS)) as u8 }
    }

    /// Position on a single scale from 0 (most important) upward.
    ///
    /// The first [`KEPT_BUCKETS`] of every class lie among the most important: however little a
    /// bottleneck can serve, no class is starved there, and it is the same requests at every daemon.
    #[must_use]
    pub fn level(self) -> u16 {
        let bucket = u16::from(self.bucket);
        if self.bucket < KEPT_BUCKETS {
            return bucket;
        }
        self.class.rank() as u16 * u16::from(BUCKETS) + bucket
    }
}

/// The first level that is refused: a request is admitted when its level is below.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize,
)]
pub struct AdmissionFloor(pub u16);

impl AdmissionFloor {
    /// Admits every request.
    pub const OPEN: Self = Self(PriorityClass::ALL.len() as u16 * BUCKETS as u16);

    /// Whether a request of this priority passes.
    #[must_use]
    pub fn admits(self, priority: Priority) -> bool {
        priority.level() < self.0
    }
}
