//! Bringing the faults of a plan about, and ending them.

use super::fault::{CutWay, ReloadLevel, SoakFault};
use super::fleet::DaemonIndex;
use crate::backends::Behaviour;
use crate::deployment::Deployment;
use crate::fault_proxy::Rule;
use crate::platform::PlatformFaults;
use crate::process::write_settings;
use rustix::process::Signal;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Service time of a back end that is as it should be, in percent.
const USUAL_PERCENT: u32 = 100;

/// How often each daemon has been started anew.
#[derive(Debug, Clone)]
pub struct DaemonLives(Arc<Vec<AtomicU32>>);

impl DaemonLives {
    /// Daemons in their first lives.
    #[must_use]
    pub fn new(daemons: usize) -> Self {
        Self(Arc::new((0..daemons).map(|_| AtomicU32::new(0)).collect()))
    }

    /// The present life of a daemon, from 0 on.
    #[must_use]
    pub fn of(&self, daemon: DaemonIndex) -> u32 {
        self.0[daemon].load(Ordering::Acquire)
    }

    fn next(&self, daemon: DaemonIndex) {
        self.0[daemon].fetch_add(1, Ordering::AcqRel);
    }
}

/// A fault that was brought about.
pub struct BegunFault {
    /// Which.
    pub fault: SoakFault,
    /// The lives that it struck, in the order of the fault's daemons.
    struck: Vec<u32>,
}

/// What has come of ending a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultEnd {
    /// It is over.
    Ended,
    /// A daemon that was asked to stop hasn't ended yet.
    StillStopping,
}

/// Makes a fault begin. A fault that strikes a process that has ended already does nothing.
///
/// # Errors
/// Changed settings can't be written.
pub fn begin(
    deployment: &mut Deployment,
    lives: &DaemonLives,
    fault: SoakFault,
) -> std::io::Result<BegunFault> {
    let struck = fault.daemons().into_iter().map(|daemon| lives.of(daemon)).collect();
    inject(deployment, &fault)?;
    Ok(BegunFault { fault, struck })
}

/// Asks a daemon to stop, once or once more.
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
        SoakFault::ServerCrash { daemon } => deployment.relays().crash(deployment.machines[*daemon].ip),
        // Submitted or sent by the run itself, which records what became of it.
        SoakFault::Configuration { .. } | SoakFault::DeadlyRequest { .. } => {}
    }
    Ok(())
}

/// Ends a fault, unless a daemon that was asked to stop is still at it.
///
/// # Errors
/// A daemon can't be started again, or told its settings.
pub fn end(
    deployment: &mut Deployment,
    lives: &DaemonLives,
    begun: &BegunFault,
) -> std::io::Result<FaultEnd> {
    match &begun.fault {
        SoakFault::PlannedStop { daemon } | SoakFault::HastyStop { daemon, .. }
            if begun.still_lives(*daemon, lives) && !deployment.daemons[*daemon].has_ended() =>
        {
            return Ok(FaultEnd::StillStopping);
        }
        SoakFault::Kill { .. } | SoakFault::PlannedStop { .. } | SoakFault::HastyStop { .. } => {
            end_by_force(deployment, lives, begun)?;
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
        SoakFault::ServerCrash { daemon } => deployment.relays().revive(deployment.machines[*daemon].ip),
        SoakFault::Configuration { .. } | SoakFault::DeadlyRequest { .. } => {}
    }
    Ok(FaultEnd::Ended)
}

/// Starts the daemons of a fault anew, also those that haven't ended, but not those that another fault has
/// started anew meanwhile.
///
/// # Errors
/// A daemon can't be started again.
pub fn end_by_force(
    deployment: &mut Deployment,
    lives: &DaemonLives,
    begun: &BegunFault,
) -> std::io::Result<()> {
    for daemon in begun.fault.daemons() {
        if begun.still_lives(daemon, lives) {
            lives.next(daemon);
            deployment.restart(daemon)?;
        }
    }
    Ok(())
}

impl BegunFault {
    /// Whether nobody has started the daemon anew since it was struck.
    fn still_lives(&self, daemon: DaemonIndex, lives: &DaemonLives) -> bool {
        let place = self.fault.daemons().iter().position(|own| *own == daemon);
        place.is_some_and(|place| self.struck[place] == lives.of(daemon))
    }
}

/// Sends a signal to a daemon, unless it has ended: its number may be another process's by now.
fn signal(deployment: &mut Deployment, daemon: DaemonIndex, signal: Signal) {
    if !deployment.daemons[daemon].has_ended() {
        // The only error is that there is no such process.
        let _ = deployment.daemons[daemon].signal(signal);
    }
}

/// Changes a daemon's settings file and has it read again.
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

/// Makes a fault of the platform begin or end.
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

/// Makes a fault of a back end begin.
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

fn restore(behaviour: &Behaviour) {
    behaviour.slowdown_percent.store(USUAL_PERCENT, Ordering::Relaxed);
    behaviour.failing.store(false, Ordering::Relaxed);
    behaviour.cuts_answers.store(false, Ordering::Relaxed);
    behaviour.forges_outcome.store(false, Ordering::Relaxed);
}

fn others(deployment: &Deployment, daemon: DaemonIndex) -> (Ipv4Addr, Vec<Ipv4Addr>) {
    let own = deployment.machines[daemon].ip;
    let others = deployment.machines.iter().map(|machine| machine.ip).filter(|ip| *ip != own);
    (own, others.collect())
}

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
