//! Which requests were at work when servers crashed.

use crate::identity::{Incarnation, RequestDigest};
use crate::instance::InstanceId;
use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

/// Names one life of a server, on all daemons alike. It ends in one crash at most.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize,
)]
pub struct ServerLife(pub u64);

impl ServerLife {
    /// The life of a server that registers.
    #[must_use]
    pub fn of_instance(instance: &InstanceId) -> Self {
        Self(RequestDigest::of(&[instance.0.as_bytes()]).0)
    }

    /// The life of a server without a name, beside a daemon that has seen it crash `crashes` times.
    #[must_use]
    pub fn of_unnamed(daemon: Incarnation, crashes: u64) -> Self {
        Self(RequestDigest::of(&[&daemon.0.to_le_bytes(), &crashes.to_le_bytes()]).0)
    }
}
