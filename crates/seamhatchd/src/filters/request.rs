//! A request on its way through the filters, and what they have decided so far.

use crate::base::clock;
use crate::conventions::CallerTerms;
use crate::filters::Rejection;
use crate::intake::{RequestEntry, RequestProgress};
use crate::server::running::RunningCall;
use seamhatch_core::Instant;
use seamhatch_core::clock::Microseconds;
use seamhatch_core::generation::Generation;
use seamhatch_core::identity::{Fingerprint, RootId};
use seamhatch_core::outcome::Reason;
use seamhatch_core::priority::PriorityClass;
use seamhatch_policy::{Configuration, Tenant};
use seamhatch_wire::HeaderField;
use std::sync::Arc;

/// Where a request came in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Entry {
    /// From outside.
    Ingress,
    /// From the back end beside this daemon.
    Egress,
    /// From a caller or from the back end beside this daemon.
    Shared,
}

/// What a call that is not repeatable is claimed by. All daemons digest the same text, so its form must not change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimText {
    /// An idempotency key, and what it counts within.
    Key(String),
    /// The call's content within its root request, where it has no key. The body belongs to it, too.
    Content(String),
}

impl ClaimText {
    /// The whole text, given the digest of the body.
    #[must_use]
    pub fn complete(&self, body: Fingerprint) -> String {
        match self {
            Self::Key(text) => text.clone(),
            Self::Content(text) => format!("{text}\n{:016x}", body.0),
        }
    }
}

/// A request without its body, and what the filters have decided so far.
#[derive(Debug)]
pub struct RequestState {
    /// Where it came in.
    pub entry: Entry,
    /// When it came in.
    pub arrived: Instant,
    /// HTTP method.
    pub method: String,
    /// Path and query as sent on to the back end.
    pub path: String,
    /// Header fields, without those of the connection.
    pub headers: Vec<HeaderField>,
    /// Host that it was sent to, as `host_name` spells it.
    pub host: Option<String>,
    /// What its caller states by header fields.
    pub terms: CallerTerms,
    /// The configuration that decides it, whatever comes into force meanwhile, and its generation.
    pub configuration: Option<(Generation, Arc<Configuration>)>,
    /// Size of the header fields as its caller sent them, names and values, in bytes.
    pub field_bytes: usize,
    /// Length of its body in bytes, where the request states it.
    pub body_length: Option<u64>,
    /// Service that it goes to.
    pub service: String,
    /// Kind of the request, under which the entry learns admission floors and answer times.
    pub entry_kind: String,
    /// Order of shedding.
    pub class: PriorityClass,
    /// Request it belongs to.
    pub root: RootId,
    /// The call that caused it; for a request from outside, the request itself as its calls' parent.
    pub parent: Option<Arc<RunningCall>>,
    /// Whether its route needs no key.
    pub anonymous: bool,
    /// The tenant whose key it brought.
    pub tenant: Option<Arc<Tenant>>,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// How long its answer would still be early, from its dispatch on.
    pub objective_left: Microseconds,
    /// Time from its arrival in which its answer is early.
    pub objective: Microseconds,
    /// What it is claimed by, where it is not repeatable.
    pub claim_text: Option<ClaimText>,
    /// How far it has come, for whoever waits for its end.
    pub progress: Arc<RequestProgress>,
}

impl RequestState {
    /// A request as it came in.
    #[must_use]
    pub fn new(entry: Entry, method: String, path: String, headers: Vec<HeaderField>) -> Self {
        Self {
            entry,
            arrived: clock::now(),
            method,
            path,
            headers,
            host: None,
            terms: CallerTerms::default(),
            configuration: None,
            field_bytes: 0,
            body_length: None,
            service: String::new(),
            entry_kind: String::new(),
            class: PriorityClass::Normal,
            root: RootId(rand::random()),
            parent: None,
            anonymous: false,
            tenant: None,
            repeatable: false,
            objective_left: Microseconds::MAX,
            objective: Microseconds::MAX,
            claim_text: None,
            progress: Arc::new(RequestProgress::begin(RequestEntry::Listener)),
        }
    }

    /// The configuration that decides it.
    ///
    /// # Errors
    /// The daemon had none when the request came in.
    pub fn configuration(&self) -> Result<Arc<Configuration>, Rejection> {
        let detail = "this daemon has no configuration yet; come back after Retry-After";
        let pinned = self.configuration.as_ref().map(|(_, configuration)| configuration.clone());
        pinned.ok_or_else(|| Rejection::not_run(Reason::NotReady, detail))
    }

    /// Generation of the configuration that decides it; zero for none.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.configuration.as_ref().map(|(generation, _)| *generation).unwrap_or_default()
    }

    /// Makes it a caller's own request, whatever call it named as its parent.
    pub fn stand_alone(&mut self) {
        if self.parent.take().is_some() {
            self.root = RootId(rand::random());
        }
    }

    /// The kind of request, under which its answer times are learnt.
    #[must_use]
    pub fn kind(&self) -> &str {
        if self.entry_kind.is_empty() { &self.service } else { &self.entry_kind }
    }

    /// How logs name the request: as its caller does, else by its root id.
    #[must_use]
    pub fn log_name(&self) -> String {
        self.terms.name.clone().unwrap_or_else(|| self.root.to_string())
    }

    /// The value of a field, when it is text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let field = self.headers.iter().find(|field| field.name == name)?;
        std::str::from_utf8(&field.value).ok()
    }
}
