//! The HTTP listeners. Each has its own port, so that one listener's interface can't be reached through another.
//!
//! `callers` accepts connections of callers and of the back end (`hyper`), and `proxy` answers their requests.
//! `admin` serves operators and `registry` the back end's heartbeats (both `xitca-web`). Started at startup; a
//! planned stop closes callers' connections through [`Listeners::close`].

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

/// Idle time-out of a connection of an operator or back end.
const KEEP_ALIVE: Duration = Duration::from_secs(30);
/// Time limit for a request head of an operator or back end.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of a request head of an operator or back end, in bytes.
const HEAD_BUFFER_BYTES: usize = 64 * 1024;
/// Maximum number of header fields of such a request.
const HEADER_FIELDS: usize = 96;

/// A running listener.
pub struct Listener {
    stop: Box<dyn Fn() + Send + Sync>,
    thread: JoinHandle<()>,
}

impl Listener {
    /// Finishes the requests in progress and ends the threads. Returns after `longest` at the latest.
    pub fn stop(self, longest: Duration) {
        (self.stop)();
        let end = Instant::now() + longest;
        while !self.thread.is_finished() && Instant::now() < end {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Serves an application at bound sockets on dedicated threads.
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
        .max_read_buf_size::<HEAD_BUFFER_BYTES>()
        .max_request_headers::<HEADER_FIELDS>();
    for socket in sockets {
        server = server.listen(socket)?;
    }
    // The server must be created on the thread that runs it.
    let (sender, receiver) = mpsc::channel();
    let thread = std::thread::Builder::new().name(name.to_owned()).spawn(move || {
        let mut running = server.run();
        // On an error, the receiver sees a closed channel.
        let _ = running.handle().map(|handle| sender.send(handle));
        if let Err(error) = running.wait() {
            warn!(error = error.to_string().as_str(); "a listener ended with an error");
        }
    })?;
    let handle = receiver.recv().map_err(std::io::Error::other)?;
    Ok(Listener { stop: Box::new(move || handle.stop(true)), thread })
}

/// Opens a socket that listens at `address`.
///
/// # Errors
/// The address can't be bound.
pub fn bind(address: Address) -> std::io::Result<TcpListener> {
    TcpListener::bind(SocketAddr::from(address))
}

/// Binds the metrics port. Metrics collectors fix this port while the deployment chooses all others, so it may be
/// in use; the daemon then serves requests without it.
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
    /// Closes the traffic listeners and their connections.
    closing: ClosingSignal,
    /// The admin and registry listeners, which stay open until the process ends.
    _control: Vec<Listener>,
}

impl Listeners {
    /// Binds and starts all configured listeners. Callers' requests are served on the current runtime.
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

    /// Stops accepting callers' connections and closes the open ones: idle connections immediately, others when
    /// their answers are written.
    pub fn close(&self) {
        self.closing.send_replace(true);
    }

    /// Waits until all connections of callers are closed.
    pub async fn until_closed(&self) {
        self.closing.closed().await;
    }
}
