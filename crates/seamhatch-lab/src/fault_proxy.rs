//! A proxy in front of every daemon's peer and gossip ports that can cut, reset or delay any direction between two machines.
//!
//! It knows the machine that a connection or datagram comes from by its address, and keeps that address towards the daemon.
//! Owns the rules; tests and the soak set them while traffic goes on.

use crate::process::{AdvertisedAddresses, LabMachine};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, RwLock};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::runtime::Handle;
use tokio::task::JoinHandle;

/// Ports at which daemons are reached through the proxy.
const PROXY_PEER: u16 = 7102;
const PROXY_GOSSIP: u16 = 7103;
/// Pause between two checks of a rule while traffic is held back. Chosen, not measured.
const POLL: Duration = Duration::from_millis(5);
/// Bytes read at a time; no datagram is longer.
const BUFFER: usize = 64 * 1024;

/// What happens to traffic in one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Rule {
    /// It passes.
    #[default]
    Pass,
    /// It is lost without notice, as on a cut link; connections stay open.
    Drop,
    /// Connections are closed, datagrams lost.
    Reset,
    /// It arrives this much later.
    Delay(Duration),
}

type Direction = (Ipv4Addr, Ipv4Addr);

#[derive(Debug, Default)]
struct Rules {
    by_direction: RwLock<BTreeMap<Direction, Rule>>,
}

impl Rules {
    fn of(&self, from: Ipv4Addr, to: Ipv4Addr) -> Rule {
        self.by_direction.read().expect("rules lock").get(&(from, to)).copied().unwrap_or_default()
    }
}

/// The addresses that a daemon behind the proxy advertises.
#[must_use]
pub fn advertised(machine: &LabMachine) -> AdvertisedAddresses {
    let at = |port| SocketAddr::new(machine.ip.into(), port).into();
    AdvertisedAddresses { peer: at(PROXY_PEER), gossip: at(PROXY_GOSSIP) }
}

/// The proxies of a deployment.
pub struct FaultProxy {
    rules: Arc<Rules>,
    tasks: Vec<JoinHandle<()>>,
}

impl FaultProxy {
    /// Starts a proxy in front of each machine, on the given runtime.
    ///
    /// # Errors
    /// A port can't be bound.
    pub async fn start(machines: &[LabMachine]) -> std::io::Result<Self> {
        let rules: Arc<Rules> = Arc::default();
        let mut tasks = Vec::new();
        for machine in machines {
            let peer = TcpListener::bind((machine.ip, PROXY_PEER)).await?;
            let gossip = UdpSocket::bind((machine.ip, PROXY_GOSSIP)).await?;
            tasks.push(tokio::spawn(accept(peer, machine.clone(), rules.clone())));
            tasks.push(tokio::spawn(forward_datagrams(gossip, machine.clone(), rules.clone())));
        }
        Ok(Self { rules, tasks })
    }

    /// Sets the rule for traffic from one machine to another.
    pub fn set(&self, from: Ipv4Addr, to: Ipv4Addr, rule: Rule) {
        self.rules.by_direction.write().expect("rules lock").insert((from, to), rule);
    }

    /// Sets the rule for both directions between each of `left` and each of `right`.
    pub fn set_between(&self, left: &[Ipv4Addr], right: &[Ipv4Addr], rule: Rule) {
        for one in left {
            for other in right {
                self.set(*one, *other, rule);
                self.set(*other, *one, rule);
            }
        }
    }

    /// Lets everything pass again.
    pub fn heal(&self) {
        self.rules.by_direction.write().expect("rules lock").clear();
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

fn v4(address: SocketAddr) -> Ipv4Addr {
    match address.ip() {
        IpAddr::V4(ip) => ip,
        IpAddr::V6(_) => Ipv4Addr::UNSPECIFIED,
    }
}

async fn accept(listener: TcpListener, machine: LabMachine, rules: Arc<Rules>) {
    loop {
        let Ok((incoming, from)) = listener.accept().await else {
            // This process may be out of sockets for a moment; the daemon must be reachable afterwards.
            tokio::time::sleep(POLL).await;
            continue;
        };
        let from = v4(from);
        let (machine, rules) = (machine.clone(), rules.clone());
        tokio::spawn(async move {
            // A connection that can't be made is dropped: the dialler sees it closed.
            if let Ok(outgoing) = connect(from, machine.peer().into()).await {
                relay(incoming, outgoing, from, machine.ip, rules).await;
            }
        });
    }
}

/// Connects from the dialler's address, so that the daemon sees which machine it talks to.
async fn connect(from: Ipv4Addr, target: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(from.into(), 0))?;
    socket.connect(target).await
}

async fn relay(left: TcpStream, right: TcpStream, from: Ipv4Addr, to: Ipv4Addr, rules: Arc<Rules>) {
    // Small control messages must not wait for each other; without the option they are only slower.
    let _ = (left.set_nodelay(true), right.set_nodelay(true));
    let (left_reader, left_writer) = left.into_split();
    let (right_reader, right_writer) = right.into_split();
    tokio::select! {
        () = pump(left_reader, right_writer, from, to, &rules) => {}
        () = pump(right_reader, left_writer, to, from, &rules) => {}
    }
}

async fn pump(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    from: Ipv4Addr,
    to: Ipv4Addr,
    rules: &Rules,
) {
    let mut buffer = vec![0; BUFFER];
    loop {
        let read = tokio::select! {
            read = reader.read(&mut buffer) => read,
            () = until_reset(rules, from, to) => return,
        };
        let Ok(length @ 1..) = read else { return };
        match rules.of(from, to) {
            Rule::Pass => {}
            // A stream can't go on without the bytes that were lost.
            Rule::Drop => return drop_until_changed(reader, rules, from, to).await,
            Rule::Reset => return,
            Rule::Delay(span) => tokio::time::sleep(span).await,
        }
        if writer.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

async fn until_reset(rules: &Rules, from: Ipv4Addr, to: Ipv4Addr) {
    while rules.of(from, to) != Rule::Reset {
        tokio::time::sleep(POLL).await;
    }
}

/// Reads and drops what comes until the rule changes, then ends the connection.
async fn drop_until_changed(mut reader: OwnedReadHalf, rules: &Rules, from: Ipv4Addr, to: Ipv4Addr) {
    let mut buffer = vec![0; BUFFER];
    while rules.of(from, to) == Rule::Drop {
        let reading = tokio::time::timeout(POLL, reader.read(&mut buffer)).await;
        if matches!(reading, Ok(Ok(0) | Err(_))) {
            return;
        }
    }
}

async fn forward_datagrams(socket: UdpSocket, machine: LabMachine, rules: Arc<Rules>) {
    let mut buffer = vec![0; BUFFER];
    let target = SocketAddr::from(machine.gossip());
    while let Ok((length, from)) = socket.recv_from(&mut buffer).await {
        match rules.of(v4(from), machine.ip) {
            Rule::Pass => {
                // Gossip expects that datagrams are lost.
                let _ = socket.send_to(&buffer[..length], target).await;
            }
            Rule::Drop | Rule::Reset => {}
            Rule::Delay(span) => {
                let (bytes, ip) = (buffer[..length].to_vec(), machine.ip);
                Handle::current().spawn(async move {
                    tokio::time::sleep(span).await;
                    if let Ok(socket) = UdpSocket::bind((ip, 0)).await {
                        // Gossip expects that datagrams are lost.
                        let _ = socket.send_to(&bytes, target).await;
                    }
                });
            }
        }
    }
}
