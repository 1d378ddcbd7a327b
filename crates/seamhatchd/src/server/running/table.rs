//! The table of the calls that run on the local back end.

use super::RunningCall;
use crate::base::clock;
use crate::base::lock::lock;
use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use seamhatch_core::Instant;
use seamhatch_core::clock::Microseconds;
use seamhatch_core::hand_back::{EarlierCalls, RestoredCalls};
use seamhatch_core::identity::Incarnation;
use seamhatch_core::instance::InstanceId;
use speedy::{Readable, Writable};
use std::collections::{HashMap, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// Maximum number of names that are remembered of calls that ended without an answer, the latest ones.
const MAX_ABANDONED_CALLS: usize = 1024;

/// Content of the context header. It only identifies a running call, whose rights stay in the
/// daemon, so that a forged or copied header gains nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Readable, Writable)]
struct ContextToken {
    incarnation: Incarnation,
    handle: u64,
    nonce: u64,
}

/// Why the parent of a call is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MissingParent {
    /// It ran here and ended without an answer; the back end may go on with it.
    Abandoned,
    /// It may run since before this daemon started.
    MayBeEarlier,
    /// No such call runs here.
    Unknown,
}

impl MissingParent {
    /// Value of the metric label.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Abandoned => "abandoned",
            Self::MayBeEarlier => "may-be-earlier",
            Self::Unknown => "unknown",
        }
    }
}

/// The calls that run on the local back end.
#[derive(Debug)]
pub struct RunningCalls {
    incarnation: Incarnation,
    next_handle: AtomicU64,
    calls: Mutex<CallTable>,
}

#[derive(Debug, Default)]
struct CallTable {
    by_handle: HashMap<u64, Entry>,
    /// Handles of the calls with a name, the latest last: a request may run twice at the same time.
    by_name: HashMap<String, Vec<u64>>,
    /// Calls that run since before this daemon started and were handed back.
    restored: RestoredCalls<Arc<RunningCall>>,
    /// All calls that may run since then.
    earlier: EarlierCalls,
    /// Names of calls that ended without an answer, and their deadlines.
    abandoned: VecDeque<(String, Instant)>,
}

#[derive(Debug)]
struct Entry {
    nonce: u64,
    call: Arc<RunningCall>,
    name: Option<String>,
    /// Whether the back end has answered the call, or has certainly not begun it.
    has_ended: bool,
}

/// Keeps a call registered until it is dropped.
#[derive(Debug)]
pub struct Registration {
    registry: Arc<RunningCalls>,
    handle: u64,
    header: String,
}

impl Registration {
    /// Returns the value of the context header.
    #[must_use]
    pub fn header(&self) -> &str {
        &self.header
    }

    /// Records that the back end has answered the call, or has certainly not begun it. It then makes no further calls for
    /// it.
    pub fn mark_ended(&self) {
        if let Some(entry) = self.registry.lock().by_handle.get_mut(&self.handle) {
            entry.has_ended = true;
        }
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.registry.lock().remove(self.handle);
    }
}

impl CallTable {
    fn remove(&mut self, handle: u64) {
        let Some(entry) = self.by_handle.remove(&handle) else { return };
        let Some(name) = entry.name else { return };
        if let Some(handles) = self.by_name.get_mut(&name) {
            handles.retain(|other| *other != handle);
            if handles.is_empty() {
                self.by_name.remove(&name);
            }
        }
        if !entry.has_ended {
            self.remember_abandoned(name, entry.call.expiry);
        }
    }

    fn remember_abandoned(&mut self, name: String, expiry: Instant) {
        let now = clock::now();
        while self.abandoned.front().is_some_and(|(_, expiry)| *expiry <= now)
            || self.abandoned.len() >= MAX_ABANDONED_CALLS
        {
            self.abandoned.pop_front();
        }
        self.abandoned.push_back((name, expiry));
    }

    fn is_abandoned(&self, name: &str, now: Instant) -> bool {
        self.abandoned.iter().any(|(known, expiry)| known == name && *expiry > now)
    }

