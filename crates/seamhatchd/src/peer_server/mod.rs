//! The server side of connections between daemons: accepts peers, performs the handshake, and runs a session for
//! each.
//!
//! `session` handles the messages of a peer, and `call` executes one call on the back end and returns its answer.
//! Started once at startup. No message of a peer is handled before its `Hello` has shown that it belongs to this
//! cluster.

mod call;
mod cancellation;
mod incoming_calls;
mod request_credit;
mod session;

use crate::base::metrics::BadInput;
use crate::peer::{LinkHost, Outbox, link};
use crate::peer_server::incoming_calls::IncomingCalls;
use crate::peer_server::session::{SenderClock, Session};
use crate::shared::Shared;
use log::warn;
use seamhatch_core::heartbeat::LinkEnd;
use seamhatch_core::identity::Address;
use seamhatch_wire::{FrameReader, PeerMessage, WireError, read_preface, write_preface};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Time limit for the preface of a new connection, and again for its first message.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Backoff after a failed accept, so that the loop does not spin when file descriptors run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Accepts connections of other daemons until the process ends.
pub async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                tokio::spawn(serve_connection(shared.clone(), stream, address.to_string()));
            }
            Err(error) => {
                warn!(error = error.to_string().as_str(); "accepting a daemon's connection failed");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
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
    let first = tokio::time::timeout(HELLO_TIMEOUT, frames.first()).await.map_err(timed_out)??;
    let hello = link::first_hello(first, &shared.settings.cluster)?;
    shared.control.daemon_connected(hello.gossip);
    // Before any call is handled on this connection, and before any state is reported on it.
    if let Some(notice) = &hello.handed_back {
        shared.restore_notice(notice);
    }
    let (outbox, messages) = Outbox::new(shared.unwritten.clone());
    // A new outbox can't be closed.
    let _ = outbox.send(PeerMessage::Hello(shared.hello(None)));
    let writing = AbortOnDrop(tokio::spawn(link::write_messages(writer, messages)));
    let (calls, peer_clock) = (IncomingCalls::default(), SenderClock::new(hello.clock));
    let heartbeats = spawn_heartbeats(shared, hello.peer, &outbox, &calls, &peer_clock);
    let shutdown_ack = shared.shutdown_acks.begin();
    let session = Session { shared: shared.clone(), outbox, hello, calls, peer_clock, shutdown_ack };
    let result = session.run(frames).await;
    drop((writing, heartbeats));
    result
}

fn spawn_heartbeats(
    shared: &Arc<Shared>,
    peer: Address,
    outbox: &Outbox,
    calls: &IncomingCalls,
    peer_clock: &SenderClock,
) -> AbortOnDrop<()> {
    let (shared, outbox) = (shared.clone(), outbox.clone());
    let (calls, peer_clock) = (calls.clone(), peer_clock.clone());
    AbortOnDrop(tokio::spawn(async move {
        let is_busy = || !calls.is_empty();
        let to_peer_clock = |instant| peer_clock.translate(instant);
        link::send_heartbeats(&*shared, peer, LinkEnd::Called, outbox, is_busy, to_peer_clock).await;
    }))
}

/// A task that is aborted when its handle is dropped.
struct AbortOnDrop<T>(tokio::task::JoinHandle<T>);

impl<T> Drop for AbortOnDrop<T> {
    fn drop(&mut self) {
        self.0.abort();
    }
}
