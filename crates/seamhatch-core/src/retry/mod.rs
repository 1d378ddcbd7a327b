//! Retries: how many a request and a daemon may cause, and when a call may be sent again.
//!
//! Three rules, each in its file: the tokens of one request over its whole chain ([`RetryLedger`]), the share of first
//! tries that a daemon may repeat at one service ([`RetryRatio`]), and whether a failed attempt is followed by another one
//! ([`FailedAttempt`]).

mod budget;
mod resend;
mod tokens;

pub use budget::{RetryRatio, RetryRatioPolicy};
pub use resend::{BudgetEntry, FailedAttempt, Resend};
pub use tokens::{ChildEnd, Dispatch, RetryLedger, TokensExhausted};
