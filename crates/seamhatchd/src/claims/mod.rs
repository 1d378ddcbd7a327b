//! At-most-once in the daemon: its part as a witness, the claims it makes, and
//! what it remembers of them.

mod claimant;
mod records;
mod witnesses;

pub use claimant::{ClaimRefused, Claimed, claim};
pub use records::ClaimRecords;
pub use witnesses::Witnesses;

/// Claims of calls that may not be repeated, as all threads share them.
#[derive(Debug, Default)]
pub struct ClaimState {
    /// This daemon's part as a witness.
    pub witnesses: Witnesses,
    /// Claims that this daemon holds, and what came of them.
    pub records: ClaimRecords,
}
