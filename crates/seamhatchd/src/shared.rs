//! The parts of a daemon that its threads share.
//!
//! Made once at the start by [`crate::startup`] and never replaced. Fields are grouped by layer, so that a piece can be handed only the
//! group that it uses. What a call may do while the daemon starts, drains or ends is asked here, as it depends on the state of
//! the process and of the back end together.

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
use crate::settings::Settings;
use crate::snapshot::Snapshot;
use arc_swap::{ArcSwap, Guard};
use seamhatch_core::Instant;
use seamhatch_core::clock::Microseconds;
use seamhatch_core::drain::{BackEndState, CallIntake, StopState};
use seamhatch_core::identity::{CallId, Incarnation};
use seamhatch_core::instance::InstanceId;
use seamhatch_core::notice::BackEndNotice;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// The parts of a daemon that its threads share.
#[derive(Debug)]
pub struct Shared {
    /// Checked settings.
    pub settings: Settings,
    /// This run of the process.
    pub incarnation: Incarnation,
    /// Counters and gauges.
    pub metrics: Arc<Metrics>,
    /// The back end beside this daemon.
    pub server: Arc<LocalServer>,
    /// Evidence about requests that were at work when servers crashed, here and elsewhere.
    pub suspects: Arc<SuspectRegistry>,
    /// How HTTP carries names, deadlines and outcomes.
    pub conventions: Arc<dyn HttpConventions>,
    /// Messages to other daemons that are not written yet.
    pub unwritten: UnwrittenMessages,
    /// Daemons that may send calls here and have not heard that this one ends.
    pub shutdown_acks: ShutdownAcks,
    /// Connections to other daemons.
    pub pool: Arc<PeerPool>,
    /// Claims, as a witness and as a claimant.
    pub claims: Arc<ClaimState>,
    /// Makes the claims of calls that are not repeatable.
    pub claimant: Arc<Claimant>,
    /// What all daemons bound together.
    pub limits: Arc<SharedLimits>,
    /// Floors met below the entry routes.
    pub entry_floors: EntryFloors,
    /// What requests of each kind cost below the entry routes.
    pub chain_costs: ChainCosts,
    /// The control thread.
    pub control: ControlHandle,
    /// The state that the control thread published last.
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

    /// What charging a request to its tenant uses.
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

    /// What the detection of crashes uses.
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

    /// How far the stop of this daemon has come.
    #[must_use]
    pub fn stop_state(&self) -> StopState {
        self.lifecycle.stop_state(self.intake.phase())
    }

    /// Whether callers that come now are refused, as the process is about to end. Until then they are served,
    /// as they may not have learnt yet that it leaves.
    #[must_use]
    pub fn refuses_callers(&self) -> bool {
        self.stop_state().refuses_callers()
    }

    /// Which calls the back end beside this daemon gets.
    #[must_use]
    pub fn call_intake(&self) -> CallIntake {
        let instances = &self.server.instances;
        let back_end =
            BackEndState { open: instances.is_open(), reports_departure: instances.reports_departure() };
        self.stop_state().intake(self.lifecycle.is_ready(), back_end)
    }

    /// The back end has said in an answer that it leaves: it gets nothing more from now on.
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

    /// Another daemon hands back what the back end said before this process started.
    pub fn restore_notice(&self, notice: &BackEndNotice) {
        if let Some(rate) = notice.rate {
            self.server.notices.hand_back_rate(notice.instance.as_ref(), rate);
        }
        // One without a name may be another one by now.
        if let Some(instance) = notice.instance.as_ref().filter(|_| notice.leaving) {
            self.note_leaving(Some(instance));
        }
    }

    /// Whether a call of another daemon that starts now can end before the process does; `usual` is how long calls of its kind take.
    #[must_use]
    pub fn can_finish(&self, expiry: Instant, usual: Option<Microseconds>) -> bool {
        self.stop_state().can_finish(expiry, usual, clock::now())
    }

    /// The deadline with which work that is due by `expiry` is sent on now.
    #[must_use]
    pub fn capped_expiry(&self, expiry: Instant) -> Instant {
        self.stop_state().cap_expiry(expiry, clock::now())
    }

    /// Whether the server beside this daemon takes new work.
    #[must_use]
    pub fn accepts_work(&self) -> bool {
        self.accepts_callers() && self.server.instances.is_open()
    }

    /// Whether callers are welcome at this daemon.
    #[must_use]
    pub fn accepts_callers(&self) -> bool {
        self.lifecycle.accepts_callers()
    }

    /// A number for a new call.
    #[must_use]
    pub fn new_call_id(&self) -> CallId {
        CallId(self.next_call.fetch_add(1, Ordering::Relaxed))
    }
}
