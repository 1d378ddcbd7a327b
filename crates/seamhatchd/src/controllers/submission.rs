//! Accepts an operator's configuration, in deployments where daemons accept configurations.
//!
//! A [`Submission`] writes the configuration into the store by compare-and-swap, determines the outcome of a write whose
//! response was lost, and registers the configuration with a majority of the witnesses before the operator receives an
//! answer. [`seamhatch_core::generation::submission_step`] decides each step. A submission is a task that the control thread
//! starts; it owns only the state of its own attempt.

use crate::base::clock;
use crate::control::{SubmitError, SubmitRequest};
use crate::controllers::registration::{Held, ask_held, newer, register};
use crate::shared::Shared;
use crate::store::{CONFIGURATION_KEY, StoreClient, StoreError, Stored, Swap};
use log::{info, warn};
use seamhatch_core::generation::{Generation, SubmissionStep, SubmissionView, submission_step};
use seamhatch_policy::{Configuration, StoredConfiguration};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum duration of a submission before the operator is told that the service is unavailable or the outcome unknown.
const MAX_SUBMISSION_TIME: Duration = Duration::from_secs(15);
/// Pause after a failure of the store or a lost compare-and-swap. It is constant, without backoff, because an operator is
/// waiting.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// A submission that the store contains.
#[derive(Debug)]
pub struct AcceptedSubmission {
    /// The generation that the submission created.
    pub generation: Generation,
    /// The store's newest configuration, of this generation or a later one.
    pub newest: StoredConfiguration,
}

/// One submission in progress.
pub struct Submission {
    shared: Arc<Shared>,
    store: StoreClient,
    request: SubmitRequest,
    /// The newest accepted configuration that this daemon knows.
    known: Option<StoredConfiguration>,
    /// Generation that the write replaces; none before the first read of the store.
    based_on: Option<Generation>,
    /// Whether a write may have taken effect.
    may_be_written: bool,
}

impl Submission {
    /// Creates a submission after checking that its document compiles.
    ///
    /// `known` is the newest configuration known to this daemon.
    ///
    /// # Errors
    /// [`SubmitError::Invalid`] if the document does not compile.
    pub fn new(
        shared: Arc<Shared>,
        store: StoreClient,
        request: SubmitRequest,
        known: Option<StoredConfiguration>,
    ) -> Result<Self, SubmitError> {
        Configuration::compile(&request.document)?;
        Ok(Self { shared, store, request, known, based_on: None, may_be_written: false })
    }

    /// Carries out the submission, for at most [`MAX_SUBMISSION_TIME`].
    ///
    /// # Errors
    /// [`SubmitError`].
    pub async fn run(mut self) -> Result<AcceptedSubmission, SubmitError> {
        let deadline = Instant::now() + MAX_SUBMISSION_TIME;
        while let Err(error) = self.ask_witnesses().await {
            if Instant::now() >= deadline {
                return Err(error);
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        loop {
            let detail = match self.step().await {
                // The witnesses hold the configuration before the operator receives an answer, so that a store that reverts
                // to an older state can't undo it.
                Ok(Some(accepted)) if register(&self.shared, &accepted.newest).await => return Ok(accepted),
                Ok(Some(_)) => {
                    self.may_be_written = true;
                    "no majority of the configuration's witnesses holds it yet".to_owned()
                }
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
        if self.may_be_written {
            SubmitError::Unknown { id: self.request.id.0, based_on: self.based_on, detail }
        } else {
            SubmitError::Unavailable { detail }
        }
    }

    /// Reads the store and carries out the next step.
    async fn step(&mut self) -> Result<Option<AcceptedSubmission>, StepError> {
        let stored = self.store.read::<StoredConfiguration>(CONFIGURATION_KEY).await?;
        let generation = stored.value.as_ref().map(|stored| stored.generation).unwrap_or_default();
        let known = self.known.as_ref().map(|known| known.generation).unwrap_or_default();
        let first_seen = self.request.expect_generation.unwrap_or(generation.max(known));
        let recent = stored.value.as_ref().map(StoredConfiguration::remembered).unwrap_or_default();
        let view = SubmissionView {
            id: self.request.id,
            based_on: *self.based_on.get_or_insert(first_seen),
            known,
            stored: generation,
            recent: &recent,
        };
        match submission_step(&view) {
            SubmissionStep::Restore => {
                self.restore(&stored).await?;
                Ok(None)
            }
            SubmissionStep::Accepted(generation) => {
                info!(submission = self.request.id.0, generation = generation.0; "submission found in the store");
                Ok(stored.value.map(|newest| AcceptedSubmission { generation, newest }))
            }
            SubmissionStep::Conflict(actual) => {
                Err(self.conflict(stored.value.as_ref(), view.based_on, actual))
            }
            SubmissionStep::Write => self.write(stored).await,
        }
    }

    /// Writes the successor of the configuration that was read. A repeat of a write whose response was lost has the same
    /// revision, so that at most one of them takes effect.
    async fn write(
        &mut self,
        stored: Stored<Option<StoredConfiguration>>,
    ) -> Result<Option<AcceptedSubmission>, StepError> {
        let next = StoredConfiguration::after(
            stored.value.as_ref(),
            self.request.document.clone(),
            self.request.id,
            self.request.author.clone(),
            clock::unix_seconds(),
        );
        match self.store.swap(CONFIGURATION_KEY, stored.revision, &next).await {
            Ok(Swap::Written) => Ok(Some(AcceptedSubmission { generation: next.generation, newest: next })),
            Ok(Swap::Refused) => Ok(None),
            Err(error @ StoreError::AnswerLost { .. }) => {
                self.may_be_written = true;
                Err(error.into())
            }
            Err(error) => Err(error.into()),
        }
    }

    fn conflict(
        &self,
        current: Option<&StoredConfiguration>,
        expected: Generation,
        actual: Generation,
    ) -> StepError {
        let latest = current.and_then(|current| current.recent.first());
        let by = latest.map_or_else(|| "nobody".to_owned(), |record| record.author.clone());
        StepError::Final(SubmitError::Conflict { id: self.request.id.0, expected, actual, by })
    }

    /// Overwrites an older copy, with which the store came back, with the newest accepted configuration.
    async fn restore(&self, stored: &Stored<Option<StoredConfiguration>>) -> Result<(), StepError> {
        let Some(known) = &self.known else { return Ok(()) };
        warn!(generation = known.generation.0; "the store holds an older configuration; restoring the newest");
        self.store.swap(CONFIGURATION_KEY, stored.revision, known).await?;
        Ok(())
    }

    /// Queries the witnesses for the newest configuration held by a majority, which this daemon may have missed.
    async fn ask_witnesses(&mut self) -> Result<(), SubmitError> {
        let have = self.known.as_ref().map(|known| known.generation).unwrap_or_default();
        match ask_held(&self.shared, have).await {
            Held::NoRoster => Ok(()),
            Held::Newest(newest) => {
                self.known = newer(self.known.take(), newest);
                Ok(())
            }
            Held::NoMajority => {
                let detail = "no majority of the configuration's witnesses answers".to_owned();
                Err(SubmitError::Unavailable { detail })
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
