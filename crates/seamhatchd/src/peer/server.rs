//! The receiving end of connections: calls for the back end beside this daemon,
//! claims for this witness, and control messages.

use crate::backend::{self, BackendAnswer, BackendError, BackendRequest, BodyPiece, BrokenOff};
use crate::clock;
use crate::gate::{GateRequest, Permit};
use crate::headers;
use crate::metrics::BadInput;
use crate::peer::BODY_PIECE;
use crate::peer::credit::CreditWindow;
use crate::peer::link::{self, Outbox};
use crate::running::RunningCall;
use crate::shared::Shared;
use bytes::Bytes;
use log::{debug, info, warn};
use seamhatch_core::Instant;
use seamhatch_core::clock::{MILLISECOND, Microseconds};
use seamhatch_core::identity::{Address, CallId};
use seamhatch_core::outcome::{Outcome, Reason};
use seamhatch_core::retry::RetryLedger;
use seamhatch_wire::{
    AnswerHead, AnswerTail, CallHead, FrameReader, Hello, PeerMessage, Refusal, WireError, read_preface,
    write_preface,
};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc};

/// Longest wait for a new connection's first message.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Wait after a failed accept, so that a lack of file descriptors doesn't spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// A peer that was silent for this long is gone.
const SILENCE_TO_CLOSE: Duration = Duration::from_secs(20);
/// Advice after a refusal that has nothing to do with load.
const SHORT_RETRY_AFTER: Microseconds = 200 * MILLISECOND;

