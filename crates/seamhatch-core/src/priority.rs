//! Priority: which requests are shed first under overload.
//!
//! The priority of a request is its class, set by the policy program, and a bucket derived from its root id.
//! So every daemon of a chain makes the same decision about a request, and a chain that is admitted at the
//! entry is admitted all the way down. An [`AdmissionFloor`] tells which priorities a server or a service
//! admits. Alternatives: docs/DESIGN.md#the-admission-floor.

use crate::identity::RootId;
use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};
use std::fmt;
use std::str::FromStr;

/// Priority classes, from the one that is shed last to the one that is shed first.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum PriorityClass {
    /// Work whose loss harms someone; shed last.
    Critical,
    /// Ordinary interactive work; the default.
    Normal,
    /// Large transfers that can wait.
    Bulk,
    /// Work that nobody waits for; shed first.
    Background,
}

impl PriorityClass {
    /// All classes, most important first.
    pub const ALL: [Self; 4] = [Self::Critical, Self::Normal, Self::Bulk, Self::Background];

    /// Name of the class in policies, logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Critical => "critical",
            Self::Normal => "normal",
            Self::Bulk => "bulk",
            Self::Background => "background",
        }
    }

    /// Position in [`Self::ALL`]; 0 is the most important class.
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

/// Error for a name that is not a priority class.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("unknown priority class {name:?}: use critical, normal, bulk or background")]
pub struct UnknownClass {
    /// The given name.
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

/// Number of buckets in a class.
pub const BUCKETS: u8 = 128;

/// Upper bound of the fraction within a bucket; below 1, so that a factor of 1 leaves the bucket unchanged.
const MAX_FRACTION: f64 = 0.999;

/// Position of a request in the order of shedding: by class, then by bucket. Smaller is more important.
///
/// The entry draws the bucket from the root id, in some deployments scaled by the cost of the request. It
/// travels with each call, so every daemon of a chain makes the same decision about a request.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize,
)]
pub struct Priority {
    /// Class set by the policy program.
    pub class: PriorityClass,
    /// From 0 to [`BUCKETS`] - 1.
    pub bucket: u8,
}

impl Priority {
    /// Priority of a request of `class` with this root id.
    #[must_use]
    pub fn new(class: PriorityClass, root: RootId) -> Self {
        Self::scaled(class, root, 1.0)
    }

    /// Like [`Self::new`], with the bucket scaled by `factor`: a request with a factor below 1 is shed later
    /// than one with factor 1, above 1 earlier. Values beyond the last bucket go into it, so a floor there
    /// sheds all of them at once.
    #[must_use]
    pub fn scaled(class: PriorityClass, root: RootId, factor: f64) -> Self {
        let hash = xxhash_rust::xxh3::xxh3_64(&root.0.to_le_bytes());
        let buckets = u64::from(BUCKETS);
        // The upper bits of the hash give a fraction within the bucket, so that scaled values reach every
        // bucket.
        let fraction = (hash / buckets) as f64 / (u64::MAX / buckets) as f64;
        let drawn = (hash % buckets) as f64 + fraction.min(MAX_FRACTION);
        // The conversion to `u8` saturates.
        Self { class, bucket: ((drawn * factor) as u8).min(BUCKETS - 1) }
    }

    /// Position on a single scale from 0 (most important): by class, then by bucket.
    #[must_use]
    pub fn level(self) -> u16 {
        self.class.rank() as u16 * u16::from(BUCKETS) + u16::from(self.bucket)
    }

    /// Priority at this level; the least important one beyond the end of the scale.
    #[must_use]
    pub fn at_level(level: u16) -> Self {
        let rank = usize::from(level / u16::from(BUCKETS)).min(PriorityClass::ALL.len() - 1);
        Self { class: PriorityClass::ALL[rank], bucket: (level % u16::from(BUCKETS)) as u8 }
    }
}

/// Set of requests that a server admits: those whose level lies below `level`, and those in the kept buckets
/// of their class, so that no class is starved by more important ones.
///
/// A floor admits the same requests at every daemon. Floors are compared by their level first.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize,
)]
pub struct AdmissionFloor {
    /// Lowest level that is refused.
    pub level: u16,
    /// Number of buckets of each class, from 0 on, that pass at any level.
    pub kept: [u8; PriorityClass::ALL.len()],
}

impl AdmissionFloor {
    /// Floor that admits every request.
    pub const OPEN: Self = Self::at(PriorityClass::ALL.len() as u16 * BUCKETS as u16);

    /// Kept buckets of each class until a server has learnt how many fit: one request in 32. Keeping one in 8
    /// halves the critical requests that are served.
    pub const INITIAL_KEPT: u8 = 4;

    /// Floor at this level that keeps one in 32 requests of each class.
    #[must_use]
    pub const fn at(level: u16) -> Self {
        Self { level, kept: [Self::INITIAL_KEPT; PriorityClass::ALL.len()] }
    }

    /// Whether it admits every request.
    #[must_use]
    pub fn is_open(self) -> bool {
        self.level >= Self::OPEN.level
    }

    /// Whether a request of this priority is admitted.
    #[must_use]
    pub fn admits(self, priority: Priority) -> bool {
        priority.level() < self.level || priority.bucket < self.kept[priority.class.rank()]
    }

    /// Common floor of several servers: the mean of their floors, weighted by slots. Other servers take the
    /// requests that one of them refuses. `None` if there are no slots.
    #[must_use]
    pub fn mean(floors: impl IntoIterator<Item = (Self, u32)>) -> Option<Self> {
        let mut slots = 0.0;
        let mut level = 0.0;
        let mut kept = [0.0; PriorityClass::ALL.len()];
        for (floor, weight) in floors {
            let weight = f64::from(weight);
            slots += weight;
            level += weight * f64::from(floor.level);
            kept.iter_mut().zip(floor.kept).for_each(|(sum, kept)| *sum += weight * f64::from(kept));
        }
        if slots == 0.0 {
            return None;
        }
        Some(Self {
            level: (level / slots).round() as u16,
            kept: kept.map(|sum| (sum / slots).round() as u8),
        })
    }
}
