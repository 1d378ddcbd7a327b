//! State of a daemon that its threads share.
//!
//! [`crate::startup`] creates it once at the start; it is never replaced. Fields are grouped by layer, so that a component can be given
//! only the group that it uses. Whether a call is accepted while the daemon starts, drains or ends is decided here, since it depends on
//! the state of both the process and the back end.

use crate::base::clock;
use crate::base::metrics::Metrics;
use crate::claims::{ClaimState, Claimant};
use crate::control::ControlHandle;
use crate::conventions::HttpConventions;
use crate::intake::RequestIntake;
use crate::lifecycle::DaemonLifecycle;
use crate::limits::SharedLimits;
use crate::limits::chain_costs::ChainCosts;
use crate::limits::entry_floors::EntryFloors;
use crate::limits::quota::QuotaContext;
use crate::peer::{PeerPool, ShutdownAcks, UnwrittenMessages};
use crate::server::LocalServer;
use crate::server::crashes::{CrashContext, SuspectRegistry};
use crate::server::running::RunningCall;
use crate::settings::Settings;
use crate::snapshot::Snapshot;
use arc_swap::{ArcSwap, Guard};
use log::info;
use seamhatch_core::Instant;
use seamhatch_core::clock::Microseconds;
use seamhatch_core::drain::{BackEndState, CallIntake, StopState};
use seamhatch_core::identity::{Address, CallId, Incarnation};
use seamhatch_core::instance::InstanceId;
use seamhatch_core::notice::BackEndNotice;
use seamhatch_core::retry::RetryLedger;
use seamhatch_wire::HandedBackCall;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// State of a daemon that its threads share.
#[derive(Debug)]
pub struct Shared {
    /// Checked settings.
    pub settings: Settings,
    /// Identifies this run of the process.
    pub incarnation: Incarnation,
    /// Counters and gauges.
    pub metrics: Arc<Metrics>,
    /// The back end beside this daemon.
    pub server: Arc<LocalServer>,
    /// Evidence about requests that were running when servers crashed, here and elsewhere.
    pub suspects: Arc<SuspectRegistry>,
    /// Mapping of names, deadlines and outcomes to HTTP.
    pub conventions: Arc<dyn HttpConventions>,
    /// Messages to other daemons that have not been written yet.
    pub unwritten: UnwrittenMessages,
    /// Daemons that may send calls here and have not yet acknowledged the end of this one.
    pub shutdown_acks: ShutdownAcks,
    /// Connections to other daemons.
    pub pool: Arc<PeerPool>,
    /// Claims granted as a witness and made as a claimant.
    pub claims: Arc<ClaimState>,
    /// Makes claims for non-repeatable calls.
    pub claimant: Arc<Claimant>,
    /// Limits that all daemons enforce together.
    pub limits: Arc<SharedLimits>,
    /// Admission floors of the services called below the entry routes.
    pub entry_floors: EntryFloors,
    /// Cost of each kind of request below the entry routes.
    pub chain_costs: ChainCosts,
    /// Handle of the control thread.
    pub control: ControlHandle,
    /// The latest state published by the control thread.
    pub published: Arc<ArcSwap<Snapshot>>,
    /// Whether this process is ready, draining or about to end.
    pub lifecycle: DaemonLifecycle,
    /// The requests in progress.
    pub intake: Arc<RequestIntake>,
    /// Source of call numbers.
    pub next_call: AtomicU64,
}

impl Shared {
    /// The published state.
    pub fn snapshot(&self) -> Guard<Arc<Snapshot>> {
        self.published.load()
    }

