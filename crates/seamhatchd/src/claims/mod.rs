//! At-most-once execution: this daemon's role as a witness, the claims that it makes for its calls, and the results of those claims.
//!
//! [`Claimant`] claims before dispatch, [`Witnesses`] grant claims of other daemons, and [`ClaimRecords`] supply the answers for
//! repeated requests. All state is in memory: a restarted daemon counts as a new witness, and its earlier claims can't be looked up.
//! When a daemon stops in an orderly way, other daemons may hold its state ([`SealedMemories`]).

mod claimant;
mod records;
mod sealed;
mod witnesses;

pub use claimant::{ClaimRefused, Claimant, Claimed};
pub use records::ClaimRecords;
pub use sealed::SealedMemories;
pub use witnesses::Witnesses;

/// Claims of non-repeatable calls, shared by all threads.
#[derive(Debug, Default)]
pub struct ClaimState {
    /// This daemon's role as a witness.
    pub witnesses: Witnesses,
    /// Claims granted by witnesses that have retired.
    pub sealed: SealedMemories,
    /// Claims that this daemon made, with their results.
    pub records: ClaimRecords,
}
