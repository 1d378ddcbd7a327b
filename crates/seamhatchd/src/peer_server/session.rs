//! One connection that another daemon opened: handles its messages in the order in which they arrive.
//!
//! Starts a [`ServerCall`] for each call, answers claims as a witness and control requests for the controllers. Owns
//! the table of the connection's calls; their sender's silence or the connection's end cancels them.

use crate::base::clock;
use crate::base::lock::lock;
use crate::base::metrics::BadInput;
use crate::intake::RequestEntry;
use crate::limits::quota;
use crate::peer::{CreditWindow, Outbox, PendingShutdownAck, owed_credit};
use crate::peer_server::call::ServerCall;
use crate::peer_server::incoming_calls::{IncomingCall, IncomingCalls};
use crate::server::backend;
use crate::shared::Shared;
use bytes::Bytes;
use seamhatch_core::Instant;
use seamhatch_core::clock::PeerClock;
use seamhatch_core::identity::CallId;
use seamhatch_core::quota::QuotaGrant;
use seamhatch_wire::{
    CallHead, ControlReply, ControlRequest, Farewell, FrameReader, Hello, PeerMessage, Pulse, WireError,
};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::Notify;

/// A peer that was silent for this long is gone. The same as at the other end of a connection.
const SILENCE_TO_CLOSE: Duration = Duration::from_secs(20);

/// The boot clock of the daemon that sends calls. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub(super) struct SenderClock(Arc<Mutex<PeerClock>>);

impl SenderClock {
    /// The clock of a peer whose first message carried this instant.
    pub(super) fn new(sent: Instant) -> Self {
        let clock = Self::default();
        clock.observe(sent);
        clock
    }

    /// Translates a local instant, erring early.
    pub(super) fn translate(&self, instant: Instant) -> Instant {
        // An offset is known since the first message.
        self.lock().to_peer(instant).unwrap_or_default()
    }

    fn observe(&self, sent: Instant) {
        self.lock().observe(sent, clock::now());
    }

    fn lock(&self) -> MutexGuard<'_, PeerClock> {
        lock(&self.0)
    }
}

/// A connection of a daemon that sends calls here.
pub(super) struct Session {
    pub(super) shared: Arc<Shared>,
    pub(super) outbox: Outbox,
    pub(super) hello: Hello,
    pub(super) calls: IncomingCalls,
    pub(super) peer_clock: SenderClock,
    pub(super) farewell: PendingShutdownAck,
}

impl Session {
    /// Handles messages until the connection ends or falls silent, then cancels its calls.
    pub(super) async fn run(&self, frames: FrameReader<OwnedReadHalf>) -> Result<(), WireError> {
        let result = self.read(frames).await;
        self.calls.cancel_all();
        result
    }

    async fn read(&self, mut frames: FrameReader<OwnedReadHalf>) -> Result<(), WireError> {
        loop {
            let next = tokio::time::timeout(SILENCE_TO_CLOSE, frames.next()).await;
            let next = next.map_err(|_| WireError::Io(std::io::ErrorKind::TimedOut.into()))?;
            let Some(message) = next? else { return Ok(()) };
            self.handle(message);
        }
    }

    fn handle(&self, message: PeerMessage) {
        match message {
            PeerMessage::Suspects(reports) => self.shared.suspects.merge(&reports),
            PeerMessage::Call(head) => self.start_call(*head),
            PeerMessage::RequestChunk { call, bytes } => self.feed(call, Bytes::from(bytes)),
            PeerMessage::RequestEnd { call } => self.calls.end_body(call),
            PeerMessage::Cancel { call } => self.calls.cancel(call),
            PeerMessage::Credit { call, bytes } => self.calls.refill(call, bytes),
            PeerMessage::Claim { exchange, shard, epoch, claim } => {
                let reply = self.shared.claims.witnesses.claim(shard, epoch, claim);
                self.send(PeerMessage::ClaimReply { exchange, reply });
            }
            PeerMessage::ReleaseClaim { shard, epoch, key, holder } => {
                self.shared.claims.witnesses.release(shard, epoch, key, holder);
            }
            PeerMessage::ControlRequest { exchange, request } => self.answer_control(exchange, request),
            PeerMessage::Pulse(pulse) => self.handle_pulse(&pulse),
            _ => self.shared.metrics.bad_input(BadInput::PeerConnection),
        }
    }

    fn handle_pulse(&self, pulse: &Pulse) {
        self.peer_clock.observe(pulse.clock);
        if pulse.farewell == Some(Farewell::Heard) {
            self.farewell.acknowledge();
        }
        pulse.proof.into_iter().for_each(|proof| self.shared.limits.freshness.record(proof));
        self.shared.control.note_peer_generation(self.hello.peer, pulse.generation);
    }

    fn start_call(&self, head: CallHead) {
        let taken = self.shared.intake.accept(RequestEntry::Peer);
        let (body_sender, body) = if head.has_body {
            let (sender, body) = backend::request_body();
            (Some(sender), body)
        } else {
            (None, backend::no_body())
        };
        let window = Arc::new(CreditWindow::default());
        let cancelled = Arc::new(Notify::new());
        let entry = IncomingCall {
            body: body_sender,
            owed: owed_credit(),
            window: window.clone(),
            cancelled: cancelled.clone(),
        };
        if !self.calls.add(head.call, entry) {
            self.shared.metrics.bad_input(BadInput::PeerConnection);
        }
        let server_call = ServerCall {
            shared: self.shared.clone(),
            outbox: self.outbox.clone(),
            calls: self.calls.clone(),
            window,
            cancelled,
            head,
            from: self.hello.peer,
            additions: self.hello.additions,
            arrived: clock::now(),
            progress: taken.as_ref().map(|taken| taken.progress().clone()).unwrap_or_default(),
        };
        match taken {
            Ok(taken) => drop(tokio::spawn(async move { server_call.run(body, taken).await })),
            Err(_) => server_call.refuse_late(),
        }
    }

    /// Passes on a piece of a request body and gives its sender the credit that is due. The credit is all that bounds the
    /// channel to the back end.
    fn feed(&self, call: CallId, bytes: Bytes) {
        if let Some(bytes) = self.calls.feed(call, bytes) {
            self.send(PeerMessage::Credit { call, bytes });
        }
    }

    /// Answers a control request: tokens here, the rest on the control thread.
    fn answer_control(&self, exchange: u64, request: ControlRequest) {
        if let ControlRequest::GetTokens { shard, tenant, wanted } = request {
            let grant =
                quota::grant(&self.shared.limits.quota, &self.shared.snapshot(), shard, &tenant, wanted);
            let reply = grant.map_or(ControlReply::Declined, |QuotaGrant { tokens, pause }| {
                ControlReply::Tokens { tokens, pause }
            });
            return self.send(PeerMessage::ControlReply { exchange, reply });
        }
        let outbox = self.outbox.clone();
        let reply = self.shared.control.ask(request);
        tokio::spawn(async move {
            let reply = reply.await;
            // The asker treats a lost connection as no reply.
            let _ = outbox.send(PeerMessage::ControlReply { exchange, reply });
        });
    }

    fn send(&self, message: PeerMessage) {
        // A closed outbox means that the connection has ended; reading ends the session.
        let _ = self.outbox.send(message);
    }
}
