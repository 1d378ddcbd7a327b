//! The seamhatch daemon: runs beside one back end and decides, for each call,
//! whether it runs, waits or is refused, and where it goes.
//!
//! Requests pass a chain of [`filters`]; state is kept by [`controllers`] on a
//! thread of their own, which publish an immutable [`snapshot`] to the threads
//! that carry traffic.

pub mod backend;
pub mod claims;
pub mod clock;
pub mod controllers;
pub mod conventions;
pub mod crashes;
pub mod dispatch;
pub mod filters;
pub mod freshness;
pub mod gate;
pub mod headers;
pub mod instances;
mod keepalive;
pub mod listeners;
pub mod logging;
pub mod metrics;
pub mod peer;
pub mod ports;
pub mod quota;
mod reload;
pub mod retry_budget;
pub mod running;
pub mod service_floors;
pub mod settings;
pub mod shared;
pub mod snapshot;
pub mod startup;
pub mod store;

pub use startup::{run, run_with};
