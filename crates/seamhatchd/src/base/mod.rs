//! What every layer of the daemon uses and nothing here decides: clock, HTTP clients, locks, logs, metrics.
//!
//! It owns no state of requests or members and knows no other layer but the settings.

pub mod clock;
pub mod http_client;
pub(crate) mod keepalive;
pub(crate) mod lock;
pub mod logging;
pub mod metrics;
