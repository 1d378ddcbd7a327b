//! Submission of a configuration by an operator, and the errors for which it is not accepted.

use seamhatch_core::generation::{Generation, SubmissionId};
use seamhatch_policy::ConfigurationError;
use thiserror::Error;

/// A new configuration from an operator.
#[derive(Debug, Clone)]
pub struct SubmitRequest {
    /// Chosen by the submitter. A repeat with the same id is the same submission.
    pub id: SubmissionId,
    /// Author as stated by the submitter.
    pub author: String,
    /// Text of the document in TOML.
    pub document: String,
    /// Accept the submission only if this generation is in force.
    pub expect_generation: Option<Generation>,
}

/// Why a submission was not accepted.
#[derive(Debug, Error)]
pub enum SubmitError {
    /// The document is wrong; nothing was written.
    #[error("{0}")]
    Invalid(#[from] ConfigurationError),
    /// Another submission was accepted first; this one was not and won't be accepted.
    #[error(
        "generation {actual} by {by:?} is in force, not {expected} on which this submission {id:016x} is based; \
         look at it, then submit again with --expect-generation {actual}",
        actual = actual.0, expected = expected.0
    )]
    Conflict {
        /// This submission.
        id: u64,
        /// Generation on which it was based.
        expected: Generation,
        /// Generation in force.
        actual: Generation,
        /// Author of the generation in force.
        by: String,
    },
    /// The store can't be used; nothing was written.
    #[error("the key-value service can't be used ({detail}); nothing was written, submit again later")]
    Unavailable {
        /// Why.
        detail: String,
    },
    /// A write was sent, and its result can't be read yet.
    #[error(
        "it is not known yet whether submission {id:016x} was accepted ({detail}); \
         submit the same again with --id {id:016x} to find out"
    )]
    Unknown {
        /// This submission.
        id: u64,
        /// Generation on which its write was based, if known.
        based_on: Option<Generation>,
        /// Why.
        detail: String,
    },
}
