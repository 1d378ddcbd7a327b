//! The back end beside this daemon: its connections, its instances, the slots that calls wait for, the calls that it
//! runs, and its crashes.
//!
//! All calls to the back end pass through here, so that the daemon knows exactly what is in progress.

pub mod backend;
pub mod crashes;
pub mod gate;
pub mod instances;
pub mod running;
