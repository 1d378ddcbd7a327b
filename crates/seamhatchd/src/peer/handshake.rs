//! Opens a connection to another daemon: TCP connect, the preface, and the first message in each direction.
//!
//! Called by the pool. No part of a call is written before the handshake completes, so after a failure here the
//! call can safely be sent to another daemon.

use crate::peer::connection::{ConnectionState, PeerConnection};
use crate::peer::connection_task;
use crate::peer::host::LinkHost;
use crate::peer::link::{self, Outbox};
use crate::peer::pool::PeerPool;
use seamhatch_core::identity::Address;
use seamhatch_wire::{FrameReader, PeerMessage, WireError, read_preface, write_preface};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};

/// Time limit for connecting and receiving the peer's first message.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Connects to a daemon and performs the handshake.
///
/// # Errors
/// [`WireError`] if connecting fails or the peer belongs to another cluster; no call was sent.
pub(super) async fn open(
    pool: &Arc<PeerPool>,
    host: &Arc<dyn LinkHost>,
    address: Address,
) -> Result<PeerConnection, WireError> {
    tokio::time::timeout(CONNECT_TIMEOUT, perform_handshake(pool, host, address))
        .await
        .map_err(|_| WireError::Io(std::io::ErrorKind::TimedOut.into()))?
}

async fn perform_handshake(
    pool: &Arc<PeerPool>,
    host: &Arc<dyn LinkHost>,
    address: Address,
) -> Result<PeerConnection, WireError> {
    let mut stream = connect_from(host.own_ip(), address.into()).await?;
    stream.set_nodelay(true)?;
    write_preface(&mut stream).await?;
    let (outbox, messages) = Outbox::new(host.unwritten().clone());
    let (mut reader, writer) = stream.into_split();
    // The message carries the clock, so it is created right before it is sent.
    let own = host.hello(Some(address));
    let cluster = own.cluster.clone();
    // A new outbox can't be closed.
    let _ = outbox.send(PeerMessage::Hello(own));
    let writing = tokio::spawn(link::write_messages(writer, messages));
    read_preface(&mut reader).await?;
    let mut frames = FrameReader::new(reader);
    let first = frames.first().await?;
    let hello = link::first_hello(first, &cluster).inspect_err(|_| writing.abort())?;
    let connection = PeerConnection {
        address,
        incarnation: hello.incarnation,
        additions: hello.additions,
        service: hello.service.into(),
        outbox,
        state: Arc::new(ConnectionState::new(hello.clock)),
    };
    pool.hand_back_calls(&connection);
    connection_task::spawn(&connection, pool, host, frames, writing);
    Ok(connection)
}

/// Binds the socket to this daemon's own address, so that the peer's logs and packet filters identify the daemon.
async fn connect_from(own: IpAddr, target: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = if target.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if own.is_ipv4() == target.is_ipv4() {
        socket.bind(SocketAddr::new(own, 0))?;
    }
    socket.connect(target).await
}
