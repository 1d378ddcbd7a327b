//! The HTTP listeners, each with a port of its own, so that what one offers can't be reached at another's.
//!
//! `callers` accepts the connections of callers and of the back end (`hyper`), whose requests `proxy` answers; `admin` serves
//! operators and `registry` the back end's heartbeats (`xitca-web`). Started at startup; a planned stop ends the connections of callers
//! through [`Listeners::close`].

mod admin;
mod body;
mod callers;
mod connection;
mod graceful_close;
pub mod head;
mod json_http;
mod pipelined;
mod proxy;
mod read_ahead;
mod registry;
mod responses;

use crate::shared::Shared;
use bytes::Bytes;
use log::warn;
use seamhatch_core::identity::Address;
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

use crate::ports::EntryLayout;
use callers::ClosingSignal;
use proxy::RequestHandler;

/// How long an idle connection of an operator or back end is kept.
const KEEP_ALIVE: Duration = Duration::from_secs(30);
/// Longest wait for a request head of an operator or back end.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest head of a request of an operator or back end, in bytes.
const HEAD_BUFFER: usize = 64 * 1024;
/// Most header fields of such a request.
const HEADER_FIELDS: usize = 96;

/// A running listener.
pub struct Listener {
    stop: Box<dyn Fn() + Send + Sync>,
    thread: JoinHandle<()>,
}

impl Listener {
    /// Finishes what is in progress and ends the threads, or returns after `longest`.
    pub fn stop(self, longest: Duration) {
        (self.stop)();
        let end = Instant::now() + longest;
        while !self.thread.is_finished() && Instant::now() < end {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Serves an application at bound sockets on threads of its own.
///
/// # Errors
/// The threads can't be started.
pub fn serve<S, B>(
    service: S,
    sockets: Vec<TcpListener>,
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
    for socket in sockets {
        server = server.listen(socket)?;
    }
    // The server must be built on the thread that it runs on.
    let (sender, receiver) = mpsc::channel();
    let thread = std::thread::Builder::new().name(name.to_owned()).spawn(move || {
        let mut running = server.run();
        // An error shows at the receiver as a closed channel.
        let _ = running.handle().map(|handle| sender.send(handle));
        if let Err(error) = running.wait() {
            warn!(error = error.to_string().as_str(); "a listener ended with an error");
        }
    })?;
    let handle = receiver.recv().map_err(std::io::Error::other)?;
    Ok(Listener { stop: Box::new(move || handle.stop(true)), thread })
}

/// A socket that listens at `address`.
///
/// # Errors
/// The address can't be bound.
pub fn bind(address: Address) -> std::io::Result<TcpListener> {
    TcpListener::bind(SocketAddr::from(address))
}

/// The port that collectors read is fixed, while the deployment chooses all others, so it may be taken. Requests are served all
/// the same.
fn bind_metrics(address: Address) -> Option<TcpListener> {
    bind(address)
        .inspect_err(|error| {
            let (address, error) = (address.to_string(), error.to_string());
            warn!(address = address.as_str(), error = error.as_str(); "no metrics at listen.metrics; they are served at listen.admin");
        })
        .ok()
}

/// The listeners of a running daemon.
pub struct Listeners {
    /// Ends those of callers, and their connections.
    closing: ClosingSignal,
    /// Those of operators and back ends, which stay open until the process ends.
    _control: Vec<Listener>,
}

impl Listeners {
    /// Binds and starts all listeners that the settings name; requests are served on this runtime.
    ///
    /// # Errors
    /// An address can't be bound.
    pub async fn start(shared: &Arc<Shared>, layout: EntryLayout) -> std::io::Result<Self> {
        let listen = shared.settings.listen;
        let entry = match layout {
            EntryLayout::Separate => RequestHandler::ingress(shared.clone()),
            EntryLayout::Shared => RequestHandler::shared(shared.clone()),
        };
        let closing = ClosingSignal::new(false);
        callers::listen(listen.ingress.into(), entry, &closing).await?;
        if let Some(egress) = listen.egress {
            callers::listen(egress.into(), RequestHandler::egress(shared.clone()), &closing).await?;
        }
        let admin = App::new()
            .with_state(shared.clone())
            .at("/", fn_service(admin::handle))
            .at("/{*rest}", fn_service(admin::handle));
        let mut sockets = vec![bind(listen.admin)?];
        sockets.extend(listen.metrics.and_then(bind_metrics));
        let mut control = vec![serve(admin.finish(), sockets, 1, "admin")?];
        if let Some(registry) = listen.registry {
            let app = App::new()
                .with_state(shared.clone())
                .at("/", fn_service(registry::handle))
                .at("/{*rest}", fn_service(registry::handle));
            control.push(serve(app.finish(), vec![bind(registry)?], 1, "registry")?);
        }
        Ok(Self { closing, _control: control })
    }

    /// Refuses callers' new connections from now on, and ends open ones: idle ones at once, others when they have written what is due.
    pub fn close(&self) {
        self.closing.send_replace(true);
    }

    /// Waits until all connections of callers have ended.
    pub async fn until_closed(&self) {
        self.closing.closed().await;
    }
}
