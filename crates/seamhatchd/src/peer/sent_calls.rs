//! Calls to other daemons that may still run there, for a daemon that restarts meanwhile and forgets them.
//!
//! Dispatch notes each call that may run only once, and settles it when its end is known. A connection to a daemon that
//! has restarted begins with the calls that the daemon's earlier lives were sent. If a connection closes while calls are
//! unsettled, a new one is tried until the last of them has expired.

use crate::base::clock;
use crate::base::lock::lock;
use crate::peer::connection::PeerConnection;
use crate::peer::pool::PeerPool;
use log::info;
use seamhatch_core::Instant;
use seamhatch_core::hand_back::{SentCall, SentCalls};
use seamhatch_core::identity::{Address, CallId};
use seamhatch_wire::{CallContext, HandedBackCall, PeerMessage, READS_RUNNING_CALLS};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Longest name of a request that is remembered, in bytes.
const MAX_NAME_BYTES: usize = 1024;
/// Pause after the first failed attempt to reach a daemon that has calls to be handed back; doubles with each further one.
const MIN_RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between two such attempts.
const MAX_RECONNECT_PAUSE: Duration = Duration::from_secs(1);

/// A remembered call, by which it is settled.
#[derive(Debug, Clone, Copy)]
pub struct SentCallKey {
    daemon: Address,
    call: CallId,
    expiry: Instant,
}

/// The unsettled calls to each daemon.
#[derive(Debug, Default)]
pub(super) struct UnsettledCalls(Mutex<HashMap<Address, SentCalls<HandedBackCall>>>);

impl UnsettledCalls {
    fn note(&self, connection: &PeerConnection, id: CallId, expiry: Instant, call: HandedBackCall) {
        let sent = SentCall { incarnation: connection.incarnation, sent: clock::now(), expiry, call };
        lock(&self.0).entry(connection.address).or_default().note(id, sent);
    }

    fn settle(&self, key: SentCallKey) {
        if let Some(calls) = lock(&self.0).get_mut(&key.daemon) {
            calls.settle(key.call, key.expiry);
        }
    }

    fn has_any(&self, daemon: Address) -> bool {
        lock(&self.0).get(&daemon).is_some_and(|calls| calls.has_unsettled(clock::now()))
    }

    /// The calls that the daemon does not know in its present life.
    fn hand_back(&self, connection: &PeerConnection) -> Vec<HandedBackCall> {
        let now = clock::now();
        let sent = lock(&self.0)
            .get_mut(&connection.address)
            .map(|calls| calls.hand_back(connection.incarnation, now))
            .unwrap_or_default();
        sent.into_iter().map(|sent| handed_back(connection, sent, now)).collect()
    }
}

/// Brings the times of a call up to date.
fn handed_back(connection: &PeerConnection, sent: SentCall<HandedBackCall>, now: Instant) -> HandedBackCall {
    let context = CallContext {
        root_age: sent.call.context.root_age + now.since(sent.sent),
        expiry: connection.to_peer_clock(sent.expiry),
        ..sent.call.context
    };
    HandedBackCall { context, ..sent.call }
}

impl PeerPool {
    /// Remembers a call with the local deadline `expiry` that is about to be sent on `connection` and may run only once.
    /// Returns `None` if it can't be handed back.
    pub fn note_sent(
        &self,
        connection: &PeerConnection,
        id: CallId,
        expiry: Instant,
        call: HandedBackCall,
    ) -> Option<SentCallKey> {
        if call.name.len() > MAX_NAME_BYTES || connection.additions < READS_RUNNING_CALLS {
            return None;
        }
        self.unsettled.note(connection, id, expiry, call);
        Some(SentCallKey { daemon: connection.address, call: id, expiry })
    }

    /// Forgets a call that has been answered, or has certainly not run.
    pub fn settle(&self, key: SentCallKey) {
        self.unsettled.settle(key);
    }

    /// Hands back the calls that the daemon has forgotten, as the first message after the handshake.
    pub(super) fn hand_back_calls(&self, connection: &PeerConnection) {
        if connection.additions < READS_RUNNING_CALLS {
            return;
        }
        let calls = self.unsettled.hand_back(connection);
        if calls.is_empty() {
            return;
        }
        info!(peer = connection.address.to_string().as_str(), calls = calls.len(); "calls handed back to a restarted daemon");
        connection.send(PeerMessage::RunningCalls(calls));
    }

    /// Tries to reach a daemon again whose connection has closed, while it has calls to be handed back.
    pub(super) fn reconnect_to_hand_back(self: &Arc<Self>, daemon: Address) {
        if !self.unsettled.has_any(daemon) {
            return;
        }
        let pool = self.clone();
        tokio::spawn(async move {
            let mut pause = MIN_RECONNECT_PAUSE;
            while pool.unsettled.has_any(daemon) && pool.get_uncounted(daemon).await.is_err() {
                tokio::time::sleep(pause).await;
                pause = (2 * pause).min(MAX_RECONNECT_PAUSE);
            }
        });
    }
}
