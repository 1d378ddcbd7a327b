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
use crate::lifecycle::DaemonLifecycle;
use crate::limits::SharedLimits;
use crate::limits::entry_floors::EntryFloors;
use crate::peer::PeerPool;
use crate::server::ServerSide;
use crate::server::crashes::SuspectBook;
use crate::settings::Settings;
use crate::snapshot::Snapshot;
use arc_swap::{ArcSwap, Guard};
use seamhatch_core::Instant;
use seamhatch_core::identity::{CallId, Incarnation};
use seamhatch_wire::CallIntake;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

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
    pub server: Arc<ServerSide>,
    /// Evidence about requests that were at work when servers crashed, here and elsewhere.
    pub suspects: SuspectBook,
    /// How HTTP carries names, deadlines and outcomes.
    pub conventions: Arc<dyn HttpConventions>,
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
    /// The control thread.
    pub control: ControlHandle,
    /// The state that the control thread published last.
    pub published: Arc<ArcSwap<Snapshot>>,
    /// Whether this process is ready, draining or about to end.
    pub lifecycle: DaemonLifecycle,
    /// HTTP requests in progress at the listeners.
    pub open_requests: Arc<AtomicUsize>,
    /// Source of call numbers.
    pub next_call: AtomicU64,
}

/// Part of the time between a stop request and the end in which callers are still served. What is taken
/// then has the rest of the time to end.
const SERVED_SHARE_OF_GRACE: f64 = 0.45;

impl Shared {
    /// The published state.
    pub fn snapshot(&self) -> Guard<Arc<Snapshot>> {
        self.published.load()
    }

    /// Whether the daemon is leaving.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.lifecycle.is_draining()
    }

    /// Whether callers that come now would be cut off by the end of the process. Until then they are served,
    /// as they may not have learnt yet that it leaves.
    #[must_use]
    pub fn is_too_late_for_callers(&self) -> bool {
        let Some(grace) = self.lifecycle.grace_of_drain() else { return false };
        Duration::from_micros(self.lifecycle.draining_for()) > grace.mul_f64(SERVED_SHARE_OF_GRACE)
    }

    /// Which calls the server beside this daemon gets.
    ///
    /// While the daemon stops, its server may be the last one of its service that can be reached, since
    /// daemons are also stopped together. A back end that doesn't tell itself when it leaves stops with its
    /// daemon.
    #[must_use]
    pub fn intake(&self) -> CallIntake {
        let closed = !self.lifecycle.is_ready() || self.lifecycle.is_closing();
        if closed || !self.server.instances.is_open() {
            return CallIntake::Closed;
        }
        if !self.is_draining() {
            return CallIntake::Open;
        }
        match self.lifecycle.time_left() {
            Some(left) if left > 0 && self.server.instances.report_departures() => {
                CallIntake::FallbackOnly { left }
            }
            _ => CallIntake::Closed,
        }
    }

    /// Whether a call that starts now can end before the process does.
    #[must_use]
    pub fn can_finish(&self, expiry: Instant) -> bool {
        if self.lifecycle.is_closing() {
            return false;
        }
        if !self.is_draining() {
            return true;
        }
        let ends = self.lifecycle.time_left().map(|left| clock::now().plus(left));
        ends.is_some_and(|ends| expiry <= ends) || !self.is_too_late_for_callers()
    }

    /// Calls and HTTP requests in progress here.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.server.gate.in_flight().max(self.server.running.count())
            + self.open_requests.load(Ordering::Acquire)
    }

    /// Whether the server beside this daemon takes new work.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        self.serves_callers() && self.server.instances.is_open()
    }

    /// Whether callers are welcome at this daemon.
    #[must_use]
    pub fn serves_callers(&self) -> bool {
        self.lifecycle.serves_callers()
    }

    /// A number for a new call.
    #[must_use]
    pub fn new_call_id(&self) -> CallId {
        CallId(self.next_call.fetch_add(1, Ordering::Relaxed))
    }
}
