//! Admission at one server: which calls run, which wait and which are refused.
//!
//! [`AdmissionQueue`] makes all decisions. The daemon's admission gate holds it under a lock, passes it the current
//! time and carries out its decisions. The queue owns the slots in use, the waiting calls and the statistics of
//! finished calls. Each part has a file of its own:
//!
//! | part | decides |
//! | --- | --- |
//! | [`ConcurrencyLimit`] | how many calls a cold server runs at once |
//! | [`KneeFinder`] | whether using the last slots raises throughput |
//! | [`ClassShares`] | which class goes first |
//! | `slots` | which calls hold a slot, and which have lost their answer |
//! | `silence` | whether the back end has stopped answering, and gets single calls only |
//! | `waiting` | which calls wait, and in which order |
//! | `rate_limited` | when calls start at a back end that names a rate |
//! | `service_times` | the median service time of each kind of call |
//! | `floor` | the level of the admission floor that the server publishes |
//! | `kept` | which buckets of each class are admitted at any level |
//!
//! Admission protects the back end from more calls than it has slots, important calls from waiting behind less
//! important ones, and callers from waiting for a slot that comes too late. Alternatives:
//! docs/DESIGN.md#queue-and-slots.

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
mod silence;
mod slots;
mod waiting;

pub use knee::{CallKind, KneeFinder, ProbeMark};
pub use limit::ConcurrencyLimit;
pub use lost_answers::{BackEndCalls, BackEndLoad};
pub use queue::AdmissionQueue;
pub use request::{Admission, AdmissionPolicy, AdmissionRequest, Dequeued, Ticket};
pub use shares::{ClassShares, share_of};
