//! Limits that a single daemon can't enforce alone: tenant quotas, retries to a service, admission
//! floors of services, and the age of the configuration in force.
//!
//! The request path reads them; the control thread and the connections between daemons update them.

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

/// Limits that all daemons enforce together, as far as this daemon knows them and may use them.
#[derive(Debug)]
pub struct SharedLimits {
    /// Retries that this daemon may cause.
    pub retry_budget: RetryBudget,
    /// Durations of calls made for requests that run here.
    pub call_times: CallTimes,
    /// Admission floors of the services that this daemon calls.
    pub service_floors: ServiceFloors,
    /// Notices of the back ends of other daemons.
    pub peer_notices: PeerNotices,
    /// Whether the configuration in force is known to be the newest.
    pub freshness: Freshness,
    /// What is left of the tenants' limits.
    pub quota: Quota,
}
