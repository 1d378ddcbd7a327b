//! Calls whose connection was lost, and whether the daemon at the other end has ended.
//!
//! A daemon that ends together with its server can't report which requests ran there; the daemons that sent those
//! requests can. Neither a lost connection nor silence shows that the daemon has ended, but a refused connection
//! to its address does. Used by dispatch.

use crate::base::lock::lock;
use seamhatch_core::crashes::LostRun;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::OnceCell;

/// Maximum number of connection attempts to a daemon whose connection was lost. The first may still reach the
/// listener of a process that is ending.
const PROBES: usize = 4;
/// Pause between two attempts.
const PROBE_PAUSE: Duration = Duration::from_millis(2);
/// Time limit for one attempt. A machine that neither accepts nor refuses may only be unreachable, so it does not
/// count as ended.
const PROBE_TIMEOUT: Duration = Duration::from_millis(50);

/// The calls that were in flight on a lost connection, and whether its daemon has ended.
#[derive(Debug, Default)]
pub(super) struct ConnectionLoss {
    runs: Mutex<Vec<LostRun>>,
    has_ended: OnceCell<bool>,
}

impl ConnectionLoss {
    /// Records a call that was lost with the connection to `daemon`. If the daemon has ended, returns all lost
    /// calls that have not been returned before; otherwise returns none.
    pub(super) async fn record(&self, run: LostRun, daemon: SocketAddr) -> Vec<LostRun> {
        lock(&self.runs).push(run);
        // All calls of a connection are lost at once, so they share one probe, and the first to get its result
        // reports all of them.
        if !*self.has_ended.get_or_init(|| has_ended(daemon)).await {
            return Vec::new();
        }
        std::mem::take(&mut *lock(&self.runs))
    }
}

/// Whether the daemon's address refuses connections.
async fn has_ended(daemon: SocketAddr) -> bool {
    for _probe in 0..PROBES {
        match tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(daemon)).await {
            Ok(Err(error)) => return error.kind() == ErrorKind::ConnectionRefused,
            Err(_) => return false,
            Ok(Ok(stream)) => {
                tokio::time::sleep(PROBE_PAUSE).await;
                // A running daemon waits for the first message; one that is ending has closed the connection.
                let mut first = [0];
                let is_waiting = matches!(stream.try_read(&mut first), Err(error) if error.kind() == ErrorKind::WouldBlock);
                if is_waiting {
                    return false;
                }
            }
        }
    }
    false
}
