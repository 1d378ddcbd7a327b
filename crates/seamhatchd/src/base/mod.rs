//! Infrastructure used by all layers of the daemon: clock, HTTP clients, locks, logs, metrics. It makes no decisions.
//!
//! This layer owns no state of requests or members and depends on no other layer except the settings.

pub mod answer_head;
pub mod clock;
pub mod http_client;
pub(crate) mod keepalive;
pub(crate) mod lock;
pub mod logging;
pub mod metrics;
pub mod panics;
