//! The sending end of a connection to another daemon.

use crate::base::clock;
use crate::base::metrics::BadInput;
use crate::peer::call::{CallEvent, CallStream};
use crate::peer::credit::CreditWindow;
use crate::peer::link::{self, LinkClosed, Outbox};
use crate::peer::view::PeerView;
use crate::shared::Shared;
use bytes::Bytes;
use seamhatch_core::Instant;
use seamhatch_core::balance::CallEnd;
use seamhatch_core::claims::ClaimReply;
use seamhatch_core::clock::{Microseconds, SECOND};
use seamhatch_core::identity::{Address, CallId, Incarnation};
use seamhatch_wire::{
    CallHead, CallIntake, ControlReply, ControlRequest, FrameReader, PeerMessage, ServerReport, WireError,
    read_preface, write_preface,
};
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{Notify, mpsc, oneshot};

/// Longest wait for the connection and the peer's first message.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// A connection on which nothing was asked for this long is closed; random
/// exchanges between controllers must not add up to a full mesh.
const IDLE_TO_CLOSE: Microseconds = 10 * SECOND;

/// A peer that was silent for this long is given up, with the calls it has.
const SILENCE_TO_CLOSE: Microseconds = 20 * SECOND;

/// Pause after the first attempt to reach a silent peer on a new connection, doubled after each further
/// one. The first comes within 1.2 s of silence and costs a handshake; a peer that is frozen or cut off
/// costs one attempt in a few seconds.
const FIRST_RENEWAL_PAUSE: Microseconds = SECOND;
/// Longest pause between two such attempts.
const LONGEST_RENEWAL_PAUSE: Microseconds = 4 * SECOND;

#[derive(Debug)]
struct Inner {
    view: Mutex<PeerView>,
    calls: Mutex<HashMap<CallId, CallEntry>>,
    claims: Mutex<HashMap<u64, oneshot::Sender<ClaimReply>>>,
    controls: Mutex<HashMap<u64, oneshot::Sender<ControlReply>>>,
    in_flight: AtomicU32,
    next_exchange: AtomicU64,
    /// When something was last asked, in microseconds of the boot clock.
    last_asked: AtomicU64,
    closing: Notify,
}

#[derive(Debug)]
struct CallEntry {
    events: mpsc::UnboundedSender<CallEvent>,
    window: Arc<CreditWindow>,
}

/// Frees a call's entry in the connection's table.
#[derive(Debug, Clone)]
pub struct CallSlot(Arc<Inner>);

impl CallSlot {
    /// Forgets the call; what still comes for it is late.
    pub fn release(&self, call: CallId) {
        if self.0.calls().remove(&call).is_some() {
            self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

impl Inner {
    fn calls(&self) -> MutexGuard<'_, HashMap<CallId, CallEntry>> {
        self.calls.lock().expect("a thread panicked inside the table of calls")
    }

    fn view(&self) -> MutexGuard<'_, PeerView> {
        self.view.lock().expect("a thread panicked inside the view of a peer")
    }

    fn note_asked(&self) {
        self.last_asked.store(clock::now().0, Ordering::Relaxed);
    }

    fn is_idle(&self, now: Instant) -> bool {
        let asked = Instant(self.last_asked.load(Ordering::Relaxed));
        now.since(asked) > IDLE_TO_CLOSE && self.in_flight.load(Ordering::Relaxed) == 0
    }

    /// Nothing more will come: wake all that wait.
    fn close(&self) {
        let ended = std::mem::take(&mut *self.calls());
        self.in_flight.fetch_sub(ended.len() as u32, Ordering::Relaxed);
        self.claims.lock().expect("claims lock").clear();
        self.controls.lock().expect("controls lock").clear();
    }
}

/// An open connection on which this daemon sends calls.
#[derive(Debug, Clone)]
pub struct PeerConnection {
    /// The peer's address.
    pub address: Address,
    /// The peer's life.
    pub incarnation: Incarnation,
    /// Service of the server beside it, as it says itself.
    pub service: Arc<str>,
    outbox: Outbox,
    inner: Arc<Inner>,
}

impl PeerConnection {
    /// Connects to a daemon and exchanges first messages.
    ///
    /// # Errors
    /// [`WireError`]; no call was sent.
    pub async fn open(shared: &Arc<Shared>, address: Address) -> Result<Self, WireError> {
        let opening = Self::handshake(shared, address);
        tokio::time::timeout(CONNECT_TIMEOUT, opening)
            .await
            .map_err(|_| WireError::Io(std::io::ErrorKind::TimedOut.into()))?
    }

