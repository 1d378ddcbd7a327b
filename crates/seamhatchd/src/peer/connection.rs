//! The sending end of a connection to another daemon, for calls, claims and control requests.
//!
//! Owns the outbox, the tables of pending calls and requests, and the view of the peer. The
//! [`PeerPool`](crate::peer::PeerPool) opens it through `handshake`; `incoming` handles the peer's messages and
//! `connection_task` drives and closes it. Used by dispatch, claims and controllers.

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

/// State shared by the clones of a connection and by its task.
#[derive(Debug)]
pub(super) struct ConnectionState {
    view: Mutex<PeerView>,
    pub(super) calls: Arc<OutgoingCalls>,
    pub(super) claims: PendingReplies<ClaimReply>,
    pub(super) controls: PendingReplies<ControlReply>,
    pub(super) loss: ConnectionLoss,
    next_exchange: AtomicU64,
    /// Time of the last call or request sent, in microseconds of the boot clock.
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

    /// The time of the last call or request sent.
    pub(super) fn last_used(&self) -> Instant {
        Instant(self.last_used.load(Ordering::Relaxed))
    }

    fn note_used(&self) {
        self.last_used.store(clock::now().0, Ordering::Relaxed);
    }

    /// Ends all calls and fails all pending requests, because the connection is closed.
    pub(super) fn end_all(&self) {
        self.calls.end_all();
        self.claims.fail_all();
        self.controls.fail_all();
    }
}

/// A connection on which this daemon sends calls. Cheap to clone.
#[derive(Debug, Clone)]
pub struct PeerConnection {
    /// The peer's address.
    pub address: Address,
    /// The peer's incarnation.
    pub incarnation: Incarnation,
    /// Service of the server beside the peer, as stated in the peer's first message.
    pub service: Arc<str>,
    /// Level of message additions that the peer reads; see [`seamhatch_wire::ADDITIONS`].
    pub additions: u16,
    pub(super) outbox: Outbox,
    pub(super) state: Arc<ConnectionState>,
}

impl PeerConnection {
    /// Sends the head of a call.
    ///
    /// # Errors
    /// [`LinkClosed`] if the connection is closed or the peer is stopping; nothing is written.
    pub fn start_call(&self, head: CallHead) -> Result<CallStream, LinkClosed> {
        self.state.note_used();
        let call = head.call;
        let (events, window) = self.state.calls.add(call);
        let sent = self.send_unless_stopping(head);
        if sent.is_err() {
            self.state.calls.remove(call);
            return Err(LinkClosed);
        }
        let (outbox, calls) = (self.outbox.clone(), self.state.calls.clone());
        Ok(CallStream { call, window, outbox, events, calls, ended: false })
    }

    /// Sends a call unless the peer is stopping. The view stays locked during the send, so that no call is queued
    /// after the acknowledgement of the peer's shutdown.
    fn send_unless_stopping(&self, head: CallHead) -> Result<(), LinkClosed> {
        let mut view = self.state.view();
        if view.is_stopping {
            return Err(LinkClosed);
        }
        view.note_sent(clock::now());
        self.outbox.send(PeerMessage::Call(Box::new(head)))
    }

    /// Sends a claim and waits for the reply. Returns none if the connection is lost.
    pub async fn claim(&self, shard: u32, epoch: Epoch, claim: Claim) -> Option<ClaimReply> {
        let message = |exchange| PeerMessage::Claim { exchange, shard, epoch, claim };
        self.request(&self.state.claims, message).await
    }

    /// Sends a control request and waits for the reply. Returns none if the connection is lost.
    pub async fn control(&self, request: ControlRequest) -> Option<ControlReply> {
        let message = |exchange| PeerMessage::ControlRequest { exchange, request };
        self.request(&self.state.controls, message).await
    }

    /// Sends a request under a new exchange number and waits for the reply. Returns none if the connection is
    /// lost.
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

    /// Sends a message that has no reply.
    pub fn send(&self, message: PeerMessage) {
        // The connection's task logs the end of the connection.
        let _ = self.outbox.send(message);
    }

    /// Waits until the peer has been silent for so long that calls should no longer wait for it.
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

    /// Whether messages can still be sent.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.outbox.is_closed()
    }

    /// Converts a local instant to the peer's clock; the result may be early, never late.
    #[must_use]
    pub fn to_peer_clock(&self, instant: Instant) -> Instant {
        self.state.view().to_peer_clock(instant)
    }

    /// The number of calls in flight on this connection.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.state.calls.count()
    }

    /// Records the outcome of a call to the peer.
    pub fn record(&self, end: CallEnd) {
        self.state.view().record(end, clock::now());
    }

    /// Records a call that was lost with this connection. If the peer's process has ended without announcing a
    /// drain, returns all lost calls that have not been reported yet; otherwise returns none.
    pub async fn record_lost_run(&self, run: LostRun) -> Vec<LostRun> {
        let is_draining = self.with_view(|view| view.intake != CallIntake::Open);
        if self.is_open() || is_draining {
            return Vec::new();
        }
        self.state.loss.record(run, self.address.into()).await
    }

    /// Reads the view of the peer without copying it. `read` must not use this connection, because the view is
    /// locked.
    pub fn with_view<R>(&self, read: impl FnOnce(&PeerView) -> R) -> R {
        read(&self.state.view())
    }

    /// A copy of the view of the peer.
    #[must_use]
    pub fn view(&self) -> PeerView {
        self.state.view().clone()
    }
}
