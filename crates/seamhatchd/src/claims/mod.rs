//! At most once: this daemon's part as a witness, the claims that it makes for its calls, and what became of them.
//!
//! [`Claimant`] claims before dispatch; [`Witnesses`] grant claims of other daemons; [`ClaimRecords`] answer repeats of a
//! request. All state is in memory: a daemon that restarts is another witness, and its claims can't be asked about. What one remembers that stops in
//! order, others may hold ([`SealedMemories`]).

mod claimant;
mod records;
mod sealed;
mod witnesses;

pub use claimant::{ClaimRefused, Claimant, Claimed};
pub use records::ClaimRecords;
pub use sealed::SealedMemories;
pub use witnesses::Witnesses;

/// Claims of calls that are not repeatable, as all threads share them.
#[derive(Debug, Default)]
pub struct ClaimState {
    /// This daemon's part as a witness.
    pub witnesses: Witnesses,
    /// What witnesses remember that have retired.
    pub sealed: SealedMemories,
    /// Claims that this daemon made, and what became of them.
    pub records: ClaimRecords,
}
