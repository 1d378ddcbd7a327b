//! The store: the key-value service of a deployment, and the platform's list of machines.
//!
//! [`Store`] is the interface to a durable store, which never loses an acknowledged write; an adapter for a platform implements it.
//! [`StoreClient`] speaks the JSON form of the etcd v3 protocol, for deployments in which the daemons themselves accept
//! configurations. This module keeps no state but connections. Only the controllers call it, never the request path.

mod error;
mod etcd;
mod exchange;
mod machine_list;
mod records;

pub use error::StoreError;
pub use etcd::{CONFIGURATION_KEY, ROSTER_KEY, StoreClient, Stored, Swap};
pub use exchange::{StoreExchange, StoreReply};
pub use machine_list::{ListedMachine, MachineState, read_machines};
pub use records::{DaemonRecord, ShardRecord};

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

/// A call to a store in progress.
pub type StoreFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, StoreError>> + Send + 'a>>;

/// Position in the store's change history; increases with every change. As an expected revision, zero means that the key does not
/// exist.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Revision(pub u64);

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Revision of its last change.
    pub revision: Revision,
}

/// The result of a read, with the revision of the store at which it was made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reading<T> {
    /// The data read.
    pub found: T,
    /// The store's revision.
    pub at: Revision,
}

/// One page of a range, with items in key order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// Its items.
    pub items: Vec<Item>,
    /// Key of the last row, also of one that can't be read; the next page begins after it. `None` if no row has a key.
    pub last_key: Option<String>,
    /// Whether the range has further items after the last of these.
    pub more: bool,
}

/// One change of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// It was written.
    Put(Item),
    /// It was removed.
    Removed {
        /// The key.
        key: String,
    },
}

/// Writes and removals that are applied atomically.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Write {
    /// Keys that must have these revisions.
    pub expect: Vec<(String, Revision)>,
    /// Keys to write.
    pub put: Vec<(String, Vec<u8>)>,
    /// Keys to remove.
    pub remove: Vec<String>,
    /// Lease to which the written keys are bound; `None` for permanent keys.
    pub lease: Option<LeaseId>,
}

/// Identifies a lease of the store. The store removes the keys of a lease when the lease ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseId(pub u64);

/// Result of a [`Write`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It was applied at this revision.
    Done(Revision),
    /// A key did not have its expected revision; nothing was changed. Contains the current items of those expected keys that exist.
    Refused(Vec<Item>),
}

/// A store that never loses an acknowledged write. Reads are linearizable.
pub trait Store: fmt::Debug + Send + Sync {
    /// Reads one key.
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Reading<Option<Item>>>;

    /// Reads the keys that begin with `prefix`; with `after`, only those that follow it in key order.
    fn range<'a>(&'a self, prefix: &'a str, after: Option<&'a str>) -> StoreFuture<'a, Reading<Page>>;

    /// Waits up to `wait` for changes after revision `after` to keys that begin with `prefix`.
    ///
    /// Fails with [`StoreError::HistoryLost`] if the store no longer has these changes; the caller must then read the state again.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
        wait: Duration,
    ) -> StoreFuture<'a, Reading<Vec<Change>>>;

    /// Creates a lease that expires `span` after the store receives the call, unless it is renewed.
    fn make_lease(&self, span: Duration) -> StoreFuture<'_, LeaseId>;

    /// Renews a lease for its span, counted from when the store receives the call. Returns false when the lease has expired.
    fn keep_lease(&self, lease: LeaseId) -> StoreFuture<'_, bool>;

    /// Performs a conditional write. After [`StoreError::AnswerLost`] the write may have been applied, or may still be applied later.
    fn write<'a>(&'a self, write: &'a Write) -> StoreFuture<'a, WriteOutcome>;
}
