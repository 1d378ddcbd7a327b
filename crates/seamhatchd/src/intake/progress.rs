//! How far one request has come.

use crate::base::clock;
use crate::base::lock::lock;
use seamhatch_core::Instant;
use seamhatch_core::identity::Address;
use std::sync::{Mutex, OnceLock};

/// Where a request came in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEntry {
    /// At a listener, from a caller or the back end beside this daemon.
    Listener,
    /// From another daemon, as a call for the back end.
    Peer,
    /// From an operator, as an order.
    Operator,
    /// From the back end beside this daemon, as a heartbeat or goodbye.
    Registry,
}

impl RequestEntry {
    /// Its name in logs.
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

/// How far a request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestStage {
    /// No server has been sent it.
    Waiting,
    /// It was sent to the server beside the daemon with this peer address.
    Sent(Address),
    /// That server's answer is passed on.
    Answering(Address),
    /// This daemon answers it itself.
    Refused,
}

impl RequestStage {
    /// Its name in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::Sent(_) => "sent",
            Self::Answering(_) => "answering",
            Self::Refused => "refused",
        }
    }

    /// The server's daemon.
    #[must_use]
    pub fn server(self) -> Option<Address> {
        match self {
            Self::Waiting | Self::Refused => None,
            Self::Sent(server) | Self::Answering(server) => Some(server),
        }
    }
}

/// How far a request has come, and since when it is in progress.
#[derive(Debug)]
pub struct RequestProgress {
    /// Where it came in.
    pub entry: RequestEntry,
    /// When it was taken.
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
    /// A request that was taken just now.
    #[must_use]
    pub fn begin(entry: RequestEntry) -> Self {
        Self { entry, since: clock::now(), name: OnceLock::new(), stage: Mutex::new(RequestStage::Waiting) }
    }

    /// How logs name it; empty before it is known.
    #[must_use]
    pub fn name(&self) -> &str {
        self.name.get().map_or("", String::as_str)
    }

    /// Sets how logs name it; the first name stays.
    pub fn set_name(&self, name: String) {
        // A request that is passed on again has its name already.
        let _ = self.name.set(name);
    }

    /// How far it has come.
    #[must_use]
    pub fn stage(&self) -> RequestStage {
        *lock(&self.stage)
    }

    /// It has come this far.
    pub fn set_stage(&self, stage: RequestStage) {
        *lock(&self.stage) = stage;
    }
}
