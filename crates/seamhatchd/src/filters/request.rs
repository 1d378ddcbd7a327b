//! A request on its way through the filters.

use crate::running::RunningCall;
use seamhatch_core::identity::RootId;
use seamhatch_core::priority::PriorityClass;
use seamhatch_wire::HeaderField;
use std::sync::Arc;

/// Where a request came in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Entry {
    /// From outside.
    Ingress,
    /// From the back end beside this daemon.
    Egress,
}

/// A request without its body, and what the filters have decided so far.
#[derive(Debug)]
pub struct RequestState {
    /// Where it came in.
    pub entry: Entry,
    /// HTTP method.
    pub method: String,
    /// Path and query as sent on to the back end.
    pub path: String,
    /// Header fields, without those of the connection.
    pub headers: Vec<HeaderField>,
    /// Value of the context header, at egress.
    pub context: Option<String>,
    /// Service that it goes to.
    pub service: String,
    /// Key under which admission floors are learnt, at ingress.
    pub entry_key: String,
    /// Order of shedding.
    pub class: PriorityClass,
    /// Request it belongs to.
    pub root: RootId,
    /// The call that caused it; made for a request from outside.
    pub parent: Option<Arc<RunningCall>>,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// What its claim is about, for one that may not be repeated.
    pub claim_text: Option<String>,
}

impl RequestState {
    /// A request as it came in.
    #[must_use]
    pub fn new(entry: Entry, method: String, path: String, headers: Vec<HeaderField>) -> Self {
        Self {
            entry,
            method,
            path,
            headers,
            context: None,
            service: String::new(),
            entry_key: String::new(),
            class: PriorityClass::Normal,
            root: RootId(rand::random()),
            parent: None,
            repeatable: false,
            claim_text: None,
        }
    }

    /// The value of a field, when it is text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let field = self.headers.iter().find(|field| field.name == name)?;
        std::str::from_utf8(&field.value).ok()
    }
}
