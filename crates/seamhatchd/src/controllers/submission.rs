//! Accepting an operator's configuration: compare-and-swap on the store, and
//! finding out what became of a write whose answer was lost.

use crate::clock;
use crate::controllers::ask::ask_generation;
use crate::controllers::events::SubmitRequest;
use crate::shared::Shared;
use crate::store::{CONFIGURATION_KEY, StoreClient, StoreError, Stored, Swap};
use log::{info, warn};
use seamhatch_core::generation::{Generation, Resolution};
use seamhatch_core::identity::Address;
use seamhatch_policy::{Configuration, ConfigurationError, StoredConfiguration};
use seamhatch_wire::ControlReply;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::time::Instant;

/// How long a submission tries before it tells what it knows.
const LONGEST_SUBMISSION: Duration = Duration::from_secs(15);
/// Pause after a failure of the store.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Why a submission was not accepted.
#[derive(Debug, Error)]
pub enum SubmitError {
    /// The document is wrong; nothing was written.
    #[error("{0}")]
    Invalid(#[from] ConfigurationError),
    /// Another submission came first; this one was not and won't be accepted.
    #[error(
        "generation {actual} by {by:?} is in force, not {expected} on which this submission {id:016x} is based; \
         look at it, then submit again with --expect-generation {actual}",
        actual = actual.0, expected = expected.0
    )]
    Conflict {
        /// This submission.
        id: u64,
        /// What it was based on.
        expected: Generation,
        /// What is in force.
        actual: Generation,
        /// Who submitted that.
        by: String,
    },
    /// The store can't be used; nothing was written.
    #[error("the key-value service can't be used ({detail}); nothing was written, submit again later")]
    Unavailable {
        /// Why.
        detail: String,
    },
    /// A write was sent and its result can't be read yet.
    #[error(
        "it is not known yet whether submission {id:016x} was accepted ({detail}); \
         submit the same again with --id {id:016x} to find out"
    )]
    Unknown {
        /// This submission.
        id: u64,
        /// What its write was based on, if it is known.
        based_on: Option<Generation>,
        /// Why.
        detail: String,
    },
}

/// One submission in progress.
pub struct Submission {
    shared: Arc<Shared>,
    store: StoreClient,
    request: SubmitRequest,
    known: Option<StoredConfiguration>,
    peers: Vec<Address>,
    based_on: Option<Generation>,
    written: bool,
}

impl Submission {
    /// A checked submission.
    ///
    /// `known` is the newest configuration of this daemon, `peers` are some to
    /// ask for theirs.
    ///
    /// # Errors
    /// [`SubmitError::Invalid`].
    pub fn new(
        shared: Arc<Shared>,
        store: StoreClient,
        request: SubmitRequest,
        known: Option<StoredConfiguration>,
        peers: Vec<Address>,
    ) -> Result<Self, SubmitError> {
        Configuration::compile(&request.document)?;
        Ok(Self { shared, store, request, known, peers, based_on: None, written: false })
    }

