//! A configuration that an operator submits, and why it may not be accepted.

use seamhatch_core::generation::{Generation, SubmissionId};
use seamhatch_policy::ConfigurationError;
use thiserror::Error;

/// A new configuration from an operator.
#[derive(Debug, Clone)]
pub struct SubmitRequest {
    /// Chosen by the submitter; a repeat with the same id is the same submission.
    pub id: SubmissionId,
    /// Who submits it, as they say.
    pub author: String,
    /// The TOML text.
    pub document: String,
    /// Refuse unless this is the generation in force.
    pub expect_generation: Option<Generation>,
}

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
