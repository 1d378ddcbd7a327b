//! Begins and ends the faults of a plan in a running deployment.
//!
//! Owns nothing but the count of each daemon's restarts: a fault that ends a process starts the daemon again only if no other
//! fault has done so in the meantime. `steps` calls it at the plan's times.

use super::fault::{CutWay, ReloadLevel, SoakFault};
use super::fleet::DaemonIndex;
use crate::backends::{AWAY, Behaviour, NO_RATE};
use crate::deployment::Deployment;
use crate::fault_proxy::Rule;
use crate::platform::PlatformFaults;
use crate::process::write_settings;
use rustix::process::Signal;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Service time of a back end without a fault, in percent.
const USUAL_PERCENT: u32 = 100;

/// How often each daemon has been started again; cheap to clone.
#[derive(Debug, Clone)]
pub struct DaemonRestarts(Arc<Vec<AtomicU32>>);

impl DaemonRestarts {
    /// No daemon has been started again.
    #[must_use]
    pub fn new(daemons: usize) -> Self {
        Self(Arc::new((0..daemons).map(|_| AtomicU32::new(0)).collect()))
    }

    /// How often a daemon has been started again.
    #[must_use]
    pub fn of(&self, daemon: DaemonIndex) -> u32 {
        self.0[daemon].load(Ordering::Acquire)
    }

    fn count(&self, daemon: DaemonIndex) {
        self.0[daemon].fetch_add(1, Ordering::AcqRel);
    }
}

/// A fault that has begun.
pub struct BegunFault {
    /// The fault.
    pub fault: SoakFault,
    /// Restarts of each of the fault's daemons before it began, in the order of [`SoakFault::daemons`].
    restarts_before: Vec<u32>,
}

/// Result of ending a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultEnd {
    /// The fault is over.
    Ended,
    /// The daemon was asked to stop and hasn't ended yet.
    StillStopping,
}

/// Begins a fault. It has no effect on a process that has already ended.
///
/// # Errors
/// Changed settings can't be written.
pub fn begin(
    deployment: &mut Deployment,
    restarts: &DaemonRestarts,
    fault: SoakFault,
) -> std::io::Result<BegunFault> {
    let restarts_before = fault.daemons().into_iter().map(|daemon| restarts.of(daemon)).collect();
    inject(deployment, &fault)?;
    Ok(BegunFault { fault, restarts_before })
}

/// Asks a daemon to stop, for the first time or again.
pub fn ask_to_stop(deployment: &mut Deployment, daemon: DaemonIndex) {
    signal(deployment, daemon, Signal::TERM);
}

fn inject(deployment: &mut Deployment, fault: &SoakFault) -> std::io::Result<()> {
    match fault {
        SoakFault::Kill { daemons } => {
            daemons.iter().for_each(|&daemon| deployment.daemons[daemon].kill());
        }
        SoakFault::Pause { daemon } => signal(deployment, *daemon, Signal::STOP),
        SoakFault::PlannedStop { daemon } | SoakFault::HastyStop { daemon, .. } => {
            ask_to_stop(deployment, *daemon);
        }
        SoakFault::Reload { daemon, log_level, more_slots } => {
            reload(deployment, *daemon, Some(*log_level), *more_slots)?;
        }
        SoakFault::Cut { daemon, way } => cut(deployment, *daemon, *way),
        SoakFault::Reset { daemon } => between(deployment, *daemon, Rule::Reset),
        SoakFault::Delay { daemon, delay_ms } => {
            between(deployment, *daemon, Rule::Delay(Duration::from_millis(*delay_ms)));
        }
        SoakFault::StoreOut
        | SoakFault::StoreSlow { .. }
        | SoakFault::StoreThrottled { .. }
        | SoakFault::StoreLosesAnswers { .. }
        | SoakFault::MachinesOut => {
            deployment.platform.set_faults(|faults| set_platform_fault(faults, fault, true));
        }
        SoakFault::ServerSlow { daemon, .. }
        | SoakFault::ServerFails { daemon }
        | SoakFault::ServerCuts { daemon }
        | SoakFault::ServerForges { daemon } => misbehave(&behaviour(deployment, *daemon), fault),
        SoakFault::ServerNamesRate { daemon, rate_millis } => {
            behaviour(deployment, *daemon).rate_millis.store((*rate_millis).into(), Ordering::Relaxed);
        }
        SoakFault::ServerLeaves { daemon } => {
            behaviour(deployment, *daemon).leaving.store(true, Ordering::Relaxed);
        }
        SoakFault::ServerCrash { daemon } => deployment.relays().crash(deployment.machines[*daemon].ip),
        // `steps` submits or sends these and records the outcome.
        SoakFault::Configuration { .. } | SoakFault::DeadlyRequest { .. } => {}
    }
    Ok(())
}

