//! The task of an open connection: reads, sends heartbeats, and closes the connection when it is idle or silent.
//!
//! One task runs for each connection that this daemon opened. When the task ends, pending calls and requests fail
//! and the pool removes the connection.

use crate::base::clock;
use crate::peer::connection::PeerConnection;
use crate::peer::host::LinkHost;
use crate::peer::link;
use crate::peer::pool::PeerPool;
use seamhatch_core::Instant;
use seamhatch_core::balance;
use seamhatch_core::clock::{Microseconds, SECOND};
use seamhatch_core::heartbeat::{IDLE_INTERVAL, LinkEnd, next_instant};
use seamhatch_wire::{FrameReader, WireError};
use std::sync::Arc;
use tokio::net::tcp::OwnedReadHalf;
use tokio::task::JoinHandle;

/// Idle time after which a connection is closed, so that the controllers' exchanges with random peers don't build
/// up a full mesh.
const IDLE_TIMEOUT: Microseconds = 10 * SECOND;
/// Time without a message from the peer after which the connection is closed and its calls are lost.
const CLOSE_AFTER_SILENCE: Microseconds = 20 * SECOND;
/// Backoff after the first attempt to reach a silent peer on a new connection; doubles with each further attempt.
/// The first attempt is made immediately and costs one handshake.
const RECONNECT_MIN_BACKOFF: Microseconds = SECOND;
/// Maximum backoff between two such attempts: a frozen or partitioned peer costs one handshake per interval.
const RECONNECT_MAX_BACKOFF: Microseconds = 4 * SECOND;

/// Spawns the task of a connection whose handshake is complete.
pub(super) fn spawn(
    connection: &PeerConnection,
    pool: &Arc<PeerPool>,
    host: &Arc<dyn LinkHost>,
    frames: FrameReader<OwnedReadHalf>,
    writing: JoinHandle<Result<(), WireError>>,
) {
    let (connection, pool, host) = (connection.clone(), pool.clone(), host.clone());
    tokio::spawn(async move { connection.run(&pool, &*host, frames, writing).await });
}

impl PeerConnection {
    async fn run(
        &self,
        pool: &Arc<PeerPool>,
        host: &dyn LinkHost,
        frames: FrameReader<OwnedReadHalf>,
        mut writing: JoinHandle<Result<(), WireError>>,
    ) {
        let to_peer_clock = |instant| self.to_peer_clock(instant);
        let outbox = self.outbox.clone();
        let result = tokio::select! {
            result = self.read(host, frames) => result,
            () = link::send_heartbeats(host, self.address, LinkEnd::Calling, outbox, || false, to_peer_clock) => Ok(()),
            () = self.until_silent_or_idle(pool) => Ok(()),
            result = &mut writing => result.unwrap_or(Ok(())),
        };
        // The writer stops first, so that no call can be added after `end_all`.
        writing.abort();
        while !self.outbox.is_closed() {
            tokio::task::yield_now().await;
        }
        self.state.end_all();
        host.connection_ended(&self.service, self.address);
        pool.remove_closed(self);
        pool.reconnect_to_hand_back(self.address);
        link::log_end(&self.address.to_string(), &result);
    }

    /// Waits until the connection should be closed. While the peer is silent, opens a second connection to it with
    /// exponential backoff.
    async fn until_silent_or_idle(&self, pool: &Arc<PeerPool>) {
        let mut next_reconnect = Instant(0);
        let mut backoff = RECONNECT_MIN_BACKOFF;
        loop {
            self.until_next_check().await;
            let now = clock::now();
            let last_heard = self.state.view().last_heard;
            let silent = now.since(last_heard) > CLOSE_AFTER_SILENCE;
            if silent || self.is_idle(now) {
                return;
            }
            if now < balance::silent_at(last_heard) {
                backoff = RECONNECT_MIN_BACKOFF;
            } else if now >= next_reconnect {
                self.reconnect(pool);
                next_reconnect = now.plus(backoff);
                backoff = (2 * backoff).min(RECONNECT_MAX_BACKOFF);
            }
        }
    }

    /// Waits until the time at which the peer would count as silent; if it already does, waits at most one interval.
    /// Resolves at an instant at which heartbeats are sent, so that it needs no separate wake-up.
    async fn until_next_check(&self) {
        let until_silent = self.state.view().silent_at().since(clock::now());
        let time = next_instant(link::heartbeat_time() + until_silent, IDLE_INTERVAL);
        link::sleep_until_heartbeat(time).await;
    }

    fn is_idle(&self, now: Instant) -> bool {
        now.since(self.state.last_used()) > IDLE_TIMEOUT && self.in_flight() == 0
    }

    /// Asks the pool for a second connection, because only this connection may have failed, not its peer. Calls on
    /// this connection continue, because the peer may be heard on it again.
    fn reconnect(&self, pool: &Arc<PeerPool>) {
        let (pool, address) = (pool.clone(), self.address);
        // A failed attempt is repeated after the backoff.
        tokio::spawn(async move { drop(pool.get(address).await) });
    }
}
