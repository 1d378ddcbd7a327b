//! Bringing the faults of a plan about, and ending them.

use super::plan::{CutWay, DaemonIndex, SoakFault};
use crate::backends::Behaviour;
use crate::deployment::Deployment;
use crate::faults::Rule;
use rustix::process::Signal;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Longest wait for a daemon that was asked to stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(60);
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

    fn ended(&self, daemon: DaemonIndex) {
        self.0[daemon].fetch_add(1, Ordering::AcqRel);
    }
}

/// Makes a fault begin. A fault that strikes a process that has ended already does nothing.
pub fn begin(deployment: &mut Deployment, lives: &DaemonLives, fault: &SoakFault) {
    match fault {
        SoakFault::Kill { daemons } => daemons.iter().for_each(|&daemon| {
            deployment.daemons[daemon].kill();
            lives.ended(daemon);
        }),
        SoakFault::Pause { daemon } => signal(deployment, *daemon, Signal::STOP),
        SoakFault::PlannedStop { daemon } => {
            signal(deployment, *daemon, Signal::TERM);
            tokio::task::block_in_place(|| deployment.daemons[*daemon].wait(STOP_TIMEOUT));
            lives.ended(*daemon);
        }
        SoakFault::Cut { daemon, way } => cut(deployment, *daemon, *way),
        SoakFault::Reset { daemon } => between(deployment, *daemon, Rule::Reset),
        SoakFault::Delay { daemon, delay_ms } => {
            between(deployment, *daemon, Rule::Delay(Duration::from_millis(*delay_ms)));
        }
        SoakFault::StoreOut => deployment.platform.set_faults(|faults| faults.store_out = true),
        SoakFault::StoreSlow { delay_ms } => {
            deployment.platform.set_faults(|faults| faults.delay = Duration::from_millis(*delay_ms));
        }
        SoakFault::StoreThrottled { per_second } => {
            deployment.platform.set_faults(|faults| faults.rate_limit = Some(*per_second));
        }
        SoakFault::StoreLosesAnswers { writes } => {
            deployment.platform.set_faults(|faults| faults.lose_write_answers = *writes);
        }
        SoakFault::MachinesOut => deployment.platform.set_faults(|faults| faults.machines_out = true),
        SoakFault::ServerSlow { daemon, percent } => {
            behaviour(deployment, *daemon).slowdown_percent.store(*percent, Ordering::Relaxed);
        }
        SoakFault::ServerFails { daemon } => {
            behaviour(deployment, *daemon).failing.store(true, Ordering::Relaxed);
        }
        SoakFault::ServerCuts { daemon } => {
            behaviour(deployment, *daemon).cuts_answers.store(true, Ordering::Relaxed);
        }
        SoakFault::ServerForges { daemon } => {
            behaviour(deployment, *daemon).forges_outcome.store(true, Ordering::Relaxed);
        }
        // Submitted by the run itself, which records what became of it.
        SoakFault::Configuration { .. } => {}
    }
}

/// Ends a fault.
///
/// # Errors
/// A daemon can't be started again.
pub fn end(deployment: &mut Deployment, fault: &SoakFault) -> std::io::Result<()> {
    match fault {
        SoakFault::Kill { daemons } => daemons.iter().try_for_each(|daemon| deployment.restart(*daemon))?,
        SoakFault::PlannedStop { daemon } => deployment.restart(*daemon)?,
        SoakFault::Pause { daemon } => signal(deployment, *daemon, Signal::CONT),
        SoakFault::Cut { daemon, .. } | SoakFault::Reset { daemon } | SoakFault::Delay { daemon, .. } => {
            between(deployment, *daemon, Rule::Pass);
        }
        SoakFault::StoreOut => deployment.platform.set_faults(|faults| faults.store_out = false),
        SoakFault::StoreSlow { .. } => deployment.platform.set_faults(|faults| faults.delay = Duration::ZERO),
        SoakFault::StoreThrottled { .. } => deployment.platform.set_faults(|faults| faults.rate_limit = None),
        SoakFault::StoreLosesAnswers { .. } => {
            deployment.platform.set_faults(|faults| faults.lose_write_answers = 0);
        }
        SoakFault::MachinesOut => deployment.platform.set_faults(|faults| faults.machines_out = false),
        SoakFault::ServerSlow { daemon, .. }
        | SoakFault::ServerFails { daemon }
        | SoakFault::ServerCuts { daemon }
        | SoakFault::ServerForges { daemon } => restore(&behaviour(deployment, *daemon)),
        SoakFault::Configuration { .. } => {}
    }
    Ok(())
}

/// Sends a signal to a daemon, unless another fault has ended it.
fn signal(deployment: &Deployment, daemon: DaemonIndex, signal: Signal) {
    // The only error is that there is no such process.
    let _ = deployment.daemons[daemon].signal(signal);
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