    async fn handshake(shared: &Arc<Shared>, address: Address) -> Result<Self, WireError> {
        let mut stream = connect_from(shared.settings.listen.peer.ip, address.into()).await?;
        stream.set_nodelay(true)?;
        write_preface(&mut stream).await?;
        let (outbox, messages) = Outbox::new();
        let (mut reader, writer) = stream.into_split();
        // The outbox was made just now and can't be closed.
        let _ = outbox.send(PeerMessage::Hello(link::hello(shared)));
        let writing = tokio::spawn(link::write_messages(writer, messages));
        read_preface(&mut reader).await?;
        let mut frames = FrameReader::new(reader);
        let Some(PeerMessage::Hello(hello)) = frames.next().await? else {
            writing.abort();
            return Err(WireError::NotSeamhatch);
        };
        if hello.cluster != shared.settings.cluster {
            writing.abort();
            return Err(WireError::NotSeamhatch);
        }
        let connection = Self {
            address,
            incarnation: hello.incarnation,
            service: hello.service.into(),
            outbox,
            inner: Arc::new(Inner::new(hello.clock)),
        };
        connection.spawn_tasks(shared, frames, writing);
        Ok(connection)
    }

    fn spawn_tasks(
        &self,
        shared: &Arc<Shared>,
        frames: FrameReader<tokio::net::tcp::OwnedReadHalf>,
        mut writing: tokio::task::JoinHandle<Result<(), WireError>>,
    ) {
        let (connection, shared) = (self.clone(), shared.clone());
        tokio::spawn(async move {
            let to_peer_clock = |instant| connection.to_peer_clock(instant);
            let result = tokio::select! {
                result = connection.read(&shared, frames) => result,
                _ = link::send_pulses(&shared, connection.outbox.clone(), || false, to_peer_clock) => Ok(()),
                () = connection.until_silent_or_idle(&shared) => Ok(()),
                () = connection.inner.closing.notified() => Ok(()),
                result = &mut writing => result.unwrap_or(Ok(())),
            };
            // Ends the writer before the calls are told, so that none can be added any more.
            writing.abort();
            while !connection.outbox.is_closed() {
                tokio::task::yield_now().await;
            }
            connection.inner.close();
            shared.limits.service_floors.forget(&connection.service, connection.address);
            shared.pool.forget(&connection);
            link::log_end(&connection.address.to_string(), &result);
        });
    }

    async fn until_silent_or_idle(&self, shared: &Arc<Shared>) {
        let mut next_renewal = Instant(0);
        let mut pause = FIRST_RENEWAL_PAUSE;
        loop {
            tokio::time::sleep(link::PULSE_INTERVAL).await;
            let now = clock::now();
            let view = self.view();
            let silent = now.since(view.last_heard) > SILENCE_TO_CLOSE;
            if silent || self.inner.is_idle(now) {
                return;
            }
            if !view.is_silent(now) {
                pause = FIRST_RENEWAL_PAUSE;
            } else if now >= next_renewal {
                self.renew(shared);
                next_renewal = now.plus(pause);
                pause = (2 * pause).min(LONGEST_RENEWAL_PAUSE);
            }
        }
    }

    /// Has the pool open a new connection beside this silent one, which may be the only thing that is
    /// wrong with the peer. Calls on this one go on: it may be heard again.
    fn renew(&self, shared: &Arc<Shared>) {
        let (shared, address) = (shared.clone(), self.address);
        // Who can't be reached now is tried again.
        tokio::spawn(async move { drop(shared.pool.get(&shared, address).await) });
    }

    async fn read(
        &self,
        shared: &Arc<Shared>,
        mut frames: FrameReader<tokio::net::tcp::OwnedReadHalf>,
    ) -> Result<(), WireError> {
        while let Some(message) = frames.next().await? {
            self.inner.view().last_heard = clock::now();
            self.handle(shared, message);
        }
        Ok(())
    }

    fn handle(&self, shared: &Arc<Shared>, message: PeerMessage) {
        match message {
            PeerMessage::Pulse(pulse) => {
                self.inner.view().take_pulse(&pulse);
                pulse.proof.into_iter().for_each(|proof| shared.limits.freshness.prove(proof));
                if pulse.intake == CallIntake::Closed {
                    shared.limits.service_floors.forget(&self.service, self.address);
                } else {
                    let floors = &shared.limits.service_floors;
                    let floor = floors.note(&self.service, self.address, pulse.server, clock::now());
                    shared.entry_floors.learn_service(&self.service, floor);
                }
                shared.control.note_peer_generation(self.address, pulse.generation);
            }
            PeerMessage::Suspects(reports) => shared.suspects.merge(&reports),
            PeerMessage::Refused { call, refusal } => {
                self.note_report(shared, refusal.server);
                self.deliver(shared, call, CallEvent::Refused(refusal));
            }
            PeerMessage::AnswerHead(head) => {
                self.note_report(shared, head.server);
                self.deliver(shared, head.call, CallEvent::Head(head));
            }
            PeerMessage::AnswerChunk { call, bytes } => {
                self.deliver(shared, call, CallEvent::Chunk(Bytes::from(bytes)));
            }
            PeerMessage::AnswerTail(tail) => self.deliver(shared, tail.call, CallEvent::Tail(tail)),
            PeerMessage::Credit { call, bytes } => {
                if let Some(entry) = self.inner.calls().get(&call) {
                    entry.window.refill(bytes);
                }
            }
            PeerMessage::ClaimReply { exchange, reply } => {
                let waiting = self.inner.claims.lock().expect("claims lock").remove(&exchange);
                waiting.map(|waiting| waiting.send(reply));
            }
            PeerMessage::ControlReply { exchange, reply } => {
                let waiting = self.inner.controls.lock().expect("controls lock").remove(&exchange);
                waiting.map(|waiting| waiting.send(reply));
            }
            _ => shared.metrics.bad_input(BadInput::PeerConnection),
        }
    }