    /// The context for charging a request to its tenant.
    #[must_use]
    pub fn quota_context(&self) -> QuotaContext<'_> {
        QuotaContext {
            quota: &self.limits.quota,
            pool: &self.pool,
            published: &self.published,
            zone: &self.settings.zone,
            own_peer: self.settings.advertise.peer,
        }
    }

    /// The context for the detection of crashes.
    #[must_use]
    pub fn crash_context(&self) -> CrashContext<'_> {
        CrashContext {
            server: &self.server,
            suspects: &self.suspects,
            metrics: &self.metrics,
            control: &self.control,
        }
    }

    /// Whether the daemon is leaving.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.lifecycle.is_draining()
    }

    /// Progress of the stop of this daemon.
    #[must_use]
    pub fn stop_state(&self) -> StopState {
        self.lifecycle.stop_state(self.intake.phase())
    }

    /// Whether new callers are refused because the process is about to end. Until then they are served, since they may not know yet that
    /// the daemon leaves.
    #[must_use]
    pub fn refuses_callers(&self) -> bool {
        self.stop_state().refuses_callers()
    }

    /// Which calls are accepted for the back end beside this daemon.
    #[must_use]
    pub fn call_intake(&self) -> CallIntake {
        let instances = &self.server.instances;
        let back_end =
            BackEndState { open: instances.is_open(), reports_departure: instances.reports_departure() };
        self.stop_state().intake(self.lifecycle.is_ready(), back_end)
    }

    /// Handles a back end's announcement in an answer that it leaves; it receives no further calls.
    pub fn note_leaving(&self, instance: Option<&InstanceId>) {
        let instances = &self.server.instances;
        let is_news = match instance {
            Some(instance) => {
                self.server.notices.note_leaving(instance);
                !instances.has_departed(instance) && {
                    instances.depart([instance]);
                    true
                }
            }
            None => instances.set_leaving(true),
        };
        if is_news {
            self.control.says_leaving(instance.cloned());
        }
    }

    /// Restores the back end's notice from before this process started, as returned by another daemon.
    pub fn restore_notice(&self, notice: &BackEndNotice) {
        if let Some(rate) = notice.rate {
            self.server.notices.hand_back_rate(notice.instance.as_ref(), rate);
        }
        // An unnamed instance may have been replaced since.
        if let Some(instance) = notice.instance.as_ref().filter(|_| notice.leaving) {
            self.note_leaving(Some(instance));
        }
    }

    /// Restores calls that the back end may run since before this process started, as handed back by the daemon at `from`.
    pub fn restore_calls(&self, calls: Vec<HandedBackCall>, from: Address) {
        info!(from = from.to_string().as_str(), calls = calls.len(); "calls from before this start handed back");
        for HandedBackCall { name, tenant, instance, context } in calls {
            let call = RunningCall::new(
                context.root,
                context.priority,
                clock::now().minus(context.root_age),
                context.expiry,
                context.depth + 1,
                RetryLedger::new(0, context.repeat),
            );
            self.server.running.restore(name, instance, Arc::new(call.of_tenant(tenant.as_deref())));
        }
    }

    /// Whether a call of another daemon that starts now can finish before the process ends; `usual` is the usual duration of such calls.
    #[must_use]
    pub fn can_finish(&self, expiry: Instant, usual: Option<Microseconds>) -> bool {
        self.stop_state().can_finish(expiry, usual, clock::now())
    }

    /// The deadline for work with the deadline `expiry` that is forwarded now, capped by the end of this process.
    #[must_use]
    pub fn capped_expiry(&self, expiry: Instant) -> Instant {
        self.stop_state().cap_expiry(expiry, clock::now())
    }

    /// Whether the server beside this daemon accepts new work.
    #[must_use]
    pub fn accepts_work(&self) -> bool {
        self.accepts_callers() && self.server.instances.is_open()
    }

    /// Whether the daemon accepts callers: it is ready and not draining.
    #[must_use]
    pub fn accepts_callers(&self) -> bool {
        self.lifecycle.accepts_callers()
    }

    /// A unique number for a new call.
    #[must_use]
    pub fn new_call_id(&self) -> CallId {
        CallId(self.next_call.fetch_add(1, Ordering::Relaxed))
    }
}
