//! The HTTP listeners, each an `xitca-web` server of its own, so that nothing
//! that one offers can be reached at another's port.

mod admin;
mod answers;
mod body;
mod proxy;

use crate::shared::Shared;
use bytes::Bytes;
use log::warn;
use std::fmt;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use xitca_web::body::Body;
use xitca_web::http::{WebRequest, WebResponse};
use xitca_web::service::ready::ReadyService;
use xitca_web::service::{Service, fn_service};
use xitca_web::{App, HttpServer};

use proxy::ListenerState;

/// How long an idle connection is kept.
const KEEP_ALIVE: Duration = Duration::from_secs(30);
/// Longest wait for a request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Buffer for a request head in bytes; the filters' own limits are lower and answer better.
const HEAD_BUFFER: usize = 64 * 1024;
/// Most header fields.
const HEADER_FIELDS: usize = 96;

/// A running listener.
pub struct Listener {
    stop: Box<dyn Fn() + Send + Sync>,
    thread: JoinHandle<()>,
    sockets: Vec<TcpListener>,
}

impl Listener {
    /// Refuses new connections from now on; open ones go on.
    pub fn refuse_connections(&self) {
        for socket in &self.sockets {
            if let Err(error) = rustix::net::shutdown(socket, rustix::net::Shutdown::Read) {
                warn!(error = error.to_string().as_str(); "a listener can't be shut");
            }
        }
    }

    /// Finishes what is in progress and ends the threads, for at most `longest`.
    pub fn stop(self, longest: Duration) {
        (self.stop)();
        let end = Instant::now() + longest;
        while !self.thread.is_finished() && Instant::now() < end {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Binds addresses and serves an application there on threads of its own.
///
/// # Errors
/// An address can't be bound.
pub fn serve<S, B>(
    service: S,
    addresses: &[SocketAddr],
    threads: usize,
    name: &str,
) -> std::io::Result<Listener>
where
    S: Service + Send + Sync + 'static,
    S::Response: ReadyService + Service<WebRequest, Response = WebResponse<B>> + 'static,
    S::Error: fmt::Debug,
    <S::Response as Service<WebRequest>>::Error: fmt::Debug,
    B: Body<Data = Bytes> + 'static,
    B::Error: fmt::Debug + 'static,
{
    let mut server = HttpServer::serve(service)
        .worker_threads(threads)
        .disable_signal()
        .keep_alive_timeout(KEEP_ALIVE)
        .request_head_timeout(HEAD_TIMEOUT)
        .max_read_buf_size::<HEAD_BUFFER>()
        .max_request_headers::<HEADER_FIELDS>();
    let mut sockets = Vec::new();
    for address in addresses {
        let socket = TcpListener::bind(address)?;
        sockets.push(socket.try_clone()?);
        server = server.listen(socket)?;
    }
    // The server must be built on the thread that it runs on.
    let (sender, receiver) = mpsc::channel();
    let thread = std::thread::Builder::new().name(name.to_owned()).spawn(move || {
        let mut running = server.run();
        // An error shows at the receiver as a closed channel.
        let _ = running.handle().map(|handle| sender.send(handle));
        let _ = running.wait();
    })?;
    let handle = receiver.recv().map_err(std::io::Error::other)?;
    Ok(Listener { stop: Box::new(move || handle.stop(true)), thread, sockets })
}

/// Binds and starts the ingress, egress and admin listeners.
///
/// # Errors
/// An address can't be bound.
pub fn start(shared: &Arc<Shared>) -> std::io::Result<Vec<Listener>> {
    let listen = shared.settings.listen;
    let threads = shared.settings.http_threads;
    let ingress = App::new()
        .with_state(ListenerState::ingress(shared.clone()))
        .at("/", fn_service(proxy::handle))
        .at("/{*rest}", fn_service(proxy::handle));
    let egress = App::new()
        .with_state(ListenerState::egress(shared.clone()))
        .at("/", fn_service(proxy::handle))
        .at("/{*rest}", fn_service(proxy::handle));
    let admin = App::new()
        .with_state(shared.clone())
        .at("/", fn_service(admin::handle))
        .at("/{*rest}", fn_service(admin::handle));
    Ok(vec![
        serve(ingress.finish(), &[listen.ingress.into()], threads, "ingress")?,
        serve(egress.finish(), &[listen.egress.into()], threads, "egress")?,
        serve(admin.finish(), &[listen.admin.into()], 1, "admin")?,
    ])
}
