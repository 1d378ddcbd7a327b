//! At-most-once in the daemon: its part as a witness, the claims it makes, and
//! what it remembers of them.

mod claimant;
mod records;
mod witnesses;

pub use claimant::{ClaimRefused, Claimed, claim};
pub use records::ClaimRecords;
pub use witnesses::Witnesses;
