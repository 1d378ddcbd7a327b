//! The parts of a peer connection that both ends share: the outbox and its writer, the first message, and
//! heartbeats.
//!
//! A heartbeat reports this daemon's configuration generation, which calls its back end accepts, the back end's
//! load, and the freshness proof. A heartbeat is sent immediately when the back end starts or stops accepting
//! calls, and otherwise on the schedule of [`seamhatch_core::heartbeat`].

use crate::base::clock;
use crate::peer::host::{LinkHost, LocalState};
use log::debug;
use seamhatch_core::Instant;
use seamhatch_core::clock::Microseconds;
use seamhatch_core::freshness::FreshnessProof;
use seamhatch_core::heartbeat::{HeartbeatSchedule, LinkActivity, LinkEnd};
use seamhatch_core::identity::Address;
use seamhatch_wire::{Farewell, Hello, PeerMessage, Pulse, WireError, encode_frame};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, LazyLock};
use std::time::Duration;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc;

/// The common time origin of all heartbeat schedules of this process, so that one wake-up serves all connections.
static HEARTBEAT_START: LazyLock<tokio::time::Instant> = LazyLock::new(tokio::time::Instant::now);

/// Number of buffered bytes at which a batch of messages is written.
const WRITE_BATCH_BYTES: usize = 64 * 1024;

/// Counts the messages of all connections that are queued and not yet written. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct UnwrittenMessages(Arc<AtomicUsize>);

impl UnwrittenMessages {
    /// The number of unwritten messages.
    #[must_use]
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }

    fn add(&self) {
        self.0.fetch_add(1, Ordering::AcqRel);
    }

    fn remove(&self, count: usize) {
        self.0.fetch_sub(count, Ordering::AcqRel);
    }
}

/// The sending half of a connection's queue of outgoing messages. Cheap to clone.
#[derive(Debug, Clone)]
pub struct Outbox {
    messages: mpsc::UnboundedSender<PeerMessage>,
    unwritten: UnwrittenMessages,
    /// Total number of messages queued so far.
    sent: Arc<AtomicU64>,
}

/// The receiving half of an [`Outbox`], read by the connection's writer.
#[derive(Debug)]
pub struct OutboxReader {
    messages: mpsc::UnboundedReceiver<PeerMessage>,
    unwritten: UnwrittenMessages,
    /// Messages taken from the queue and not yet written.
    unflushed: usize,
}

/// Error: the connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkClosed;

impl Outbox {
    /// Creates an outbox and its reader; `unwritten` counts its messages.
    #[must_use]
    pub fn new(unwritten: UnwrittenMessages) -> (Self, OutboxReader) {
        let (sender, messages) = mpsc::unbounded_channel();
        let reader = OutboxReader { messages, unwritten: unwritten.clone(), unflushed: 0 };
        (Self { messages: sender, unwritten, sent: Arc::default() }, reader)
    }

    /// Queues a message.
    ///
    /// # Errors
    /// [`LinkClosed`] if the writer has stopped; the message is not written.
    pub fn send(&self, message: PeerMessage) -> Result<(), LinkClosed> {
        self.unwritten.add();
        self.sent.fetch_add(1, Ordering::Relaxed);
        self.messages.send(message).map_err(|_| {
            self.unwritten.remove(1);
            LinkClosed
        })
    }

    /// The number of messages queued so far.
    fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Whether the writer has stopped.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.messages.is_closed()
    }
}

impl OutboxReader {
    /// Encodes queued messages into `buffer` for one write. Returns false when the outbox is closed.
    async fn fill_batch(&mut self, buffer: &mut Vec<u8>) -> Result<bool, WireError> {
        let Some(message) = self.messages.recv().await else { return Ok(false) };
        self.unflushed = 1;
        encode_frame(&message, buffer)?;
        while buffer.len() < WRITE_BATCH_BYTES {
            let Ok(message) = self.messages.try_recv() else { break };
            self.unflushed += 1;
            encode_frame(&message, buffer)?;
        }
        Ok(true)
    }

    /// Marks all encoded messages as written.
    fn note_written(&mut self) {
        self.unwritten.remove(std::mem::take(&mut self.unflushed));
    }
}

impl Drop for OutboxReader {
    fn drop(&mut self) {
        self.messages.close();
        while self.messages.try_recv().is_ok() {
            self.unflushed += 1;
        }
        self.note_written();
    }
}