    fn earlier_or_unknown(&self, now: Instant) -> MissingParent {
        if self.earlier.may_run(now) { MissingParent::MayBeEarlier } else { MissingParent::Unknown }
    }
}

impl RunningCalls {
    /// Creates an empty table. `earlier` tells which calls the back end may run that are not in it.
    #[must_use]
    pub fn new(incarnation: Incarnation, earlier: EarlierCalls) -> Arc<Self> {
        let calls = Mutex::new(CallTable { earlier, ..CallTable::default() });
        Arc::new(Self { incarnation, next_handle: AtomicU64::new(1), calls })
    }

    /// Records the longest time-out of a configuration that comes into force, in microseconds.
    pub fn note_longest_timeout(&self, timeout: Microseconds) {
        self.lock().earlier.note_longest_timeout(timeout);
    }

    /// Registers a call that is about to run, also under the name of its request if it has one.
    #[must_use]
    pub fn register(self: &Arc<Self>, call: Arc<RunningCall>, name: Option<&str>) -> Registration {
        let handle = self.next_handle.fetch_add(1, Ordering::Relaxed);
        let nonce = rand::random::<u64>();
        let name = name.map(str::to_owned);
        let mut calls = self.lock();
        if let Some(name) = &name {
            calls.by_name.entry(name.clone()).or_default().push(handle);
        }
        calls.by_handle.insert(handle, Entry { nonce, call, name, has_ended: false });
        drop(calls);
        let token = ContextToken { incarnation: self.incarnation, handle, nonce };
        let bytes = token.write_to_vec().expect("writing to memory does not fail");
        Registration { registry: self.clone(), handle, header: URL_SAFE_NO_PAD.encode(bytes) }
    }

    /// Adds a call that `instance` has been running since before this daemon started, as its sender hands it back.
    pub fn restore(&self, name: String, instance: Option<InstanceId>, call: Arc<RunningCall>) {
        let now = clock::now();
        self.lock().restored.add(name, instance, call.expiry, call, now);
    }

    /// Records that an instance of the back end takes calls; it does not run what others were sent.
    pub fn note_open(&self, instance: &InstanceId) {
        self.lock().restored.note_open(instance);
    }

    /// Returns the running call that a context header identifies.
    ///
    /// # Errors
    /// Returns a [`MissingParent`] if the header is forged or unreadable, comes from an earlier incarnation of this
    /// daemon, or identifies a call that has ended or was given up.
    pub fn find(&self, header: &str) -> Result<Arc<RunningCall>, MissingParent> {
        let decoded = URL_SAFE_NO_PAD.decode(header).ok();
        let token = decoded.and_then(|bytes| ContextToken::read_from_buffer(&bytes).ok());
        let token = token.ok_or(MissingParent::Unknown)?;
        let calls = self.lock();
        if token.incarnation != self.incarnation {
            return Err(calls.earlier_or_unknown(clock::now()));
        }
        let entry = calls.by_handle.get(&token.handle).filter(|entry| entry.nonce == token.nonce);
        entry.map(|entry| entry.call.clone()).ok_or(MissingParent::Unknown)
    }

    /// Returns the running call with this name.
    ///
    /// # Errors
    /// Returns a [`MissingParent`] if no running call with this name is known.
    pub fn find_by_name(&self, name: &str) -> Result<Arc<RunningCall>, MissingParent> {
        let now = clock::now();
        let calls = self.lock();
        let latest = calls.by_name.get(name).and_then(|handles| calls.by_handle.get(handles.last()?));
        if let Some(entry) = latest {
            return Ok(entry.call.clone());
        }
        match calls.restored.find(name, now) {
            Some(call) => Ok(call.clone()),
            None if calls.is_abandoned(name, now) => Err(MissingParent::Abandoned),
            None => Err(calls.earlier_or_unknown(now)),
        }
    }

    /// Returns the number of calls that this daemon has given to the back end and that run there.
    #[must_use]
    pub fn count(&self) -> usize {
        self.lock().by_handle.len()
    }

    fn lock(&self) -> MutexGuard<'_, CallTable> {
        lock(&self.calls)
    }
}
