//! The receiving end of connections: calls for the back end beside this daemon,
//! claims for this witness, and control messages.

use crate::base::clock;
use crate::base::lock::lock;
use crate::base::metrics::BadInput;
use crate::limits::quota;
use crate::peer::credit::CreditWindow;
use crate::peer::link::{self, Outbox};
use crate::peer::server_call::ServerCall;
use crate::server::backend::{self, BodyPiece, BrokenOff};
use crate::shared::Shared;
use bytes::Bytes;
use log::warn;
use seamhatch_core::Instant;
use seamhatch_core::clock::PeerClock;
use seamhatch_core::identity::CallId;
use seamhatch_core::quota::QuotaGrant;
use seamhatch_wire::{
    CallHead, ControlReply, ControlRequest, FrameReader, Hello, PeerMessage, WireError, read_preface,
    write_preface,
};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc};

/// Longest wait for a new connection's first message.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Wait after a failed accept, so that a lack of file descriptors doesn't spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// A peer that was silent for this long is gone.
const SILENCE_TO_CLOSE: Duration = Duration::from_secs(20);

/// Accepts connections of other daemons for ever.
pub async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                tokio::spawn(serve_connection(shared.clone(), stream, address.to_string()));
            }
            Err(error) => {
                warn!(error = error.to_string().as_str(); "accepting a daemon's connection failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(shared: Arc<Shared>, stream: TcpStream, address: String) {
    let result = run_connection(&shared, stream).await;
    if let Err(WireError::NotSeamhatch | WireError::Version { .. } | WireError::FrameTooLarge { .. }) =
        &result
    {
        shared.metrics.bad_input(BadInput::PeerConnection);
    }
    link::log_end(&address, &result);
}

async fn run_connection(shared: &Arc<Shared>, mut stream: TcpStream) -> Result<(), WireError> {
    stream.set_nodelay(true)?;
    let timed_out = |_| WireError::Io(std::io::ErrorKind::TimedOut.into());
    tokio::time::timeout(HELLO_TIMEOUT, read_preface(&mut stream)).await.map_err(timed_out)??;
    write_preface(&mut stream).await?;
    let (reader, writer) = stream.into_split();
    let mut frames = FrameReader::new(reader);
    let first = tokio::time::timeout(HELLO_TIMEOUT, frames.next()).await.map_err(timed_out)??;
    let Some(PeerMessage::Hello(hello)) = first else { return Err(WireError::NotSeamhatch) };
    if hello.cluster != shared.settings.cluster {
        return Err(WireError::NotSeamhatch);
    }
    shared.control.daemon_connected(hello.gossip);
    let (outbox, messages) = Outbox::new();
    // The outbox was made just now and can't be closed.
    let _ = outbox.send(PeerMessage::Hello(link::hello(shared)));
    let writing = AbortOnDrop(tokio::spawn(link::write_messages(writer, messages)));
    let calls = Calls::default();
    let peer_clock = SenderClock::default();
    peer_clock.observe(hello.clock);
    let pulses = AbortOnDrop(tokio::spawn({
        let (shared, outbox, calls, peer_clock) =
            (shared.clone(), outbox.clone(), calls.clone(), peer_clock.clone());
        async move {
            let is_busy = || !calls.lock().expect("calls lock").is_empty();
            link::send_pulses(&shared, outbox, is_busy, |instant| peer_clock.translate(instant)).await;
        }
    }));
    let session = Session { shared: shared.clone(), outbox, hello, calls, peer_clock };
    let result = session.read(frames).await;
    session.cancel_all();
    drop((writing, pulses));
    result
}

struct AbortOnDrop<T>(tokio::task::JoinHandle<T>);

impl<T> Drop for AbortOnDrop<T> {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// What the connection keeps of a call in progress.
pub(super) struct CallEntry {
    body: Option<mpsc::UnboundedSender<BodyPiece>>,
    window: Arc<CreditWindow>,
    cancelled: Arc<Cancellation>,
}

/// Tells a call that its sender has given it up.
#[derive(Debug, Default)]
pub(super) struct Cancellation {
    pub(super) notify: Notify,
}

/// Calls in progress on one connection.
pub(super) type Calls = Arc<Mutex<HashMap<CallId, CallEntry>>>;

/// The boot clock of the daemon that sends calls.
#[derive(Debug, Clone, Default)]
struct SenderClock(Arc<Mutex<PeerClock>>);

impl SenderClock {
    fn observe(&self, sent: Instant) {
        self.lock().observe(sent, clock::now());
    }

    /// Translates a local instant, erring early.
    fn translate(&self, instant: Instant) -> Instant {
        // The first message has told the clock.
        self.lock().to_peer(instant).unwrap_or_default()
    }

    fn lock(&self) -> MutexGuard<'_, PeerClock> {
        lock(&self.0)
    }
}

/// One connection of a daemon that sends calls here.
struct Session {
    shared: Arc<Shared>,
    outbox: Outbox,
    hello: Hello,
    calls: Calls,
    peer_clock: SenderClock,
}

impl Session {
    async fn read(&self, mut frames: FrameReader<tokio::net::tcp::OwnedReadHalf>) -> Result<(), WireError> {
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
            PeerMessage::RequestEnd { call } => self.end_body(call),
            PeerMessage::Cancel { call } => self.cancel(call),
            PeerMessage::Credit { call, bytes } => {
                if let Some(entry) = self.calls.lock().expect("calls lock").get(&call) {
                    entry.window.refill(bytes);
                }
            }
            PeerMessage::Claim { exchange, shard, epoch, claim } => {
                let reply = self.shared.claims.witnesses.claim(shard, epoch, claim);
                let _ = self.outbox.send(PeerMessage::ClaimReply { exchange, reply });
            }
            PeerMessage::ReleaseClaim { shard, epoch, key, holder } => {
                self.shared.claims.witnesses.release(shard, epoch, key, holder);
            }
            PeerMessage::ControlRequest {
                exchange,
                request: ControlRequest::GetTokens { shard, tenant, wanted },
            } => {
                let grant = quota::grant(&self.shared, shard, &tenant, wanted);
                let reply = grant.map_or(ControlReply::Declined, |QuotaGrant { tokens, pause }| {
                    ControlReply::Tokens { tokens, pause }
                });
                let _ = self.outbox.send(PeerMessage::ControlReply { exchange, reply });
            }
            PeerMessage::ControlRequest { exchange, request } => {
                let outbox = self.outbox.clone();
                let reply = self.shared.control.ask(request);
                tokio::spawn(async move {
                    let reply = reply.await;
                    let _ = outbox.send(PeerMessage::ControlReply { exchange, reply });
                });
            }
            PeerMessage::Pulse(pulse) => {
                self.peer_clock.observe(pulse.clock);
                pulse.proof.into_iter().for_each(|proof| self.shared.limits.freshness.prove(proof));
                self.shared.control.note_peer_generation(self.hello.peer, pulse.generation);
            }
            _ => self.shared.metrics.bad_input(BadInput::PeerConnection),
        }
    }

    fn start_call(&self, head: CallHead) {
        let (body_sender, body) = if head.has_body {
            let (sender, body) = backend::request_body();
            (Some(sender), body)
        } else {
            (None, backend::no_body())
        };
        let window = Arc::new(CreditWindow::default());
        let cancelled = Arc::new(Cancellation::default());
        let entry = CallEntry { body: body_sender, window: window.clone(), cancelled: cancelled.clone() };
        let call = head.call;
        let earlier = self.calls.lock().expect("calls lock").insert(call, entry);
        if earlier.is_some() {
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
            arrived: clock::now(),
        };
        tokio::spawn(async move { server_call.run(body).await });
    }

    fn feed(&self, call: CallId, bytes: Bytes) {
        let calls = self.calls.lock().expect("calls lock");
        let Some(body) = calls.get(&call).and_then(|entry| entry.body.as_ref()) else { return };
        let size = bytes.len() as u32;
        // The channel is bounded by the credit that is given here.
        if body.send(Ok(bytes)).is_ok() {
            let _ = self.outbox.send(PeerMessage::Credit { call, bytes: size });
        }
    }

    fn end_body(&self, call: CallId) {
        if let Some(entry) = self.calls.lock().expect("calls lock").get_mut(&call) {
            entry.body = None;
        }
    }

    fn cancel(&self, call: CallId) {
        if let Some(entry) = self.calls.lock().expect("calls lock").get_mut(&call) {
            entry.give_up();
        }
    }

    fn cancel_all(&self) {
        for entry in self.calls.lock().expect("calls lock").values_mut() {
            entry.give_up();
        }
    }
}

impl CallEntry {
    fn give_up(&mut self) {
        if let Some(body) = self.body.take() {
            // The back end must not take the part it has for the whole.
            let _ = body.send(Err(BrokenOff));
        }
        self.cancelled.notify.notify_one();
    }
}