/// Ends a fault, unless a daemon that was asked to stop still runs.
///
/// # Errors
/// A daemon can't be started again, or its settings can't be written.
pub fn end(
    deployment: &mut Deployment,
    restarts: &DaemonRestarts,
    begun: &BegunFault,
) -> std::io::Result<FaultEnd> {
    match &begun.fault {
        SoakFault::PlannedStop { daemon } | SoakFault::HastyStop { daemon, .. }
            if begun.is_same_incarnation(*daemon, restarts) && !deployment.daemons[*daemon].has_ended() =>
        {
            return Ok(FaultEnd::StillStopping);
        }
        SoakFault::Kill { .. } | SoakFault::PlannedStop { .. } | SoakFault::HastyStop { .. } => {
            end_by_force(deployment, restarts, begun)?;
        }
        SoakFault::Reload { daemon, .. } => reload(deployment, *daemon, None, 0)?,
        SoakFault::Pause { daemon } => signal(deployment, *daemon, Signal::CONT),
        SoakFault::Cut { daemon, .. } | SoakFault::Reset { daemon } | SoakFault::Delay { daemon, .. } => {
            between(deployment, *daemon, Rule::Pass);
        }
        SoakFault::StoreOut
        | SoakFault::StoreSlow { .. }
        | SoakFault::StoreThrottled { .. }
        | SoakFault::StoreLosesAnswers { .. }
        | SoakFault::MachinesOut => {
            deployment.platform.set_faults(|faults| set_platform_fault(faults, &begun.fault, false));
        }
        SoakFault::ServerSlow { daemon, .. }
        | SoakFault::ServerFails { daemon }
        | SoakFault::ServerCuts { daemon }
        | SoakFault::ServerForges { daemon } => restore(&behaviour(deployment, *daemon)),
        SoakFault::ServerNamesRate { daemon, .. } => {
            behaviour(deployment, *daemon).rate_millis.store(NO_RATE, Ordering::Relaxed);
        }
        SoakFault::ServerLeaves { daemon } => {
            behaviour(deployment, *daemon).leaving.store(false, Ordering::Relaxed);
            deployment.relays().crash_for(deployment.machines[*daemon].ip, AWAY);
        }
        SoakFault::ServerCrash { daemon } => deployment.relays().revive(deployment.machines[*daemon].ip),
        SoakFault::Configuration { .. } | SoakFault::DeadlyRequest { .. } => {}
    }
    Ok(FaultEnd::Ended)
}

/// Starts the daemons of a fault again, and kills those that still run first; not those that another fault has started again
/// in the meantime.
///
/// # Errors
/// A daemon can't be started again.
pub fn end_by_force(
    deployment: &mut Deployment,
    restarts: &DaemonRestarts,
    begun: &BegunFault,
) -> std::io::Result<()> {
    for daemon in begun.fault.daemons() {
        if begun.is_same_incarnation(daemon, restarts) {
            restarts.count(daemon);
            deployment.restart(daemon)?;
        }
    }
    Ok(())
}

impl BegunFault {
    /// Whether the daemon has not been started again since the fault began.
    fn is_same_incarnation(&self, daemon: DaemonIndex, restarts: &DaemonRestarts) -> bool {
        let position = self.fault.daemons().iter().position(|own| *own == daemon);
        position.is_some_and(|position| self.restarts_before[position] == restarts.of(daemon))
    }
}

