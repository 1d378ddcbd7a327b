//! Reload of the settings on SIGHUP.
//!
//! Only the log level takes effect immediately; for all other changes a warning names the table that takes effect after the next
//! start. Runs as a task on the traffic runtime, started by [`crate::startup`].

use crate::settings::{self, Invocation, Settings};
use crate::shared::Shared;
use log::{error, info, warn};
use std::ffi::OsString;
use std::sync::Arc;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Installs the handler for SIGHUP; before that the signal ends the process. Must be called within a runtime.
///
/// # Errors
/// The signal handler can't be installed.
pub fn receive_hangups() -> std::io::Result<Signal> {
    signal(SignalKind::hangup())
}

/// Reloads the settings on each SIGHUP, with the arguments of the start.
pub async fn reload_on_hangup(shared: Arc<Shared>, arguments: Vec<OsString>, mut hangups: Signal) {
    while hangups.recv().await.is_some() {
        match settings::from_arguments(arguments.clone()) {
            Ok(Invocation::Run(read)) => apply(&shared.settings, &read),
            // The arguments are those with which the daemon was started, so they request a run.
            Ok(Invocation::Help | Invocation::Version | Invocation::Check(_)) => {}
            Err(problem) => {
                error!(error = problem.to_string().as_str(); "settings could not be reloaded; the earlier settings stay in force");
            }
        }
    }
}

fn apply(in_force: &Settings, read: &Settings) {
    log::set_max_level(read.log.level);
    info!(level = read.log.level.as_str(); "settings read again");
    let unchanged = [
        ("cluster", in_force.cluster == read.cluster),
        ("region", in_force.region == read.region),
        ("zone", in_force.zone == read.zone),
        ("service", in_force.service == read.service),
        ("listen", in_force.listen == read.listen),
        ("advertise", in_force.advertise == read.advertise),
        ("backend", (in_force.backend, in_force.slots) == (read.backend, read.slots)),
        ("platform", (in_force.store, in_force.machines) == (read.store, read.machines)),
        ("stop", in_force.grace == read.grace),
        ("retries", in_force.retries == read.retries),
        ("log.format", in_force.log.format == read.log.format),
    ];
    for (table, same) in unchanged {
        if !same {
            warn!(table = table; "changed settings of this table take effect after the next start");
        }
    }
}
