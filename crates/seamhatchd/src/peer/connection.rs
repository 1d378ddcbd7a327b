//! The sending end of a connection to another daemon: calls, claims and control requests go out on it.
//!
//! Owns the outbox, the table of calls and requests that wait for their end, and the view of the peer. Opened by the
//! [`PeerPool`](crate::peer::PeerPool); `handshake` opens it, `incoming` handles what the peer sends, `connection_task` runs
//! its tasks and ends it. Used by dispatch, claims and controllers.

use crate::base::clock;
use crate::base::lock::lock;
use crate::peer::call::CallStream;
use crate::peer::link::{LinkClosed, Outbox};
use crate::peer::loss::ConnectionLoss;
use crate::peer::outgoing_calls::OutgoingCalls;
use crate::peer::pending_replies::PendingReplies;
use crate::peer::view::PeerView;
use seamhatch_core::Instant;
use seamhatch_core::balance::CallEnd;
use seamhatch_core::claims::{Claim, ClaimReply, Epoch};
use seamhatch_core::crashes::LostRun;
use seamhatch_core::identity::{Address, Incarnation};
use seamhatch_wire::{CallHead, CallIntake, ControlReply, ControlRequest, PeerMessage};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// What the connection and its tasks share.
#[derive(Debug)]
pub(super) struct ConnectionState {
    view: Mutex<PeerView>,
    pub(super) calls: Arc<OutgoingCalls>,
    pub(super) claims: PendingReplies<ClaimReply>,
    pub(super) controls: PendingReplies<ControlReply>,
    pub(super) loss: ConnectionLoss,
    next_exchange: AtomicU64,
    /// When a call or request was last sent, in microseconds of the boot clock.
    last_used: AtomicU64,
}

impl ConnectionState {
    pub(super) fn new(peer_clock: Instant) -> Self {
        let now = clock::now();
        Self {
            view: Mutex::new(PeerView::new(peer_clock, now)),
            calls: Arc::default(),
            claims: PendingReplies::default(),
            controls: PendingReplies::default(),
            loss: ConnectionLoss::default(),
            next_exchange: AtomicU64::new(0),
            last_used: AtomicU64::new(now.0),
        }
    }

    pub(super) fn view(&self) -> MutexGuard<'_, PeerView> {
        lock(&self.view)
    }

    /// When a call or request was last sent.
    pub(super) fn last_used(&self) -> Instant {
        Instant(self.last_used.load(Ordering::Relaxed))
    }

    fn note_used(&self) {
        self.last_used.store(clock::now().0, Ordering::Relaxed);
    }

    /// Ends all calls and fails all requests that wait, as nothing more will come.
    pub(super) fn end_all(&self) {
        self.calls.end_all();
        self.claims.fail_all();
        self.controls.fail_all();
    }
}

/// An open connection on which this daemon sends calls. Cheap to clone.
#[derive(Debug, Clone)]
pub struct PeerConnection {
    /// The peer's address.
    pub address: Address,
    /// The peer's incarnation.
    pub incarnation: Incarnation,
    /// Service of the server beside it, as its first message states.
    pub service: Arc<str>,
    /// Additions to the messages that it reads.
    pub additions: u16,
    pub(super) outbox: Outbox,
    pub(super) state: Arc<ConnectionState>,
}

impl PeerConnection {
    /// Sends a call.
    ///
    /// # Errors
    /// [`LinkClosed`] when nothing was written.
    pub fn start_call(&self, head: CallHead) -> Result<CallStream, LinkClosed> {
        self.state.note_used();
        let call = head.call;
        let (events, window) = self.state.calls.add(call);
        let sent = self.send_unless_ending(head);
        if sent.is_err() {
            self.state.calls.remove(call);
            return Err(LinkClosed);
        }
        let (outbox, calls) = (self.outbox.clone(), self.state.calls.clone());
        Ok(CallStream { call, window, outbox, events, calls, ended: false })
    }

    /// Holds the view while it sends, so that no call follows the answer to a farewell.
    fn send_unless_ending(&self, head: CallHead) -> Result<(), LinkClosed> {
        let mut view = self.state.view();
        if view.is_stopping {
            return Err(LinkClosed);
        }
        view.note_sent(clock::now());
        self.outbox.send(PeerMessage::Call(Box::new(head)))
    }

    /// Sends a claim and waits for the reply; none when the connection was lost.
    pub async fn claim(&self, shard: u32, epoch: Epoch, claim: Claim) -> Option<ClaimReply> {
        let message = |exchange| PeerMessage::Claim { exchange, shard, epoch, claim };
        self.request(&self.state.claims, message).await
    }

    /// Sends a control request and waits for the reply; none when the connection was lost.
    pub async fn control(&self, request: ControlRequest) -> Option<ControlReply> {
        let message = |exchange| PeerMessage::ControlRequest { exchange, request };
        self.request(&self.state.controls, message).await
    }

    /// Sends a request under a number of its own and waits for the reply; none when the connection was lost.
    async fn request<R>(
        &self,
        pending: &PendingReplies<R>,
        message: impl FnOnce(u64) -> PeerMessage,
    ) -> Option<R> {
        self.state.note_used();
        let exchange = self.state.next_exchange.fetch_add(1, Ordering::Relaxed);
        let reply = pending.add(exchange);
        self.outbox.send(message(exchange)).ok()?;
        reply.await.ok()
    }

    /// Sends a message that needs no reply.
    pub fn send(&self, message: PeerMessage) {
        // Nobody waits for it, and the end of a connection is logged by its task.
        let _ = self.outbox.send(message);
    }

    /// Waits until the peer has been silent for so long that calls should leave it.
    pub async fn until_silent(&self) {
        loop {
            let now = clock::now();
            let due = self.state.view().silent_at();
            if now >= due {
                return;
            }
            tokio::time::sleep(Duration::from_micros(due.since(now))).await;
        }
    }

    /// Whether it can still be used.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.outbox.is_closed()
    }

    /// Translates a local instant into the peer's clock, erring early.
    #[must_use]
    pub fn to_peer_clock(&self, instant: Instant) -> Instant {
        self.state.view().to_peer_clock(instant)
    }

    /// Calls in flight on this connection.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.state.calls.count()
    }

    /// Records how a call to the peer ended.
    pub fn record(&self, end: CallEnd) {
        self.state.view().record(end, clock::now());
    }

    /// Records a call that was lost with this connection. Returns all that were lost so far and that nobody has reported, where the
    /// daemon has ended without having said that it leaves.
    pub async fn record_lost_run(&self, run: LostRun) -> Vec<LostRun> {
        let leaves = self.with_view(|view| view.intake != CallIntake::Open);
        if self.is_open() || leaves {
            return Vec::new();
        }
        self.state.loss.record(run, self.address.into()).await
    }

    /// Reads what is known of the peer without a copy. `read` must not use this connection, whose view is locked meanwhile.
    pub fn with_view<R>(&self, read: impl FnOnce(&PeerView) -> R) -> R {
        read(&self.state.view())
    }

    /// A copy of what is known of the peer.
    #[must_use]
    pub fn view(&self) -> PeerView {
        self.state.view().clone()
    }
}
