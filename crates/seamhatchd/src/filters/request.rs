//! A request on its way through the filters, and their decisions so far.

use crate::base::clock;
use crate::conventions::CallerTerms;
use crate::filters::Rejection;
use crate::intake::{RequestEntry, RequestProgress};
use crate::server::running::{MissingParent, RunningCall};
use seamhatch_core::Instant;
use seamhatch_core::clock::Microseconds;
use seamhatch_core::generation::Generation;
use seamhatch_core::identity::{Fingerprint, RootId};
use seamhatch_core::outcome::Reason;
use seamhatch_core::priority::PriorityClass;
use seamhatch_policy::{Configuration, Tenant};
use seamhatch_wire::HeaderField;
use std::sync::Arc;

/// Where a request was received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Entry {
    /// The listener for requests from outside.
    Ingress,
    /// The listener for calls of the local back end.
    Egress,
    /// The listener for both callers and the local back end.
    Shared,
}

/// The text by which a call that is not repeatable is claimed. All daemons digest the same text, so
/// its format must not change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimText {
    /// An idempotency key and its scope.
    Key(String),
    /// The content of a call without a key, within its root request. The body is part of the
    /// content, too.
    Content(String),
}

impl ClaimText {
    /// Returns the whole text, given the digest of the body.
    #[must_use]
    pub fn complete(&self, body: Fingerprint) -> String {
        match self {
            Self::Key(text) => text.clone(),
            Self::Content(text) => format!("{text}\n{:016x}", body.0),
        }
    }
}

/// A request without its body, and the decisions of the filters so far.
#[derive(Debug)]
pub struct RequestState {
    /// Where the request was received.
    pub entry: Entry,
    /// When the request was received.
    pub arrived: Instant,
    /// HTTP method.
    pub method: String,
    /// Path and query as passed on to the back end.
    pub path: String,
    /// Header fields, except those of the connection.
    pub headers: Vec<HeaderField>,
    /// Host that the request was sent to, normalized by `host_name`.
    pub host: Option<String>,
    /// What the caller states in header fields.
    pub terms: CallerTerms,
    /// The configuration that decides the request, even if another one comes into force meanwhile,
    /// and its generation.
    pub configuration: Option<(Generation, Arc<Configuration>)>,
    /// Size of the header fields as received, names and values, in bytes.
    pub field_bytes: usize,
    /// Length of the body in bytes, if the request states it.
    pub body_length: Option<u64>,
    /// Service that the request is routed to.
    pub service: String,
    /// Kind of the request, under which the entry records admission floors and answer times.
    pub entry_kind: String,
    /// Priority class, which determines the order of load shedding.
    pub class: PriorityClass,
    /// Root request that this one belongs to.
    pub root: RootId,
    /// The call that causes the request; for a request from outside, the request itself as the
    /// parent of its calls.
    pub parent: Option<Arc<RunningCall>>,
    /// Why the call that the request names as its parent is not known; `None` if it names none or it is
    /// known.
    pub missing_parent: Option<MissingParent>,
    /// Whether the route needs no key.
    pub anonymous: bool,
    /// Tenant whose key the request carries.
    pub tenant: Option<Arc<Tenant>>,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Part of the objective that is left at dispatch.
    pub objective_left: Microseconds,
    /// Target time for the answer, measured from the arrival of the request.
    pub objective: Microseconds,
    /// Text by which the request is claimed, if it is not repeatable.
    pub claim_text: Option<ClaimText>,
    /// Progress of the request, for those that wait for its end.
    pub progress: Arc<RequestProgress>,
}

impl RequestState {
    /// Creates the state of a request as it was received.
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
            missing_parent: None,
            anonymous: false,
            tenant: None,
            repeatable: false,
            objective_left: Microseconds::MAX,
            objective: Microseconds::MAX,
            claim_text: None,
            progress: Arc::new(RequestProgress::begin(RequestEntry::Listener)),
        }
    }

    /// Returns the configuration that decides the request.
    ///
    /// # Errors
    /// Returns a [`Rejection`] if the daemon had no configuration when the request was received.
    pub fn configuration(&self) -> Result<Arc<Configuration>, Rejection> {
        let detail = "this daemon has no configuration yet; come back after Retry-After";
        let pinned = self.configuration.as_ref().map(|(_, configuration)| configuration.clone());
        pinned.ok_or_else(|| Rejection::not_run(Reason::NotReady, detail))
    }

    /// Returns the generation of the configuration that decides the request; zero for none.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.configuration.as_ref().map(|(generation, _)| *generation).unwrap_or_default()
    }

    /// Detaches the request from its parent, so that it is handled as a caller's own request.
    pub fn detach_from_parent(&mut self) {
        if self.parent.take().is_some() {
            self.root = RootId(rand::random());
        }
    }

    /// Returns when the request must be answered; `None` before the filters have set it.
    #[must_use]
    pub fn expiry(&self) -> Option<Instant> {
        self.parent.as_ref().map(|parent| parent.expiry)
    }

    /// Waits for `work` until the deadline of the request; `None` when that passes first.
    pub async fn in_time<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        match self.expiry() {
            Some(expiry) => clock::timeout_at(expiry, work).await,
            None => Some(work.await),
        }
    }

    /// Returns the kind of the request, under which its answer times are recorded.
    #[must_use]
    pub fn kind(&self) -> &str {
        if self.entry_kind.is_empty() { &self.service } else { &self.entry_kind }
    }

    /// Returns the name of the request for the logs: the caller's name for it, else its root id.
    #[must_use]
    pub fn log_name(&self) -> String {
        self.terms.name.clone().unwrap_or_else(|| self.root.to_string())
    }

    /// Returns the value of a header field, if it is UTF-8.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let field = self.headers.iter().find(|field| field.name == name)?;
        std::str::from_utf8(&field.value).ok()
    }
}