/// Sends a signal to a daemon, unless it has ended: its process id may belong to another process by now.
fn signal(deployment: &mut Deployment, daemon: DaemonIndex, signal: Signal) {
    if !deployment.daemons[daemon].has_ended() {
        // The only error is that the process has just ended.
        let _ = deployment.daemons[daemon].signal(signal);
    }
}

/// Rewrites a daemon's settings file and makes the daemon reload it.
fn reload(
    deployment: &mut Deployment,
    daemon: DaemonIndex,
    log_level: Option<ReloadLevel>,
    more_slots: u32,
) -> std::io::Result<()> {
    let mut options = deployment.options.clone();
    let mut machine = deployment.machines[daemon].clone();
    machine.slots += more_slots;
    if let Some(level) = log_level {
        options.log_level = level.name().to_owned();
    }
    write_settings(&machine, &options)?;
    signal(deployment, daemon, Signal::HUP);
    Ok(())
}

/// Begins or ends a fault of the platform.
fn set_platform_fault(faults: &mut PlatformFaults, fault: &SoakFault, active: bool) {
    match fault {
        SoakFault::StoreOut => faults.store_out = active,
        SoakFault::StoreSlow { delay_ms } => {
            faults.delay = if active { Duration::from_millis(*delay_ms) } else { Duration::ZERO };
        }
        SoakFault::StoreThrottled { per_second } => faults.rate_limit = active.then_some(*per_second),
        SoakFault::StoreLosesAnswers { writes } => {
            faults.lose_write_answers = if active { *writes } else { 0 }
        }
        SoakFault::MachinesOut => faults.machines_out = active,
        other => unreachable!("{other:?} is no fault of the platform"),
    }
}

/// Begins a fault of a back end.
fn misbehave(behaviour: &Behaviour, fault: &SoakFault) {
    match fault {
        SoakFault::ServerSlow { percent, .. } => {
            behaviour.slowdown_percent.store(*percent, Ordering::Relaxed);
        }
        SoakFault::ServerFails { .. } => behaviour.failing.store(true, Ordering::Relaxed),
        SoakFault::ServerCuts { .. } => behaviour.cuts_answers.store(true, Ordering::Relaxed),
        SoakFault::ServerForges { .. } => behaviour.forges_outcome.store(true, Ordering::Relaxed),
        other => unreachable!("{other:?} is no fault of a back end"),
    }
}

fn behaviour(deployment: &Deployment, daemon: DaemonIndex) -> Arc<Behaviour> {
    deployment.backends.behaviour(&deployment.machines[daemon])
}

/// Ends all faults of a back end, also those of another fault that overlaps.
fn restore(behaviour: &Behaviour) {
    behaviour.slowdown_percent.store(USUAL_PERCENT, Ordering::Relaxed);
    behaviour.failing.store(false, Ordering::Relaxed);
    behaviour.cuts_answers.store(false, Ordering::Relaxed);
    behaviour.forges_outcome.store(false, Ordering::Relaxed);
}

/// Address of a daemon's machine and those of all the others.
fn others(deployment: &Deployment, daemon: DaemonIndex) -> (Ipv4Addr, Vec<Ipv4Addr>) {
    let own = deployment.machines[daemon].ip;
    let others = deployment.machines.iter().map(|machine| machine.ip).filter(|ip| *ip != own);
    (own, others.collect())
}

/// Sets the rule for both directions between a daemon and all the others.
fn between(deployment: &Deployment, daemon: DaemonIndex, rule: Rule) {
    let (own, others) = others(deployment, daemon);
    deployment.proxy().set_between(&[own], &others, rule);
}

fn cut(deployment: &Deployment, daemon: DaemonIndex, way: CutWay) {
    let (own, others) = others(deployment, daemon);
    match way {
        CutWay::Both => deployment.proxy().set_between(&[own], &others, Rule::Drop),
        CutWay::From => others.iter().for_each(|other| deployment.proxy().set(own, *other, Rule::Drop)),
        CutWay::To => others.iter().for_each(|other| deployment.proxy().set(*other, own, Rule::Drop)),
    }
}
