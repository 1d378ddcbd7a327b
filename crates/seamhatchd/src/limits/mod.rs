//! Limits that no daemon can keep alone: the tenants' quotas, retries to a service, what the servers of a service
//! admit together, and how old the configuration in force may be.
//!
//! The request path asks here; the control thread and the connections between daemons feed it.

pub mod freshness;
pub mod quota;
pub mod retry_budget;
pub mod service_floors;
