//! Tasks that follow a durable store.
//!
//! They run beside the control thread: they read and watch the configuration, prove that it is the newest, take shards of the
//! tenants' limits, and record departures and requests that crash servers in the store. They own no state that outlives a
//! failure. Results go as events to the control thread, which makes the decisions. `control_thread::followed` starts the
//! tasks.

mod configuration;
mod departures;
mod discovery;
mod evidence;
mod freshness;
mod own_record;
mod quota_shards;
mod store_calls;

pub use configuration::follow_configuration;
pub use departures::{ask_departures, ask_to_hold, record_departure, try_to_record_departure};
pub use discovery::discover;
pub use evidence::{EvidenceKeeper, EvidenceUpdate, keep_evidence};
pub use freshness::{ProofKeeper, keep_proof_fresh};
pub use own_record::OwnRecord;
pub use quota_shards::{ShardKeeper, ShardOwner, holder_of, keep_quota_shards};
