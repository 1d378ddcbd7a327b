//! The seamhatch daemon: runs beside one back end and decides for each call
//! whether it runs, waits or is refused, and to which server it goes.
//!
//! Requests pass a chain of [`filters`]. The [`controllers`] keep state on a
//! dedicated thread and publish an immutable [`snapshot`] to the traffic
//! threads.
//!
//! The modules form layers; each uses only those above it in this list (`tests/layers.rs`):
//!
//! 1. [`settings`], and [`base`]: clock, HTTP clients, logs, metrics
//! 2. [`conventions`], [`store`], [`ports`]: the interfaces that a platform implements
//! 3. [`lifecycle`], [`intake`], [`snapshot`], [`control`]: the state of the process, the requests in progress, the state published by
//!    the control thread, and the interface of that thread
//! 4. [`server`]: the back end beside this daemon
//! 5. [`peer`]: connections on which this daemon calls others
//! 6. [`limits`] and [`claims`]: decisions that daemons make together
//! 7. [`shared`]: all of these, bundled for the layers below
//! 8. [`filters`], [`dispatch`], [`listeners`]: the path of a request; `peer_server`: calls of other daemons to the back end;
//!    [`controllers`]: the control thread
//! 9. [`startup`], `reload`, `stop`

pub mod base;
pub mod claims;
pub mod control;
pub mod controllers;
pub mod conventions;
pub mod dispatch;
pub mod filters;
pub mod intake;
pub mod lifecycle;
pub mod limits;
mod link_host;
pub mod listeners;
pub mod peer;
mod peer_server;
pub mod ports;
mod reload;
pub mod server;
pub mod settings;
pub mod shared;
pub mod snapshot;
pub mod startup;
mod stop;
pub mod store;

pub use startup::{run, run_with};
