//! Identity of an instance.

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

/// Identifies one instance of a back end; chosen by the back end.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize)]
#[serde(from = "WrittenId", into = "WrittenId")]
pub struct InstanceId {
    /// Name of the instance. A later instance may have the same name.
    pub name: String,
    /// Start time in milliseconds since the Unix epoch, by the back end's clock. `None` if the back end does not
    /// report it; each of its instances then has a name of its own.
    pub born: Option<u64>,
}

/// Stored form of an [`InstanceId`]: the name alone if the start time is unknown.
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum WrittenId {
    Name(String),
    Life { name: String, born: u64 },
}

impl From<WrittenId> for InstanceId {
    fn from(written: WrittenId) -> Self {
        match written {
            WrittenId::Name(name) => Self { name, born: None },
            WrittenId::Life { name, born } => Self { name, born: Some(born) },
        }
    }
}

impl From<InstanceId> for WrittenId {
    fn from(InstanceId { name, born }: InstanceId) -> Self {
        match born {
            None => Self::Name(name),
            Some(born) => Self::Life { name, born },
        }
    }
}

impl InstanceId {
    /// An instance of which only the name is known.
    #[must_use]
    pub fn named(name: impl Into<String>) -> Self {
        Self { name: name.into(), born: None }
    }

    /// Whether `other` is this instance or an earlier one of the same name, as far as is known.
    #[must_use]
    pub fn is_same_or_later_than(&self, other: &Self) -> bool {
        let not_later = match (self.born, other.born) {
            (Some(own), Some(others)) => others <= own,
            _ => true,
        };
        self.name == other.name && not_later
    }

    /// Whether `other` is an earlier instance of the same name.
    pub(super) fn is_later_than(&self, other: &Self) -> bool {
        self.name == other.name && self.born.zip(other.born).is_some_and(|(own, others)| others < own)
    }
}
