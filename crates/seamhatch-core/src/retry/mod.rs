//! Retries: how many a request and a daemon may cause, and when a failed call is sent again.
//!
//! Three rules, each in its own file: the retry tokens of one request over its whole chain ([`RetryLedger`]),
//! the retry budget of a daemon at one service ([`RetryRatio`]), and whether a failed attempt is followed by
//! another one ([`FailedAttempt`]).

mod budget;
mod resend;
mod tokens;

pub use budget::{RetryRatio, RetryRatioPolicy};
pub use resend::{BudgetEntry, FailedAttempt, Resend};
pub use tokens::{ChildEnd, Dispatch, RetryLedger, TokensExhausted};
