//! A randomized soak: real daemon processes under load, faults at times drawn from a seed, and the promises of docs/GUARANTEES.md
//! checked over what callers, back ends and operators saw.
//!
//! - A plan: [`fleet`] and [`fault`] are its words, [`draw`] with `draw_back_ends` makes one from a seed, [`plan`] reads and writes files, [`shrink`] finds
//!   the smallest part that still fails.
//! - A run: [`runner`] starts the deployment, [`load`] sends requests, [`steps`] keeps the plan's times, [`injection`] begins and ends
//!   faults, [`recorder`] collects the [`history`].
//! - The verdict: [`checks`] with [`in_time`], `no_server`, `notices`, `rolls` and `stops`, pure functions over a history ([`exchanges`],
//!   [`spans`], `paths`) that find a [`promise`] broken.
//! - `command` is `seamhatch-lab soak`, [`report`] plots a history.

pub mod checks;
mod command;
mod contained;
pub mod draw;
mod draw_back_ends;
pub mod exchanges;
pub mod fault;
pub mod fleet;
pub mod history;
pub mod in_time;
pub mod injection;
pub mod load;
pub mod no_server;
mod notices;
mod output;
mod paths;
pub mod plan;
pub mod promise;
pub mod recorder;
pub mod report;
mod rolls;
pub mod runner;
pub mod shrink;
pub mod spans;
pub mod steps;
mod stops;

pub use command::run;
