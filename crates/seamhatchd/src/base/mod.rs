//! What every layer of the daemon uses and nothing here decides: clock, sockets, logs, metrics.
//!
//! It owns no state of requests or members and knows no other layer but the settings.

pub mod clock;
pub(crate) mod keepalive;
pub(crate) mod lock;
pub mod logging;
pub mod metrics;
