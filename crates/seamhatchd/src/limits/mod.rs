//! Limits that no daemon can keep alone: the tenants' quotas, retries to a service, what the servers of a service
//! admit together, and how old the configuration in force may be.
//!
//! The request path asks here; the control thread and the connections between daemons feed it.

pub mod call_times;
pub mod chain_costs;
pub mod entry_floors;
pub mod freshness;
pub mod peer_notices;
pub mod quota;
pub mod retry_budget;
pub mod service_floors;

use call_times::CallTimes;
use freshness::Freshness;
use peer_notices::PeerNotices;
use quota::Quota;
use retry_budget::RetryBudget;
use service_floors::ServiceFloors;

/// What all daemons bound together, as far as this daemon knows and may use it.
#[derive(Debug)]
pub struct SharedLimits {
    /// Retries that this daemon may cause.
    pub retry_budget: RetryBudget,
    /// How long calls of requests that run here take.
    pub call_times: CallTimes,
    /// What the services admit that this daemon calls.
    pub service_floors: ServiceFloors,
    /// What the back ends beside other daemons have said of themselves.
    pub peer_notices: PeerNotices,
    /// Whether the configuration in force is known to be the newest.
    pub freshness: Freshness,
    /// What is left of the tenants' limits.
    pub quota: Quota,
}