/// Writes the messages of an outbox until the outbox closes or the connection fails.
///
/// # Errors
/// [`WireError`] if encoding or writing fails.
pub async fn write_messages(
    mut stream: impl AsyncWrite + Unpin,
    mut messages: OutboxReader,
) -> Result<(), WireError> {
    let mut buffer = Vec::with_capacity(WRITE_BATCH_BYTES);
    while messages.fill_batch(&mut buffer).await? {
        stream.write_all(&buffer).await?;
        messages.note_written();
        buffer.clear();
        buffer.shrink_to(WRITE_BATCH_BYTES);
    }
    Ok(())
}

/// Sends heartbeats until the outbox closes. `is_busy` returns whether calls of the peer are in progress.
/// `to_peer_clock` converts a local instant to the peer's clock; its result may be early, never late.
pub async fn send_heartbeats(
    host: &dyn LinkHost,
    peer: Address,
    end: LinkEnd,
    outbox: Outbox,
    is_busy: impl Fn() -> bool,
    to_peer_clock: impl Fn(Instant) -> Instant,
) {
    let mut schedule = HeartbeatSchedule::new(end, heartbeat_time());
    // The instance that the peer was told last.
    let mut told = None;
    loop {
        // Subscribes before the state is read, so that no change is missed.
        let changed = host.intake_changed();
        tokio::pin!(changed);
        changed.as_mut().enable();
        let mut heartbeat = heartbeat(host, peer, &to_peer_clock);
        if end == LinkEnd::Calling || heartbeat.instance == told {
            heartbeat.instance = None;
        } else if heartbeat.instance.is_some() {
            told.clone_from(&heartbeat.instance);
        }
        if outbox.send(PeerMessage::Pulse(heartbeat)).is_err() {
            return;
        }
        tokio::select! {
            () = until_heartbeat_due(&mut schedule, &outbox, &is_busy) => {}
            // Peers must learn without delay whether the back end accepts calls.
            () = changed => {}
        }
    }
}

/// Waits until a heartbeat is due. Activity is checked at each instant of the schedule, since calls may arrive
/// while waiting.
async fn until_heartbeat_due(schedule: &mut HeartbeatSchedule, outbox: &Outbox, is_busy: &impl Fn() -> bool) {
    let mut sent = outbox.sent();
    loop {
        sleep_until_heartbeat(schedule.next_check()).await;
        let sent_now = outbox.sent();
        let activity = LinkActivity { is_busy: is_busy(), has_sent: sent_now != sent };
        if schedule.is_due(heartbeat_time(), activity) {
            return;
        }
        sent = sent_now;
    }
}

/// The time since [`HEARTBEAT_START`].
pub(super) fn heartbeat_time() -> Microseconds {
    HEARTBEAT_START.elapsed().as_micros() as Microseconds
}

/// Sleeps until `time` after [`HEARTBEAT_START`].
pub(super) async fn sleep_until_heartbeat(time: Microseconds) {
    tokio::time::sleep_until(*HEARTBEAT_START + Duration::from_micros(time)).await;
}

/// Builds a heartbeat from the current local state.
pub(super) fn heartbeat(
    host: &dyn LinkHost,
    peer: Address,
    to_peer_clock: &impl Fn(Instant) -> Instant,
) -> Pulse {
    let LocalState { generation, intake, server, proof, turn, notice, instance, pace, is_stopping } =
        host.local_state(peer);
    let proof = proof.map(|proof| FreshnessProof { at: to_peer_clock(proof.at), ..proof });
    let farewell = is_stopping.then_some(Farewell::Said);
    Pulse { clock: clock::now(), generation, intake, server, proof, turn, notice, farewell, pace, instance }
}

/// Checks that the peer's first message is a `Hello` of this cluster.
///
/// # Errors
/// [`WireError::NotSeamhatch`] if the connection ended, the first message is not a `Hello`, or the peer belongs to
/// another cluster.
pub fn first_hello(first: Option<PeerMessage>, cluster: &str) -> Result<Hello, WireError> {
    match first {
        Some(PeerMessage::Hello(hello)) if hello.cluster == cluster => Ok(hello),
        _ => Err(WireError::NotSeamhatch),
    }
}

/// Logs the error with which a connection ended, if any.
pub fn log_end(peer: &str, result: &Result<(), WireError>) {
    if let Err(error) = result {
        debug!(peer = peer, error = error.to_string().as_str(); "connection to a daemon ended");
    }
}
