//! The store: the key-value service of a deployment, and the platform's list of machines.
//!
//! [`Store`] is what the daemon needs of a store that keeps what it acknowledged; an adapter for a platform implements it.
//! [`StoreClient`] speaks the JSON form of the etcd v3 protocol, for deployments in which the daemons themselves accept configurations.
//! Nothing is kept here but connections. The controllers call it; nothing on the request path does.

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

/// Position in the store's history; grows with every change. As an expectation, zero means that the
/// key does not exist.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Revision(pub u64);

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Its last change.
    pub revision: Revision,
}

/// What was read, and the state of the store that it was read from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reading<T> {
    /// What was found.
    pub found: T,
    /// The store's revision.
    pub at: Revision,
}

/// A part of a range: items in the order of their keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// Its items.
    pub items: Vec<Item>,
    /// Whether further ones follow the last of these.
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

/// Writes that are done together or not at all.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Write {
    /// Keys that must be at these revisions.
    pub expect: Vec<(String, Revision)>,
    /// Keys to write.
    pub put: Vec<(String, Vec<u8>)>,
    /// Keys to remove.
    pub remove: Vec<String>,
    /// Lease that the written keys go with; none for keys that stay.
    pub lease: Option<LeaseId>,
}

/// Names a lease of the store. Its keys are removed when it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseId(pub u64);

/// What became of a [`Write`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It was done at this revision.
    Done(Revision),
    /// An expectation did not hold; nothing was done. The expected keys that exist, as they are now.
    Refused(Vec<Item>),
}

/// A store that keeps what it acknowledged. Reads are linearizable.
pub trait Store: fmt::Debug + Send + Sync {
    /// Reads one key.
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Reading<Option<Item>>>;

    /// Reads the keys that begin with `prefix`, those after `after` if it is given.
    fn range<'a>(&'a self, prefix: &'a str, after: Option<&'a str>) -> StoreFuture<'a, Reading<Page>>;

    /// Waits up to `wait` for changes after `after` to keys that begin with `prefix`.
    ///
    /// Fails with [`StoreError::HistoryLost`] where the store has forgotten them: the state has to be read again.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
        wait: Duration,
    ) -> StoreFuture<'a, Reading<Vec<Change>>>;

    /// Makes a lease that ends `span` after the call has arrived, unless it is renewed.
    fn make_lease(&self, span: Duration) -> StoreFuture<'_, LeaseId>;

    /// Renews a lease for its span, from the arrival of the call on. False when it is over.
    fn keep_lease(&self, lease: LeaseId) -> StoreFuture<'_, bool>;

    /// Writes under conditions. After [`StoreError::AnswerLost`] it may have been done, or may be later.
    fn write<'a>(&'a self, write: &'a Write) -> StoreFuture<'a, WriteOutcome>;
}
