//! A randomized soak: real daemons as processes, faults from outside at times drawn from a seed, and the
//! promises of docs/GUARANTEES.md checked from what callers, back ends and operators saw.

pub mod checks;
mod command;
pub mod draw;
pub mod exchanges;
pub mod fault;
pub mod fleet;
pub mod history;
pub mod injection;
pub mod load;
pub mod no_server;
mod output;
pub mod plan;
pub mod recorder;
pub mod report;
pub mod runner;
pub mod shrink;
pub mod spans;
pub mod steps;
mod stops;

pub use command::run;
