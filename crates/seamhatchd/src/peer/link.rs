//! What both ends of a connection share: the outbox with its writer, the first message, and heartbeats.
//!
//! Heartbeats report this daemon's configuration, which calls its back end gets, the state of that, and its freshness proof.
//! They come at once when the back end starts or stops taking calls; [`seamhatch_core::heartbeat`] says when else.

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

/// The instant from which the times of all heartbeats of this process are counted, so that they are sent together and one wake-up
/// serves all connections.
static HEARTBEAT_START: LazyLock<tokio::time::Instant> = LazyLock::new(tokio::time::Instant::now);

/// Bytes that are gathered for one write.
const WRITE_BATCH: usize = 64 * 1024;

/// Messages of all connections that were put into an outbox and are not written yet. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct UnwrittenMessages(Arc<AtomicUsize>);

impl UnwrittenMessages {
    /// How many there are.
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

/// Messages that wait to be written to the peer. Cheap to clone.
#[derive(Debug, Clone)]
pub struct Outbox {
    messages: mpsc::UnboundedSender<PeerMessage>,
    unwritten: UnwrittenMessages,
    /// Messages that were ever put in.
    sent: Arc<AtomicU64>,
}

/// The end of an outbox that its writer reads.
#[derive(Debug)]
pub struct OutboxReader {
    messages: mpsc::UnboundedReceiver<PeerMessage>,
    unwritten: UnwrittenMessages,
    /// Messages that were read and are not written yet.
    in_hand: usize,
}

/// The connection has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkClosed;

impl Outbox {
    /// An outbox and the end that its writer reads; its messages count among these.
    #[must_use]
    pub fn new(unwritten: UnwrittenMessages) -> (Self, OutboxReader) {
        let (sender, messages) = mpsc::unbounded_channel();
        let reader = OutboxReader { messages, unwritten: unwritten.clone(), in_hand: 0 };
        (Self { messages: sender, unwritten, sent: Arc::default() }, reader)
    }

    /// Puts a message in.
    ///
    /// # Errors
    /// [`LinkClosed`] when the writer has stopped; the message was not written.
    pub fn send(&self, message: PeerMessage) -> Result<(), LinkClosed> {
        self.unwritten.add();
        self.sent.fetch_add(1, Ordering::Relaxed);
        self.messages.send(message).map_err(|_| {
            self.unwritten.remove(1);
            LinkClosed
        })
    }

    /// Messages that were put in so far.
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
    /// Gathers messages for one write; false when the outbox is closed.
    async fn gather(&mut self, buffer: &mut Vec<u8>) -> Result<bool, WireError> {
        let Some(message) = self.messages.recv().await else { return Ok(false) };
        self.in_hand = 1;
        encode_frame(&message, buffer)?;
        while buffer.len() < WRITE_BATCH {
            let Ok(message) = self.messages.try_recv() else { break };
            self.in_hand += 1;
            encode_frame(&message, buffer)?;
        }
        Ok(true)
    }

    /// All that was gathered is written.
    fn note_written(&mut self) {
        self.unwritten.remove(std::mem::take(&mut self.in_hand));
    }
}

impl Drop for OutboxReader {
    fn drop(&mut self) {
        self.messages.close();
        while self.messages.try_recv().is_ok() {
            self.in_hand += 1;
        }
        self.note_written();
    }
}

/// Writes the messages of an outbox until it closes or the connection fails.
///
/// # Errors
/// [`WireError`] of the connection.
pub async fn write_messages(
    mut stream: impl AsyncWrite + Unpin,
    mut messages: OutboxReader,
) -> Result<(), WireError> {
    let mut buffer = Vec::with_capacity(WRITE_BATCH);
    while messages.gather(&mut buffer).await? {
        stream.write_all(&buffer).await?;
        messages.note_written();
        buffer.clear();
        buffer.shrink_to(WRITE_BATCH);
    }
    Ok(())
}

/// Sends heartbeats until the outbox closes. `is_busy` returns whether the peer waits for answers; `to_peer_clock` translates a
/// local instant into the peer's clock, erring early.
pub async fn send_heartbeats(
    host: &dyn LinkHost,
    peer: Address,
    end: LinkEnd,
    outbox: Outbox,
    is_busy: impl Fn() -> bool,
    to_peer_clock: impl Fn(Instant) -> Instant,
) {
    let mut schedule = HeartbeatSchedule::new(end, heartbeat_time());
    loop {
        // Before the state is read, so that no later change of it is missed.
        let changed = host.intake_changed();
        tokio::pin!(changed);
        changed.as_mut().enable();
        if outbox.send(PeerMessage::Pulse(pulse(host, peer, &to_peer_clock))).is_err() {
            return;
        }
        tokio::select! {
            () = next_pulse(&mut schedule, &outbox, &is_busy) => {}
            // Peers must not wait for the next heartbeat to learn whether the back end takes calls.
            () = changed => {}
        }
    }
}

/// Waits until a heartbeat is due. The daemon may become busy meanwhile.
async fn next_pulse(schedule: &mut HeartbeatSchedule, outbox: &Outbox, is_busy: &impl Fn() -> bool) {
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

/// Time since the instant from which the times of all heartbeats are counted.
pub(super) fn heartbeat_time() -> Microseconds {
    HEARTBEAT_START.elapsed().as_micros() as Microseconds
}

/// Waits until such a time.
pub(super) async fn sleep_until_heartbeat(time: Microseconds) {
    tokio::time::sleep_until(*HEARTBEAT_START + Duration::from_micros(time)).await;
}

/// The present heartbeat.
pub(super) fn pulse(
    host: &dyn LinkHost,
    peer: Address,
    to_peer_clock: &impl Fn(Instant) -> Instant,
) -> Pulse {
    let LocalState { generation, intake, server, proof, turn, notice, pace, is_stopping } =
        host.local_state(peer);
    let proof = proof.map(|proof| FreshnessProof { at: to_peer_clock(proof.at), ..proof });
    let farewell = is_stopping.then_some(Farewell::Said);
    Pulse { clock: clock::now(), generation, intake, server, proof, turn, notice, farewell, pace }
}

/// Takes the peer's first message for its `Hello`.
///
/// # Errors
/// [`WireError::NotSeamhatch`] when the connection ended, began with another message, or the peer belongs to another
/// cluster.
pub fn first_hello(first: Option<PeerMessage>, cluster: &str) -> Result<Hello, WireError> {
    match first {
        Some(PeerMessage::Hello(hello)) if hello.cluster == cluster => Ok(hello),
        _ => Err(WireError::NotSeamhatch),
    }
}

/// Logs how a connection ended.
pub fn log_end(peer: &str, result: &Result<(), WireError>) {
    if let Err(error) = result {
        debug!(peer = peer, error = error.to_string().as_str(); "connection to a daemon ended");
    }
}