/// Accepts connections of other daemons for ever.
pub async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                tokio::spawn(serve_connection(shared.clone(), stream, address.to_string()));
            }
            Err(error) => {
                warn!(error = error.to_string().as_str(); "accepting a daemon's connection failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
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
    let first = tokio::time::timeout(HELLO_TIMEOUT, frames.next()).await.map_err(timed_out)??;
    let Some(PeerMessage::Hello(hello)) = first else { return Err(WireError::NotSeamhatch) };
    if hello.cluster != shared.settings.cluster {
        return Err(WireError::NotSeamhatch);
    }
    shared.control.met(hello.gossip);
    let (outbox, messages) = Outbox::new();
    // The outbox was made just now and can't be closed.
    let _ = outbox.send(PeerMessage::Hello(link::hello(shared)));
    let writing = AbortOnDrop(tokio::spawn(link::write_messages(writer, messages)));
    let pulses = AbortOnDrop(tokio::spawn({
        let (shared, outbox) = (shared.clone(), outbox.clone());
        async move { link::send_pulses(&shared, outbox).await }
    }));
    let session = Session { shared: shared.clone(), outbox, hello, calls: Arc::default() };
    let result = session.read(frames).await;
    session.cancel_all();
    drop((writing, pulses));
    result
}

struct AbortOnDrop<T>(tokio::task::JoinHandle<T>);

impl<T> Drop for AbortOnDrop<T> {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// What the connection keeps of a call in progress.
struct CallEntry {
    body: Option<mpsc::UnboundedSender<BodyPiece>>,
    window: Arc<CreditWindow>,
    cancelled: Arc<Cancellation>,
}

/// Tells a call that its sender has given it up.
#[derive(Debug, Default)]
struct Cancellation {
    notify: Notify,
}

type Calls = Arc<Mutex<HashMap<CallId, CallEntry>>>;

/// One connection of a daemon that sends calls here.
struct Session {
    shared: Arc<Shared>,
    outbox: Outbox,
    hello: Hello,
    calls: Calls,
}

impl Session {
    async fn read(&self, mut frames: FrameReader<tokio::net::tcp::OwnedReadHalf>) -> Result<(), WireError> {
        loop {
            let next = tokio::time::timeout(SILENCE_TO_CLOSE, frames.next()).await;
            let next = next.map_err(|_| WireError::Io(std::io::ErrorKind::TimedOut.into()))?;
            let Some(message) = next? else { return Ok(()) };
            self.handle(message);
        }
    }

    fn handle(&self, message: PeerMessage) {
        match message {
            PeerMessage::Call(head) => self.start_call(*head),
            PeerMessage::RequestChunk { call, bytes } => self.feed(call, Bytes::from(bytes)),
            PeerMessage::RequestEnd { call } => self.end_body(call),
            PeerMessage::Cancel { call } => self.cancel(call),
            PeerMessage::Credit { call, bytes } => {
                if let Some(entry) = self.calls.lock().expect("calls lock").get(&call) {
                    entry.window.refill(bytes);
                }
            }
            PeerMessage::Claim { exchange, shard, epoch, claim } => {
                let reply = self.shared.witnesses.claim(shard, epoch, claim);
                let _ = self.outbox.send(PeerMessage::ClaimReply { exchange, reply });
            }
            PeerMessage::ReleaseClaim { shard, epoch, key, holder } => {
                self.shared.witnesses.release(shard, epoch, key, holder);
            }
            PeerMessage::ControlRequest { exchange, request } => {
                let outbox = self.outbox.clone();
                let reply = self.shared.control.ask(request);
                tokio::spawn(async move {
                    let reply = reply.await;
                    let _ = outbox.send(PeerMessage::ControlReply { exchange, reply });
                });
            }
            PeerMessage::Pulse(pulse) => {
                self.shared.control.saw_generation(self.hello.peer, pulse.generation);
            }
            _ => self.shared.metrics.bad_input(BadInput::PeerConnection),
        }
    }

    fn start_call(&self, head: CallHead) {
        let (body_sender, body) = if head.has_body {
            let (sender, body) = backend::request_body();
            (Some(sender), body)
        } else {
            (None, backend::no_body())
        };
        let window = Arc::new(CreditWindow::default());
        let cancelled = Arc::new(Cancellation::default());
        let entry = CallEntry { body: body_sender, window: window.clone(), cancelled: cancelled.clone() };
        let call = head.call;
        let earlier = self.calls.lock().expect("calls lock").insert(call, entry);
        if earlier.is_some() {
            self.shared.metrics.bad_input(BadInput::PeerConnection);
        }
        let server_call = ServerCall {
            shared: self.shared.clone(),
            outbox: self.outbox.clone(),
            calls: self.calls.clone(),
            window,
            cancelled,
            head,
            from: self.hello.peer,
            arrived: clock::now(),
        };
        tokio::spawn(async move { server_call.run(body).await });
    }

    fn feed(&self, call: CallId, bytes: Bytes) {
        let calls = self.calls.lock().expect("calls lock");
        let Some(body) = calls.get(&call).and_then(|entry| entry.body.as_ref()) else { return };
        let size = bytes.len() as u32;
        // The channel is bounded by the credit that is given here.
        if body.send(Ok(bytes)).is_ok() {
            let _ = self.outbox.send(PeerMessage::Credit { call, bytes: size });
        }
    }

    fn end_body(&self, call: CallId) {
        if let Some(entry) = self.calls.lock().expect("calls lock").get_mut(&call) {
            entry.body = None;
        }
    }

    fn cancel(&self, call: CallId) {
        if let Some(entry) = self.calls.lock().expect("calls lock").get_mut(&call) {
            entry.give_up();
        }
    }

    fn cancel_all(&self) {
        for entry in self.calls.lock().expect("calls lock").values_mut() {
            entry.give_up();
        }
    }
}

impl CallEntry {
    fn give_up(&mut self) {
        if let Some(body) = self.body.take() {
            // The back end must not take the part it has for the whole.
            let _ = body.send(Err(BrokenOff));
        }
        self.cancelled.notify.notify_one();
    }
}

/// Part of an answer that is read before its head is passed on, in bytes. Where the whole answer fits,
/// one that breaks off can still be asked for again, and nobody sees half of it.
const BEGINNING: usize = 64 * 1024;

/// The beginning of an answer's body.
struct Beginning {
    pieces: Vec<Bytes>,
    /// It is the whole body.
    whole: bool,
}

impl Beginning {
    async fn read(answer: &mut BackendAnswer) -> Result<Self, BackendError> {
        let mut pieces = Vec::new();
        let mut length = 0;
        while length < BEGINNING {
            let Some(piece) = answer.next().await? else { return Ok(Self { pieces, whole: true }) };
            length += piece.len();
            pieces.push(piece);
        }
        Ok(Self { pieces, whole: false })
    }
}

/// One call on its way through this daemon to the back end.
struct ServerCall {
    shared: Arc<Shared>,
    outbox: Outbox,
    calls: Calls,
    window: Arc<CreditWindow>,
    cancelled: Arc<Cancellation>,
    head: CallHead,
    /// Peer address of the daemon that sent it.
    from: Address,
    arrived: Instant,
}

impl Drop for ServerCall {
    fn drop(&mut self) {
        self.calls.lock().expect("calls lock").remove(&self.head.call);
    }
}

impl ServerCall {
    async fn run(self, body: backend::RequestBody) {
        self.shared.control.saw_generation_of_call(self.head.generation);
        let now = clock::now();
        let context = &self.head.context;
        let running = Arc::new(RunningCall::new(
            context.root,
            context.priority,
            now.minus(context.root_age),
            context.expiry,
            context.depth + 1,
            RetryLedger::new(context.tokens, context.repeat),
        ));
        match self.admit(&running).await {
            Ok(permit) => self.execute(&running, permit, body).await,
            Err(reason) => self.refuse(&running, Outcome::NotRun, reason),
        }
    }

    async fn admit(&self, running: &RunningCall) -> Result<Permit, Reason> {
        if self.head.service != self.shared.settings.service {
            return Err(Reason::NoRoute);
        }
        if !self.shared.serves_callers() {
            return Err(Reason::Draining);
        }
        if !self.shared.instances.is_open() {
            return Err(Reason::NoInstance);
        }
        let request = GateRequest {
            root: running.root,
            priority: running.priority,
            root_admitted: running.root_admitted,
            expiry: running.expiry,
            start_by: clock::now().plus(self.head.context.patience),
        };
        let permit = tokio::select! {
            permit = self.shared.gate.admit(request) => permit?,
            () = self.cancelled.notify.notified() => return Err(Reason::Cancelled),
        };
        Ok(permit)
    }

    async fn execute(&self, running: &Arc<RunningCall>, mut permit: Permit, body: backend::RequestBody) {
        let name = self.shared.conventions.request_name(&self.head.headers);
        let registration = self.shared.running.register(running.clone(), name);
        // Last of all: this process may have been frozen since the slot was given, and the instance
        // may have closed.
        if running.expiry <= clock::now() {
            return self.refuse(running, Outcome::NotRun, Reason::DeadlineExceeded);
        }
        let Some(instance) = self.shared.instances.open() else {
            return self.refuse(running, Outcome::NotRun, Reason::NoInstance);
        };
        let request = BackendRequest {
            method: &self.head.method,
            path: &self.head.path,
            headers: &self.head.headers,
            context: registration.header(),
            expiry: running.expiry,
            instance: instance.id.as_ref(),
        };
        self.shared.metrics.execution(running.priority.class);
        let started = clock::now();
        let exchange = async {
            let mut answer = self.shared.backend.send(&request, body).await?;
            let beginning = Beginning::read(&mut answer).await?;
            Ok((answer, beginning))
        };
        let exchanged = tokio::select! {
            exchanged = exchange => exchanged,
            () = self.given_up() => return self.refuse(running, Outcome::Unknown, Reason::Cancelled),
        };
        match exchanged {
            Ok((answer, beginning)) => {
                let status = answer.status.as_u16();
                let complete = tokio::select! {
                    complete = self.pass_answer(running, answer, beginning) => complete,
                    () = self.given_up() => false,
                };
                if complete {
                    permit.mark_succeeded();
                }
                drop(permit);
                self.log_run(status, complete, started);
                self.end(running, complete);
            }
            Err(BackendError::NotRun { reason, detail }) => {
                debug!(reason = reason.name(), detail = detail.as_str(); "back end did not run a call");
                let lost = matches!(reason, Reason::BackendUnreachable | Reason::OtherInstance);
                if let Some(instance) = instance.id.filter(|_| lost) {
                    self.shared.control.lost_instance(instance, reason);
                }
                self.refuse(running, Outcome::NotRun, reason);
            }
            Err(BackendError::Failed { detail }) => {
                debug!(detail = detail.as_str(); "back end broke off");
                self.refuse(running, Outcome::Unknown, Reason::BackendFailed);
            }
        }
    }

    /// Resolves when a call that may run again is given up; one that may not
    /// runs to its end, since its effect is wanted or can't be undone.
    async fn given_up(&self) {
        self.cancelled.notify.notified().await;
        if !self.head.context.repeatable {
            std::future::pending::<()>().await;
        }
    }

    /// Passes the answer on; true when it was complete.
    async fn pass_answer(
        &self,
        running: &RunningCall,
        mut answer: BackendAnswer,
        beginning: Beginning,
    ) -> bool {
        let report = self.shared.gate.report();
        let conventions = &self.shared.conventions;
        let head = AnswerHead {
            call: self.head.call,
            status: answer.status.as_u16(),
            headers: headers::passing_fields(&answer.headers, |name| conventions.passes_through(name)),
            server: report,
            chain_floor: running.chain_floor().min(report.floor),
        };
        let _ = self.outbox.send(PeerMessage::AnswerHead(Box::new(head)));
        for piece in beginning.pieces {
            self.send_pieces(piece).await;
        }
        if !beginning.whole && !self.pass_rest(&mut answer).await {
            return false;
        }
        self.shared.backend.finish(answer);
        true
    }

    async fn pass_rest(&self, answer: &mut BackendAnswer) -> bool {
        loop {
            match answer.next().await {
                Ok(Some(piece)) => self.send_pieces(piece).await,
                Ok(None) => return true,
                Err(_) => return false,
            }
        }
    }

    async fn send_pieces(&self, mut data: Bytes) {
        while !data.is_empty() {
            let piece = data.split_to(data.len().min(BODY_PIECE));
            self.window.ready().await;
            self.window.spend(piece.len());
            let message = PeerMessage::AnswerChunk { call: self.head.call, bytes: piece.to_vec() };
            // A lost connection ends the call by its cancellation.
            let _ = self.outbox.send(message);
        }
    }

    fn log_run(&self, status: u16, complete: bool, started: Instant) {
        info!(
            request = self.log_name().as_str(),
            from = self.from.to_string().as_str(),
            status = status,
            complete = complete,
            waited_ms = started.since(self.arrived) / MILLISECOND,
            ran_ms = clock::now().since(started) / MILLISECOND;
            "call ran"
        );
    }

    /// How logs name the request.
    fn log_name(&self) -> String {
        let name = self.shared.conventions.request_name(&self.head.headers);
        name.map_or_else(|| self.head.context.root.to_string(), str::to_owned)
    }

    fn end(&self, running: &RunningCall, complete: bool) {
        let unspent_tokens = running.ledger().tokens();
        let tail = AnswerTail { call: self.head.call, complete, unspent_tokens };
        let _ = self.outbox.send(PeerMessage::AnswerTail(tail));
    }

    fn refuse(&self, running: &RunningCall, outcome: Outcome, reason: Reason) {
        self.shared.metrics.refusal(outcome, reason, running.priority.class);
        let server = self.shared.gate.report();
        info!(
            request = self.log_name().as_str(),
            root = self.head.context.root.to_string().as_str(),
            from = self.from.to_string().as_str(),
            outcome = outcome.name(),
            reason = reason.name(),
            priority = running.priority.level(),
            load = server.load,
            limit = server.limit,
            floor = server.floor.0,
            left_ms = running.expiry.since(clock::now()) / MILLISECOND;
            "call refused"
        );
        let refusal = Refusal {
            outcome,
            reason,
            retry_after: self.retry_after(reason),
            unspent_tokens: running.ledger().tokens(),
            server,
        };
        let _ = self.outbox.send(PeerMessage::Refused { call: self.head.call, refusal });
    }

    fn retry_after(&self, reason: Reason) -> Microseconds {
        match reason {
            Reason::QueueFull | Reason::Evicted | Reason::DeadlineExceeded | Reason::AdmissionFloor => {
                self.shared.gate.retry_after()
            }
            _ => SHORT_RETRY_AFTER,
        }
    }
}
