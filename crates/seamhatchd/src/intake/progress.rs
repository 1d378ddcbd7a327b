//! The progress of one request.

use crate::base::clock;
use crate::base::lock::lock;
use seamhatch_core::Instant;
use seamhatch_core::identity::Address;
use std::sync::{Mutex, OnceLock};

/// Where a request entered the daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEntry {
    /// A request of a caller or of the back end beside this daemon, at a traffic listener.
    Listener,
    /// A call of another daemon for the back end.
    Peer,
    /// A command of an operator.
    Operator,
    /// A heartbeat or deregistration of the back end beside this daemon.
    Registry,
}

impl RequestEntry {
    /// The name in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Listener => "listener",
            Self::Peer => "peer",
            Self::Operator => "operator",
            Self::Registry => "registry",
        }
    }
}

/// The stage that a request has reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestStage {
    /// The request has not been sent to a server.
    Waiting,
    /// The request has been sent to the server beside the daemon with this peer address.
    Sent(Address),
    /// The answer of that server is being forwarded.
    Answering(Address),
    /// This daemon answers the request itself.
    Refused,
}

impl RequestStage {
    /// The name in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::Sent(_) => "sent",
            Self::Answering(_) => "answering",
            Self::Refused => "refused",
        }
    }

    /// The peer address of the daemon beside the server, once the request has been sent.
    #[must_use]
    pub fn server(self) -> Option<Address> {
        match self {
            Self::Waiting | Self::Refused => None,
            Self::Sent(server) | Self::Answering(server) => Some(server),
        }
    }
}

/// The progress of a request, and when it was accepted.
#[derive(Debug)]
pub struct RequestProgress {
    /// Where the request entered the daemon.
    pub entry: RequestEntry,
    /// When the request was accepted.
    pub since: Instant,
    name: OnceLock<String>,
    stage: Mutex<RequestStage>,
}

impl Default for RequestProgress {
    fn default() -> Self {
        Self::begin(RequestEntry::Peer)
    }
}

impl RequestProgress {
    /// Starts the record of a request that is accepted now.
    #[must_use]
    pub fn begin(entry: RequestEntry) -> Self {
        Self { entry, since: clock::now(), name: OnceLock::new(), stage: Mutex::new(RequestStage::Waiting) }
    }

    /// The request's name in logs; empty until set.
    #[must_use]
    pub fn name(&self) -> &str {
        self.name.get().map_or("", String::as_str)
    }

    /// Sets the request's name in logs, unless it is already set.
    pub fn set_name(&self, name: String) {
        // A request that is forwarded again already has a name.
        let _ = self.name.set(name);
    }

    /// The stage that the request has reached.
    #[must_use]
    pub fn stage(&self) -> RequestStage {
        *lock(&self.stage)
    }

    /// Records the stage that the request has reached.
    pub fn set_stage(&self, stage: RequestStage) {
        *lock(&self.stage) = stage;
    }
}
