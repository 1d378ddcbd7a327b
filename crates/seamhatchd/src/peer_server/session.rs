//! One connection opened by another daemon. Messages are handled in order of arrival.
//!
//! Starts a [`ServerCall`] for each call, answers claims as a witness, and passes control requests to the
//! controllers. Owns the table of the connection's calls, which are cancelled when the connection ends or its peer
//! falls silent.

use crate::base::clock;
use crate::base::lock::lock;
use crate::base::metrics::BadInput;
use crate::intake::RequestEntry;
use crate::limits::freshness::ProofSource;
use crate::limits::quota;
use crate::peer::{CreditWindow, Outbox, PendingShutdownAck};
use crate::peer_server::call::ServerCall;
use crate::peer_server::cancellation::Cancellation;
use crate::peer_server::incoming_calls::{IncomingCall, IncomingCalls};
use crate::peer_server::request_credit::RequestCredit;
use crate::server::backend;
use crate::shared::Shared;
use bytes::Bytes;
use seamhatch_core::Instant;
use seamhatch_core::clock::PeerClock;
use seamhatch_core::quota::QuotaGrant;
use seamhatch_wire::{
    CallHead, ControlReply, ControlRequest, Farewell, FrameReader, Hello, PeerMessage, Pulse, WireError,
};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::tcp::OwnedReadHalf;

/// Time without a message after which the connection is closed; the sending end uses the same value.
const CLOSE_AFTER_SILENCE: Duration = Duration::from_secs(20);

/// The estimated boot clock of the daemon that sends calls. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub(super) struct SenderClock(Arc<Mutex<PeerClock>>);

impl SenderClock {
    /// Creates the clock of a peer whose first message carried the instant `sent`.
    pub(super) fn new(sent: Instant) -> Self {
        let clock = Self::default();
        clock.observe(sent);
        clock
    }

    /// Converts a local instant to the peer's clock; the result may be early, never late.
    pub(super) fn translate(&self, instant: Instant) -> Instant {
        // `new` has recorded an offset.
        self.lock().to_peer(instant).unwrap_or_default()
    }

    fn observe(&self, sent: Instant) {
        self.lock().observe(sent, clock::now());
    }

    fn lock(&self) -> MutexGuard<'_, PeerClock> {
        lock(&self.0)
    }
}

/// A connection on which another daemon sends calls.
pub(super) struct Session {
    pub(super) shared: Arc<Shared>,
    pub(super) outbox: Outbox,
    pub(super) hello: Hello,
    pub(super) calls: IncomingCalls,
    pub(super) peer_clock: SenderClock,
    pub(super) shutdown_ack: PendingShutdownAck,
}

impl Session {
    /// Handles messages until the connection ends or times out, then cancels its calls.
    pub(super) async fn run(&self, frames: FrameReader<OwnedReadHalf>) -> Result<(), WireError> {
        let result = self.read(frames).await;
        self.calls.cancel_all();
        result
    }

    async fn read(&self, mut frames: FrameReader<OwnedReadHalf>) -> Result<(), WireError> {
        loop {
            let next = tokio::time::timeout(CLOSE_AFTER_SILENCE, frames.next()).await;
            let next = next.map_err(|_| WireError::Io(std::io::ErrorKind::TimedOut.into()))?;
            let Some(message) = next? else { return Ok(()) };
            self.handle(message);
        }
    }

    fn handle(&self, message: PeerMessage) {
        match message {
            PeerMessage::Suspects(reports) => self.shared.suspects.merge(&reports),
            PeerMessage::Call(head) => self.start_call(*head),
            PeerMessage::RequestChunk { call, bytes } => self.calls.feed(call, Bytes::from(bytes)),
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
            PeerMessage::Pulse(heartbeat) => self.handle_heartbeat(&heartbeat),
            PeerMessage::RunningCalls(calls) => self.shared.restore_calls(calls, self.hello.peer),
            _ => self.shared.metrics.bad_input(BadInput::PeerConnection),
        }
    }

    fn handle_heartbeat(&self, heartbeat: &Pulse) {
        self.peer_clock.observe(heartbeat.clock);
        if heartbeat.farewell == Some(Farewell::Heard) {
            self.shutdown_ack.acknowledge();
        }
        let freshness = &self.shared.limits.freshness;
        let source = ProofSource::Peer(self.hello.peer);
        heartbeat.proof.into_iter().for_each(|proof| freshness.record(proof, source));
        self.shared.control.note_peer_generation(self.hello.peer, heartbeat.generation);
    }

    fn start_call(&self, head: CallHead) {
        let accepted = self.shared.intake.accept(RequestEntry::Peer);
        let (body_sender, body) = if head.has_body {
            let mut credit = RequestCredit::new(self.outbox.clone(), head.call);
            let (sender, body) = backend::request_body(Box::new(move |bytes| credit.record_taken(bytes)));
            (Some(sender), body)
        } else {
            (None, backend::no_body())
        };
        let window = Arc::new(CreditWindow::default());
        let cancellation = Arc::new(Cancellation::default());
        let entry =
            IncomingCall { body: body_sender, window: window.clone(), cancellation: cancellation.clone() };
        if !self.calls.add(head.call, entry) {
            self.shared.metrics.bad_input(BadInput::PeerConnection);
        }
        let server_call = ServerCall {
            shared: self.shared.clone(),
            outbox: self.outbox.clone(),
            calls: self.calls.clone(),
            window,
            cancellation,
            head,
            from: self.hello.peer,
            additions: self.hello.additions,
            arrived: clock::now(),
            progress: accepted.as_ref().map(|accepted| accepted.progress().clone()).unwrap_or_default(),
        };
        match accepted {
            Ok(accepted) => drop(tokio::spawn(async move { server_call.run(body, accepted).await })),
            Err(_) => server_call.refuse_stopping(),
        }
    }

    /// Answers a control request. Requests for quota tokens are answered here, all others by the control thread.
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
            // The requester treats a lost connection as no reply.
            let _ = outbox.send(PeerMessage::ControlReply { exchange, reply });
        });
    }

    fn send(&self, message: PeerMessage) {
        // A closed outbox means that the connection has ended; the read loop then ends the session.
        let _ = self.outbox.send(message);
    }
}
