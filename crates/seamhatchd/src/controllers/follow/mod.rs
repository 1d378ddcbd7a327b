//! Following a store that keeps what it acknowledged.
//!
//! Tasks that run beside the control thread: they read and watch the configuration, prove that it is the newest, take shards of the tenants'
//! limits, and have the store remember departures and the requests that crash servers. They own no state that outlives a failure; what they
//! find goes to the control thread as events, which decides. `control_thread::followed` starts them.

mod configuration;
mod departures;
mod discovery;
mod evidence;
mod freshness;
mod own_record;
mod quota_shards;
mod store_calls;

pub use configuration::follow_configuration;
pub use departures::{ask_departures, remember_departure};
pub use discovery::discover;
pub use evidence::{EvidenceKeeper, EvidenceUpdate, keep_evidence};
pub use freshness::{ProofKeeper, keep_proof_fresh};
pub use quota_shards::{ShardKeeper, ShardOwner, holder_of, keep_quota_shards};
