//! Priority: which requests are shed first under overload.
//!
//! A request's priority is its class, chosen by the policy program, and a bucket that follows from its root id alone. So every
//! daemon of a chain gives one request the same verdict, and a chain that is admitted at the entry is admitted all the way
//! down. An [`AdmissionFloor`] says which priorities a server or a service admits. Alternatives:
//! docs/DESIGN.md#the-admission-floor.

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

/// Buckets in a class. Chosen, not measured.
pub const BUCKETS: u8 = 128;

/// Fractions are below 1, so that a factor of 1 leaves the bucket unchanged.
const GREATEST_FRACTION: f64 = 0.999;

/// A request's place in the order of shedding: class first, then bucket.
///
/// The entry draws the bucket from the root id, in some deployments scaled by
/// the request's cost, and it travels with each call, so every daemon of a
/// chain gives one request the same verdict. Smaller is more important.
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
        Self::scaled(class, root, 1.0)
    }

    /// The same with the bucket scaled by `factor`: below 1 the request is shed later than one of factor 1, above 1
    /// earlier. What exceeds the last bucket is put into it, so a floor there sheds all of that at once.
    #[must_use]
    pub fn scaled(class: PriorityClass, root: RootId, factor: f64) -> Self {
        let hash = xxhash_rust::xxh3::xxh3_64(&root.0.to_le_bytes());
        let buckets = u64::from(BUCKETS);
        // The upper bits of the hash give a fraction within the bucket, so that scaled values reach every bucket.
        let fraction = (hash / buckets) as f64 / (u64::MAX / buckets) as f64;
        let drawn = (hash % buckets) as f64 + fraction.min(GREATEST_FRACTION);
        // The conversion saturates.
        Self { class, bucket: ((drawn * factor) as u8).min(BUCKETS - 1) }
    }

    /// Position on a single scale from 0 (most important) upward: class first, then bucket.
    #[must_use]
    pub fn level(self) -> u16 {
        self.class.rank() as u16 * u16::from(BUCKETS) + u16::from(self.bucket)
    }

    /// The priority at this position; the least important one beyond the end.
    #[must_use]
    pub fn at_level(level: u16) -> Self {
        let rank = usize::from(level / u16::from(BUCKETS)).min(PriorityClass::ALL.len() - 1);
        Self { class: PriorityClass::ALL[rank], bucket: (level % u16::from(BUCKETS)) as u8 }
    }
}

/// What a server admits: a request whose level lies below `level`, or whose bucket is one of the kept buckets of its class, so
/// that no class is starved by more important ones.
///
/// It admits the same requests at every daemon. Floors are compared by their level first.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize,
)]
pub struct AdmissionFloor {
    /// The first level that is refused.
    pub level: u16,
    /// Buckets of each class that pass whatever the level, from 0 on.
    pub kept: [u8; PriorityClass::ALL.len()],
}

impl AdmissionFloor {
    /// Admits every request.
    pub const OPEN: Self = Self::at(PriorityClass::ALL.len() as u16 * BUCKETS as u16);

    /// Buckets of each class that are kept before a server has learnt how many fit: one request in 32. Chosen; one in 8
    /// halved the critical requests that were served.
    pub const INITIAL_KEPT: u8 = 4;

    /// The floor at this level that keeps one in 32 requests of each class.
    #[must_use]
    pub const fn at(level: u16) -> Self {
        Self { level, kept: [Self::INITIAL_KEPT; PriorityClass::ALL.len()] }
    }

    /// Whether it admits every request.
    #[must_use]
    pub fn is_open(self) -> bool {
        self.level >= Self::OPEN.level
    }

    /// Whether a request of this priority passes.
    #[must_use]
    pub fn admits(self, priority: Priority) -> bool {
        priority.level() < self.level || priority.bucket < self.kept[priority.class.rank()]
    }

    /// The floor of several servers together: the mean of theirs, weighted by the slots of each. What one of them can't take
    /// goes to the others. None where there are no slots.
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
