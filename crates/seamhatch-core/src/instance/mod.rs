//! Instances of a back end, and which of them takes calls.
//!
//! [`InstanceRegistry`] decides from the heartbeats of the back end beside one daemon which instance is registered,
//! whether it takes calls, and which instances never come back. Heartbeats may arrive late and out of order: the
//! sequence number decides within an instance, and an instance that has reported its departure never comes back. A
//! back end may restart under the same name; then the start time tells its instances apart, and the latest one
//! counts.
//!
//! A back end that is leaving gets no new calls, and an instance that is gone gets none at all. An instance that is
//! heard for the first time supersedes the registered one. That is a guess: a heartbeat of a crashed instance may
//! arrive after its successor has registered. Further heartbeats of the superseded instance refute it, and so does a
//! back end that answers as another instance. Alternatives: docs/DESIGN.md#departures. The daemon uses this in
//! `seamhatchd::server::instances`.

mod heartbeat;
mod id;
mod registered;
mod registry;

pub use heartbeat::{Heartbeat, HeartbeatVerdict, InstanceState};
pub use id::InstanceId;
pub use registered::RegisteredInstance;
pub use registry::{HEARTBEAT_TIMEOUT, InstanceRegistry, REMEMBERED_DEPARTURES, Refutation};
