//! How other threads reach the control thread, and what they send to it.
//!
//! A [`ControlHandle`] puts [`ControlEvent`]s into the queue of the control thread and waits for its answers where there are any.
//! The request path, the links, the operators' listener and the controllers' own tasks hold one; [`crate::controllers`] takes the
//! events out. The only state here is the newest generation that any daemon has reported. Payloads are plain data, so that
//! this module needs none of the controllers.

mod events;
mod findings;
mod handle;
mod status;
mod submission;

pub use events::{
    ConfigurationEvent, ConfigurationSource, ControlEvent, DrainTarget, InstanceAnswer, InstanceEvent,
    MemberEvent, OperatorEvent, Retirement, RosterEvent, SuspectEvent,
};
pub use findings::{Discovery, TransitionResult};
pub use handle::ControlHandle;
pub use status::{CostStatus, MemberStatus, ShardStatus, StatusReport};
pub use submission::{SubmitError, SubmitRequest};
