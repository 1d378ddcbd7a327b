//! The task of an open connection: reading, heartbeats, and its end when it is idle or silent.
//!
//! One task runs for each connection that this daemon opened. When it ends, calls and requests that wait are ended,
//! and the pool forgets the connection.

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

/// A connection on which nothing was sent for this long is closed, so that random exchanges between controllers
/// don't add up to a full mesh.
const IDLE_TO_CLOSE: Microseconds = 10 * SECOND;
/// The connection of a peer that was silent for this long is closed, and the calls on it are lost.
const SILENCE_TO_CLOSE: Microseconds = 20 * SECOND;
/// Pause after the first attempt to reach a silent peer on a new connection, doubled after each further attempt.
/// The first attempt comes at once and costs a handshake.
const FIRST_RENEWAL_PAUSE: Microseconds = SECOND;
/// Longest pause between two such attempts: a peer that is frozen or cut off costs one handshake in this time.
const LONGEST_RENEWAL_PAUSE: Microseconds = 4 * SECOND;

/// Starts the task of a connection whose handshake is done.
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
        // The writer ends first, so that no call can be added after all were ended.
        writing.abort();
        while !self.outbox.is_closed() {
            tokio::task::yield_now().await;
        }
        self.state.end_all();
        host.connection_ended(&self.service, self.address);
        pool.forget(self);
        link::log_end(&self.address.to_string(), &result);
    }

    /// Waits until the connection should be closed. Meanwhile opens another one beside it while the peer is silent.
    async fn until_silent_or_idle(&self, pool: &Arc<PeerPool>) {
        let mut next_renewal = Instant(0);
        let mut pause = FIRST_RENEWAL_PAUSE;
        loop {
            self.until_upkeep().await;
            let now = clock::now();
            let last_heard = self.state.view().last_heard;
            let silent = now.since(last_heard) > SILENCE_TO_CLOSE;
            if silent || self.is_idle(now) {
                return;
            }
            if now < balance::silent_at(last_heard) {
                pause = FIRST_RENEWAL_PAUSE;
            } else if now >= next_renewal {
                self.renew(pool);
                next_renewal = now.plus(pause);
                pause = (2 * pause).min(LONGEST_RENEWAL_PAUSE);
            }
        }
    }

    /// Waits until the peer may have fallen silent, or an interval where it has. Ends when heartbeats are sent, so that it needs no
    /// wake-up of its own.
    async fn until_upkeep(&self) {
        let until_silent = self.state.view().silent_at().since(clock::now());
        let time = next_instant(link::heartbeat_time() + until_silent, IDLE_INTERVAL);
        link::sleep_until_heartbeat(time).await;
    }

    fn is_idle(&self, now: Instant) -> bool {
        now.since(self.state.last_used()) > IDLE_TO_CLOSE && self.in_flight() == 0
    }

    /// Has the pool open a new connection beside this silent one, since only the connection may have failed. Calls on
    /// this one go on, as it may be heard again.
    fn renew(&self, pool: &Arc<PeerPool>) {
        let (pool, address) = (pool.clone(), self.address);
        // An attempt that fails is repeated after the pause.
        tokio::spawn(async move { drop(pool.get(address).await) });
    }
}
