//! Which instance of the back end takes calls.
//!
//! Decides from the heartbeats of the back end beside one daemon which of its instances is registered, whether that one
//! takes calls, and which instances never come back. Heartbeats may arrive late and out of order: the sequence decides
//! within an instance, and an instance that has departed by its own word never comes back. A back end may start again under
//! its old name; then the moment of its start tells its instances apart, and the latest one counts.
//!
//! It protects the rule that a back end which is leaving receives no new calls, and calls from being sent to an instance
//! that is gone. An instance that is heard for the first time supersedes the registered one. That is a guess: a heartbeat of
//! a crashed instance may arrive after its successor has registered. It is refuted by further heartbeats of the superseded
//! instance, or by a back end that answers as another instance. Alternatives: docs/DESIGN.md#departures. The daemon's part
//! is `seamhatchd::server::instances`.

mod heartbeat;
mod id;
mod registered;
mod registry;

pub use heartbeat::{Heartbeat, HeartbeatVerdict, InstanceState};
pub use id::InstanceId;
pub use registered::Registered;
pub use registry::{HEARTBEAT_TIMEOUT, InstanceRegistry, REMEMBERED_DEPARTURES, Refutation};
