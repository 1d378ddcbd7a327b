//! The project's emulator: stand-ins for the platform, the back ends and the
//! callers, deployments of real daemon processes, load, and reports.

pub mod backends;
pub mod bodies;
pub mod bound;
pub mod client;
pub mod connection;
pub mod conventions;
pub mod demo;
pub mod deployment;
pub mod experiment;
pub mod fault_proxy;
mod http_stand_in;
pub mod load;
pub mod network;
pub mod platform;
pub mod process;
pub mod relays;
pub mod report;
pub mod soak;
pub mod topology;
