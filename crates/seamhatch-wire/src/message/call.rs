//! A call on its way to the daemon beside a server.

use seamhatch_core::clock::{Instant, Microseconds};
use seamhatch_core::generation::Generation;
use seamhatch_core::identity::{CallId, RequestDigest, RootId};
use seamhatch_core::instance::InstanceId;
use seamhatch_core::priority::Priority;
use speedy::{Readable, Writable};

/// What a call inherits from its request.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable)]
pub struct CallContext {
    /// The request from outside that caused it.
    pub root: RootId,
    /// Order of shedding, the same for all calls of a request.
    pub priority: Priority,
    /// Microseconds since the root request was admitted.
    pub root_age: Microseconds,
    /// Retry tokens that go with it.
    pub tokens: u32,
    /// It may have run before, so that its children count as repeats; see `RetryLedger`.
    pub repeat: bool,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// When it becomes useless, in the receiver's boot clock.
    pub expiry: Instant,
    /// Time in which its answer still meets the objective of the request's route, in microseconds. It waits for a slot
    /// only while that can be met.
    pub objective_left: Microseconds,
    /// Services on the way from the entry to here, for the admission floors.
    pub depth: u32,
}

/// One header field.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable)]
pub struct HeaderField {
    /// Name in lower case.
    pub name: String,
    /// Value.
    pub value: Vec<u8>,
}

/// A call without its body.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable)]
pub struct CallHead {
    /// Chosen by the sender, unique in its incarnation.
    pub call: CallId,
    /// Generation of the sender's configuration.
    pub generation: Generation,
    /// Service that is called; must be the receiver's.
    pub service: String,
    /// What it inherits.
    pub context: CallContext,
    /// Names the request, the same for each copy of it.
    pub request: RequestDigest,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Header fields, those of connections left out.
    pub headers: Vec<HeaderField>,
    /// Whether a body follows.
    pub has_body: bool,
}

/// A call that its sender hands back to a daemon that has restarted, as the back end there may still run it.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable)]
pub struct HandedBackCall {
    /// The caller's name for the request, by which the back end's calls name their parent.
    pub name: String,
    /// Name of the tenant whose request it belongs to.
    pub tenant: Option<String>,
    /// The instance of the back end that took calls when it was sent, if the sender was told.
    pub instance: Option<InstanceId>,
    /// What its calls inherit. The retry tokens that went with it are lost.
    pub context: CallContext,
}