    /// Takes in what the peer tells of its server beside an answer, unless that takes no more work.
    fn note_report(&self, shared: &Shared, report: ServerReport) {
        let intake = {
            let mut view = self.inner.view();
            view.server = Some(report);
            view.intake
        };
        if intake != CallIntake::Closed {
            shared.limits.service_floors.note(&self.service, self.address, report, clock::now());
        }
    }

    fn deliver(&self, shared: &Shared, call: CallId, event: CallEvent) {
        let delivered = self.inner.calls().get(&call).is_some_and(|entry| entry.events.send(event).is_ok());
        if !delivered {
            shared.metrics.bad_input(BadInput::LateAnswer);
        }
    }

    /// Sends a call.
    ///
    /// # Errors
    /// [`LinkClosed`] when nothing was written.
    pub fn start_call(&self, head: CallHead) -> Result<CallStream, LinkClosed> {
        self.inner.note_asked();
        let (sender, events) = mpsc::unbounded_channel();
        let window = Arc::new(CreditWindow::default());
        let call = head.call;
        self.inner.calls().insert(call, CallEntry { events: sender, window: window.clone() });
        self.inner.in_flight.fetch_add(1, Ordering::Relaxed);
        let slot = CallSlot(self.inner.clone());
        let sent = self.outbox.send(PeerMessage::Call(Box::new(head)));
        if sent.is_err() {
            slot.release(call);
            return Err(LinkClosed);
        }
        Ok(CallStream { call, window, outbox: self.outbox.clone(), events, slot, ended: false })
    }

    /// Sends a claim and waits for the reply; none when the connection was lost.
    pub async fn claim(
        &self,
        shard: u32,
        epoch: seamhatch_core::claims::Epoch,
        claim: seamhatch_core::claims::Claim,
    ) -> Option<ClaimReply> {
        self.inner.note_asked();
        let exchange = self.inner.next_exchange.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        self.inner.claims.lock().expect("claims lock").insert(exchange, sender);
        self.outbox.send(PeerMessage::Claim { exchange, shard, epoch, claim }).ok()?;
        receiver.await.ok()
    }

    /// Sends a control request and waits for the reply; none when the connection was lost.
    pub async fn control(&self, request: ControlRequest) -> Option<ControlReply> {
        self.inner.note_asked();
        let exchange = self.inner.next_exchange.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        self.inner.controls.lock().expect("controls lock").insert(exchange, sender);
        self.outbox.send(PeerMessage::ControlRequest { exchange, request }).ok()?;
        receiver.await.ok()
    }

    /// Puts a message out that needs no reply.
    pub fn send(&self, message: PeerMessage) {
        // Nobody waits for it; a lost connection shows elsewhere.
        let _ = self.outbox.send(message);
    }

    /// Ends the connection and the calls on it.
    pub fn close(&self) {
        self.inner.closing.notify_one();
    }

    /// Waits until nothing has been heard of the peer for so long that it should be given up for now.
    pub async fn until_silent(&self) {
        loop {
            let now = clock::now();
            let due = self.inner.view().silent_at();
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
        // The first message, which came before this connection existed, gave an offset.
        self.inner.view().to_peer_clock(instant)
    }

    /// Calls in flight on this connection.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.inner.in_flight.load(Ordering::Relaxed)
    }

    /// Takes in how a call ended.
    pub fn record(&self, end: CallEnd) {
        self.inner.view().record(end, clock::now());
    }

    /// What is known of the peer.
    #[must_use]
    pub fn view(&self) -> PeerView {
        self.inner.view().clone()
    }
}

/// Connects from the daemon's own address, so that the other side's logs and
/// filters see which machine it is.
async fn connect_from(own: IpAddr, target: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = if target.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if own.is_ipv4() == target.is_ipv4() {
        socket.bind(SocketAddr::new(own, 0))?;
    }
    socket.connect(target).await
}

impl Inner {
    fn new(peer_clock: Instant) -> Self {
        let now = clock::now();
        let view = PeerView::new(peer_clock, now);
        Self {
            view: Mutex::new(view),
            calls: Mutex::default(),
            claims: Mutex::default(),
            controls: Mutex::default(),
            in_flight: AtomicU32::new(0),
            next_exchange: AtomicU64::new(0),
            last_asked: AtomicU64::new(now.0),
            closing: Notify::new(),
        }
    }
}
