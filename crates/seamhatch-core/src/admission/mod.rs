//! Admission at one server: which calls run, which wait and which are refused.
//!
//! [`AdmissionQueue`] is the whole decision; the daemon's gate locks it, calls it with the time and acts on its verdicts.
//! It owns the slots in use, the waiting lines and what it learns from finished calls; each of its parts is a file here:
//!
//! | part | decides |
//! | --- | --- |
//! | [`ConcurrencyLimit`] | how many calls a cold server runs at once |
//! | [`KneeFinder`] | whether the last slots are worth using |
//! | [`ClassShares`] | which class goes first |
//! | `slots` | which calls hold a slot, and which have lost their answer |
//! | `waiting` | who waits, in which order |
//! | `rate_limited` | at which rate calls begin, where the back end names one |
//! | `service_times` | how long a call of a kind usually takes |
//! | `floor` | the level of the admission floor that the server publishes |
//! | `kept` | the buckets of each class that are admitted whatever the level |
//!
//! It protects the back end from more calls than it has slots, important calls from waiting behind others, and callers
//! from waiting for a turn that comes too late. Alternatives: docs/DESIGN.md#queue-and-slots.

mod floor;
mod kept;
mod knee;
mod limit;
mod lost_answers;
mod queue;
mod rate_limited;
mod request;
mod service_times;
mod shares;
mod slots;
mod waiting;

pub use knee::{CallKind, KneeFinder, ProbeMark};
pub use limit::ConcurrencyLimit;
pub use lost_answers::{BackEndCalls, BackEndLoad};
pub use queue::AdmissionQueue;
pub use request::{Admission, AdmissionPolicy, AdmissionRequest, Dequeued, Ticket};
pub use shares::{ClassShares, share_of};
