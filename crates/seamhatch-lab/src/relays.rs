//! A relay in front of each back end, so that a single back end can crash although one server plays them all.
//!
//! While a back end is away its connections are closed and nothing listens at its address. The soak and requests that crash
//! their back end call this; daemons see a crashed process.

use crate::process::LabMachine;
use seamhatch_core::identity::Address;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::runtime::Handle;
use tokio::task::AbortHandle;

/// Connections that may wait to be accepted. Chosen, not measured.
const BACKLOG: u32 = 1024;
/// Pause between two attempts to listen again. Chosen, not measured.
const BIND_PAUSE: Duration = Duration::from_millis(10);

/// Tasks of one relay: its acceptor and its connections; none while its back end is away.
type RelayTasks = Arc<Mutex<Option<Vec<AbortHandle>>>>;

/// The relays of a deployment.
#[derive(Debug, Clone)]
pub struct BackendRelays {
    by_machine: Arc<HashMap<Ipv4Addr, Relay>>,
    runtime: Handle,
}

#[derive(Debug, Clone)]
struct Relay {
    outer: SocketAddr,
    inner: SocketAddr,
    tasks: RelayTasks,
}

impl BackendRelays {
    /// Starts a relay from each back end's address to where it listens.
    ///
    /// # Errors
    /// An address can't be bound.
    pub fn start(machines: &[LabMachine], inner: impl Fn(&LabMachine) -> Address) -> std::io::Result<Self> {
        let runtime = Handle::current();
        let mut by_machine = HashMap::new();
        for machine in machines {
            let relay = Relay {
                outer: machine.backend().into(),
                inner: inner(machine).into(),
                tasks: RelayTasks::default(),
            };
            relay.listen(&runtime)?;
            by_machine.insert(machine.ip, relay);
        }
        Ok(Self { by_machine: Arc::new(by_machine), runtime })
    }

    /// Crashes the back end on a machine, unless it is away already.
    pub fn crash(&self, machine: Ipv4Addr) {
        let Some(relay) = self.by_machine.get(&machine) else { return };
        let tasks = relay.tasks.lock().expect("relay lock").take();
        tasks.into_iter().flatten().for_each(|task| task.abort());
    }

    /// Brings the back end on a machine back, unless it never was away.
    pub fn revive(&self, machine: Ipv4Addr) {
        let Some(relay) = self.by_machine.get(&machine).cloned() else { return };
        let runtime = self.runtime.clone();
        self.runtime.spawn(async move {
            // The old listener closes with its task, which may take a moment.
            while relay.is_away() && relay.listen(&runtime).is_err() {
                tokio::time::sleep(BIND_PAUSE).await;
            }
        });
    }

    /// Crashes the back end on a machine and brings it back after a while.
    pub fn crash_for(&self, machine: Ipv4Addr, away: Duration) {
        self.crash(machine);
        let relays = self.clone();
        self.runtime.spawn(async move {
            tokio::time::sleep(away).await;
            relays.revive(machine);
        });
    }
}

impl Relay {
    fn is_away(&self) -> bool {
        self.tasks.lock().expect("relay lock").is_none()
    }

    fn listen(&self, runtime: &Handle) -> std::io::Result<()> {
        let _entered = runtime.enter();
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(self.outer)?;
        let listener = socket.listen(BACKLOG)?;
        let mut tasks = self.tasks.lock().expect("relay lock");
        let accepting = runtime.spawn(accept(listener, self.inner, self.tasks.clone()));
        *tasks = Some(vec![accepting.abort_handle()]);
        Ok(())
    }
}

async fn accept(listener: TcpListener, inner: SocketAddr, tasks: RelayTasks) {
    while let Ok((stream, _)) = listener.accept().await {
        let mut tasks = tasks.lock().expect("relay lock");
        let Some(tasks) = tasks.as_mut() else { return };
        tasks.retain(|task| !task.is_finished());
        tasks.push(tokio::spawn(relay(stream, inner)).abort_handle());
    }
}

async fn relay(mut outer: TcpStream, inner: SocketAddr) {
    let Ok(mut inner) = TcpStream::connect(inner).await else { return };
    // Small answers must not wait for more; without the option they are only slower.
    let _ = (outer.set_nodelay(true), inner.set_nodelay(true));
    // Either end sees how the connection ends.
    let _ = tokio::io::copy_bidirectional(&mut outer, &mut inner).await;
}
