//! Calls whose connection was lost, and whether the daemon at its other end has ended.
//!
//! A daemon that ends together with the server beside it can't tell which requests ran there: those that had calls there can. A lost
//! connection alone is no sign of that, and neither is silence; that nothing listens at the daemon's address any more is. Used by
//! dispatch.

use crate::base::lock::lock;
use seamhatch_core::crashes::LostRun;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::OnceCell;

/// Looks for a daemon whose connection was lost: the first may meet its listener while the process ends.
const PROBES: usize = 4;
/// Pause between two looks.
const PROBE_PAUSE: Duration = Duration::from_millis(2);
/// Longest wait for the answer to one look: a machine that answers neither way may only be cut off.
const PROBE_TIMEOUT: Duration = Duration::from_millis(50);

/// The calls that were under way on a lost connection, and what became of its daemon.
#[derive(Debug, Default)]
pub(super) struct ConnectionLoss {
    runs: Mutex<Vec<LostRun>>,
    has_ended: OnceCell<bool>,
}

impl ConnectionLoss {
    /// Records a call that was lost with the connection to this daemon. Returns all that were lost so far and that nobody has reported,
    /// where the daemon has ended.
    pub(super) async fn record(&self, run: LostRun, daemon: SocketAddr) -> Vec<LostRun> {
        lock(&self.runs).push(run);
        // All calls of a connection are lost in one moment: one look answers for them, and the first to hear reports all.
        if !*self.has_ended.get_or_init(|| has_ended(daemon)).await {
            return Vec::new();
        }
        std::mem::take(&mut *lock(&self.runs))
    }
}

/// Whether nothing listens at a daemon's address any more.
async fn has_ended(daemon: SocketAddr) -> bool {
    for _probe in 0..PROBES {
        match tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(daemon)).await {
            Ok(Err(error)) => return error.kind() == ErrorKind::ConnectionRefused,
            Err(_) => return false,
            Ok(Ok(stream)) => {
                tokio::time::sleep(PROBE_PAUSE).await;
                // A daemon waits for the other's first message; one that is ending has closed the connection.
                let mut first = [0];
                let waits = matches!(stream.try_read(&mut first), Err(error) if error.kind() == ErrorKind::WouldBlock);
                if waits {
                    return false;
                }
            }
        }
    }
    false
}
