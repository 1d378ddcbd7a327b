//! The interface of the control thread for other threads, and the events that they send to it.
//!
//! A [`ControlHandle`] enqueues [`ControlEvent`]s for the control thread and awaits its replies to those that have one. The request
//! path, the links, the operators' listener and the tasks of the controllers hold a handle; [`crate::controllers`] processes the events.
//! The only state here is the newest generation that any daemon has reported. Payloads are plain data, so that this module does not
//! depend on the controllers.

mod events;
mod findings;
mod handle;
mod status;
mod submission;

pub use events::{
    ConfigurationEvent, ConfigurationSource, ControlEvent, DrainTarget, HolderAnswers, InstanceAnswer,
    InstanceEvent, MemberEvent, OperatorEvent, Retirement, RosterEvent, SuspectEvent,
};
pub use findings::{Discovery, TransitionResult};
pub use handle::{ControlHandle, GenerationReport, ReportSource};
pub use status::{CostStatus, MemberStatus, ProofStatus, ShardStatus, StatusReport};
pub use submission::{SubmitError, SubmitRequest};