    /// Carries it out. Returns the accepted configuration.
    ///
    /// # Errors
    /// [`SubmitError`].
    pub async fn run(mut self) -> Result<StoredConfiguration, SubmitError> {
        let deadline = Instant::now() + LONGEST_SUBMISSION;
        self.ask_peers().await;
        loop {
            let detail = match self.step().await {
                Ok(Some(accepted)) => return Ok(accepted),
                Ok(None) => "the write is not confirmed yet".to_owned(),
                Err(StepError::Final(error)) => return Err(error),
                Err(StepError::Store(error)) => {
                    warn!(submission = self.request.id.0, error = error.to_string().as_str(); "submission delayed");
                    error.to_string()
                }
            };
            if Instant::now() >= deadline {
                return Err(self.give_up(detail));
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    fn give_up(&self, detail: String) -> SubmitError {
        if self.written {
            SubmitError::Unknown { id: self.request.id.0, based_on: self.based_on, detail }
        } else {
            SubmitError::Unavailable { detail }
        }
    }

    /// Reads the store, and writes if the submission isn't there yet.
    async fn step(&mut self) -> Result<Option<StoredConfiguration>, StepError> {
        let stored = self.store.read::<StoredConfiguration>(CONFIGURATION_KEY).await?;
        if self.store_is_behind(&stored) {
            self.restore(&stored).await?;
            return Ok(None);
        }
        let generation = stored.value.as_ref().map(|stored| stored.generation).unwrap_or_default();
        let based_on = *self.based_on.get_or_insert(self.request.expect_generation.unwrap_or(generation));
        if let Some(current) = &stored.value {
            match current.resolve(self.request.id, based_on) {
                Resolution::Landed(generation) => return Ok(Some(self.landed(current.clone(), generation))),
                Resolution::Superseded(_) => return Err(self.conflict(current, based_on)),
                Resolution::Pending if current.generation != based_on => {
                    return Err(self.conflict(current, based_on));
                }
                Resolution::Pending => {}
            }
        } else if based_on != Generation::default() {
            let empty = StoredConfiguration { generation, document: String::new(), recent: Vec::new() };
            return Err(self.conflict(&empty, based_on));
        }
        self.write(stored).await
    }

    /// Writes the successor of what was read. A repeat of a lost write carries
    /// the same revision, so that at most one of them lands.
    async fn write(
        &mut self,
        stored: Stored<Option<StoredConfiguration>>,
    ) -> Result<Option<StoredConfiguration>, StepError> {
        let next = StoredConfiguration::after(
            stored.value.as_ref(),
            self.request.document.clone(),
            self.request.id,
            self.request.author.clone(),
            clock::unix_seconds(),
        );
        match self.store.swap(CONFIGURATION_KEY, stored.revision, &next).await {
            Ok(Swap::Written) => Ok(Some(next)),
            Ok(Swap::Refused) => Ok(None),
            Err(error @ StoreError::AnswerLost { .. }) => {
                self.written = true;
                Err(error.into())
            }
            Err(error) => Err(error.into()),
        }
    }

    fn landed(&self, current: StoredConfiguration, generation: Generation) -> StoredConfiguration {
        info!(submission = self.request.id.0, generation = generation.0; "submission found in the store");
        current
    }

    fn conflict(&self, current: &StoredConfiguration, based_on: Generation) -> StepError {
        let by = current.recent.first().map_or_else(|| "nobody".to_owned(), |record| record.author.clone());
        StepError::Final(SubmitError::Conflict {
            id: self.request.id.0,
            expected: based_on,
            actual: current.generation,
            by,
        })
    }

    fn store_is_behind(&self, stored: &Stored<Option<StoredConfiguration>>) -> bool {
        let generation = stored.value.as_ref().map(|stored| stored.generation).unwrap_or_default();
        self.known.as_ref().is_some_and(|known| known.generation > generation)
    }

    /// The store came back with an older copy: writes the newest accepted one over it.
    async fn restore(&self, stored: &Stored<Option<StoredConfiguration>>) -> Result<(), StepError> {
        let Some(known) = &self.known else { return Ok(()) };
        warn!(generation = known.generation.0; "the store holds an older configuration; restoring the newest");
        self.store.swap(CONFIGURATION_KEY, stored.revision, known).await?;
        Ok(())
    }

    /// Learns of configurations that this daemon has missed while the store was restored.
    async fn ask_peers(&mut self) {
        let have = self.known.as_ref().map(|known| known.generation).unwrap_or_default();
        for peer in std::mem::take(&mut self.peers) {
            if let Some(ControlReply::Configuration(newer)) = ask_generation(&self.shared, peer, have).await {
                let known = self.known.as_ref().map(|known| known.generation).unwrap_or_default();
                if newer.generation > known {
                    self.known = Some(newer);
                }
            }
        }
    }
}

enum StepError {
    Final(SubmitError),
    Store(StoreError),
}

impl From<StoreError> for StepError {
    fn from(error: StoreError) -> Self {
        Self::Store(error)
    }
}
