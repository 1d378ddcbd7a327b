//! What a daemon sends on the connections that it opens to other daemons. The tests play the called daemons.

use seamhatch_core::balance::TurnReport;
use seamhatch_core::clock::{Instant, Microseconds, SECOND};
use seamhatch_core::crashes::SuspectReport;
use seamhatch_core::generation::Generation;
use seamhatch_core::heartbeat::CALLING_INTERVAL;
use seamhatch_core::identity::{Address, CallId, Incarnation, RequestDigest, RootId};
use seamhatch_core::instance::InstanceId;
use seamhatch_core::notice::BackEndNotice;
use seamhatch_core::priority::{AdmissionFloor, Priority, PriorityClass};
use seamhatch_wire::{
    ADDITIONS, AnswerHead, AnswerTail, CallContext, CallHead, CallIntake, FrameReader, HandedBackCall, Hello,
    PeerMessage, Pulse, READS_RUNNING_CALLS, ServerReport, encode_frame, read_preface, write_preface,
};
use seamhatchd::base::clock;
use seamhatchd::base::metrics::BadInput;
use seamhatchd::peer::{
    AnswerBody, AnswerPiece, BODY_PIECE_BYTES, BODY_WINDOW_BYTES, CallEvent, LinkHost, LocalState, PeerPool,
    UnwrittenMessages,
};
use std::net::{IpAddr, Ipv4Addr};
use std::sync::{Arc, Weak};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

const REPORT: ServerReport = ServerReport { load: 0, limit: 8, floor: AdmissionFloor::OPEN };

/// The state of a daemon that has connections and nothing else.
#[derive(Debug, Default)]
struct Host {
    unwritten: UnwrittenMessages,
    intake_changed: Notify,
}

fn hello(port: u16) -> Hello {
    let address = Address { ip: Ipv4Addr::LOCALHOST.into(), port };
    Hello {
        cluster: "deployment".into(),
        peer: address,
        gossip: address,
        incarnation: Incarnation(1),
        service: "stock".into(),
        clock: clock::now(),
        additions: ADDITIONS,
        handed_back: None,
    }
}

impl LinkHost for Host {
    fn hello(&self, _callee: Option<Address>) -> Hello {
        hello(1)
    }

    fn unwritten(&self) -> &UnwrittenMessages {
        &self.unwritten
    }

    fn own_ip(&self) -> IpAddr {
        Ipv4Addr::LOCALHOST.into()
    }

    fn local_state(&self, _peer: Address) -> LocalState {
        LocalState {
            generation: Generation::default(),
            intake: CallIntake::Open,
            server: REPORT,
            proof: None,
            turn: None::<TurnReport>,
            notice: None,
            pace: None,
            instance: None,
            is_stopping: false,
        }
    }

    fn intake_changed(&self) -> Notified<'_> {
        self.intake_changed.notified()
    }

    fn heartbeat_received(&self, _service: &str, _peer: Address, _pulse: &Pulse) {}

    fn server_report(&self, _service: &str, _peer: Address, _report: ServerReport) {}

    fn back_end_notice(&self, _peer: Address, _notice: Option<&BackEndNotice>) {}

    fn connection_ended(&self, _service: &str, _peer: Address) {}

    fn suspects_reported(&self, _reports: &[SuspectReport]) {}

    fn bad_input(&self, kind: BadInput) {
        panic!("bad input: {kind:?}");
    }
}

/// The called end of a connection that a daemon opened.
struct CalledPeer {
    frames: FrameReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
}

impl CalledPeer {
    async fn accept(listener: &TcpListener) -> Self {
        Self::accept_as(listener, Incarnation(1), ADDITIONS).await
    }

    /// Accepts a connection as a daemon in this life, which reads these additions.
    async fn accept_as(listener: &TcpListener, incarnation: Incarnation, additions: u16) -> Self {
        let port = listener.local_addr().expect("is bound").port();
        let (mut stream, _address): (TcpStream, _) = listener.accept().await.expect("accepts");
        read_preface(&mut stream).await.expect("reads");
        write_preface(&mut stream).await.expect("writes");
        let (reader, writer) = stream.into_split();
        let mut peer = Self { frames: FrameReader::new(reader), writer };
        peer.send(PeerMessage::Hello(Hello { incarnation, additions, ..hello(port) })).await;
        assert!(matches!(peer.next().await, PeerMessage::Hello(_)));
        peer
    }

    async fn send(&mut self, message: PeerMessage) {
        let mut bytes = Vec::new();
        encode_frame(&message, &mut bytes).expect("encodes");
        self.writer.write_all(&bytes).await.expect("writes");
    }

    async fn next(&mut self) -> PeerMessage {
        self.frames.next().await.expect("reads").expect("is open")
    }

    /// The times at which the daemon sent the heartbeats that arrive within `time`, by the daemon's clock.
    async fn heartbeats_within(&mut self, time: Duration) -> Vec<Instant> {
        let mut sent = Vec::new();
        let collecting = async {
            loop {
                match self.next().await {
                    PeerMessage::Pulse(pulse) => sent.push(pulse.clock),
                    other => panic!("not a heartbeat: {other:?}"),
                }
            }
        };
        let ended = tokio::time::timeout(time, collecting).await;
        assert!(ended.is_err());
        sent
    }
}

fn call_head(number: u64) -> CallHead {
    let context = CallContext {
        root: RootId(number.into()),
        priority: Priority::new(PriorityClass::Normal, RootId(number.into())),
        root_age: 0,
        tokens: 0,
        repeat: false,
        repeatable: true,
        expiry: clock::now().plus(60 * SECOND),
        objective_left: SECOND,
        depth: 0,
    };
    CallHead {
        call: CallId(number),
        generation: Generation::default(),
        service: "stock".into(),
        context,
        request: RequestDigest(number),
        method: "GET".into(),
        path: "/x".into(),
        headers: Vec::new(),
        has_body: false,
    }
}

impl CalledPeer {
    /// Answers a call with a body of this many bytes, as fast as credit allows. Returns the credit that the caller has granted by the
    /// time it closes the connection or is silent for 500 ms.
    async fn answer(mut self, bytes: usize) -> Vec<u32> {
        let call = loop {
            if let PeerMessage::Call(head) = self.next().await {
                break head.call;
            }
        };
        let head = AnswerHead {
            call,
            status: 200,
            headers: Vec::new(),
            server: REPORT,
            chain_floor: None,
            turn: None,
            notice: None,
            pace: None,
            usage: Vec::new(),
        };
        self.send(PeerMessage::AnswerHead(Box::new(head))).await;
        let (mut left, mut window, mut credit) = (bytes, BODY_WINDOW_BYTES as i64, Vec::new());
        while left > 0 {
            while window <= 0 {
                if let PeerMessage::Credit { bytes, .. } = self.next().await {
                    credit.push(bytes);
                    window += i64::from(bytes);
                }
            }
            let piece = left.min(BODY_PIECE_BYTES);
            self.send(PeerMessage::AnswerChunk { call, bytes: vec![7; piece] }).await;
            left -= piece;
            window -= piece as i64;
        }
        self.send(PeerMessage::AnswerTail(AnswerTail { call, complete: true, unspent_tokens: 0 })).await;
        while let Ok(Ok(Some(message))) =
            tokio::time::timeout(Duration::from_millis(500), self.frames.next()).await
        {
            if let PeerMessage::Credit { bytes, .. } = message {
                credit.push(bytes);
            }
        }
        credit
    }
}

/// Opens a connection from `pool` to a peer that the test plays.
async fn connect(pool: &Arc<PeerPool>) -> (seamhatchd::peer::PeerConnection, CalledPeer) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("binds");
    let address = listener.local_addr().expect("is bound");
    let address = Address { ip: address.ip(), port: address.port() };
    let (connection, peer) = tokio::join!(pool.get(address), CalledPeer::accept(&listener));
    (connection.expect("connects"), peer)
}

fn pool(host: &Arc<Host>) -> Arc<PeerPool> {
    let host: Weak<Host> = Arc::downgrade(host);
    PeerPool::new(Handle::current(), host)
}

/// Largest difference between two heartbeats that are due at the same instant, on a busy machine.
const SAME_INSTANT: Microseconds = SECOND / 10;

/// Guards against a heartbeat each 400 ms at a different instant on each connection: with 70 connections, these cost a daemon more
/// than its calls.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn heartbeats_of_the_calling_side_are_rare_and_sent_at_the_same_instants() {
    let host = Arc::new(Host::default());
    let pool = pool(&host);
    let (_first, mut first_peer) = connect(&pool).await;
    tokio::time::sleep(Duration::from_millis(270)).await;
    let (_second, mut second_peer) = connect(&pool).await;
    let time = Duration::from_millis(4100);
    let (first, second) =
        tokio::join!(first_peer.heartbeats_within(time), second_peer.heartbeats_within(time));
    // The first heartbeat of a connection is sent when it opens.
    let (first, second) = (&first[1..], &second[1..]);
    assert!((3..=4).contains(&second.len()), "{second:?}");
    for (one, other) in first.iter().zip(second) {
        let apart = one.since(*other).max(other.since(*one));
        assert!(apart < SAME_INSTANT, "{first:?} and {second:?}");
    }
    for pair in second.windows(2) {
        assert!(pair[1].since(pair[0]) + SAME_INSTANT > CALLING_INTERVAL, "{second:?}");
    }
}

/// Guards against announcing a drain only with the next regular heartbeat.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_of_the_intake_is_sent_at_once() {
    let host = Arc::new(Host::default());
    let pool = pool(&host);
    let (_connection, mut peer) = connect(&pool).await;
    peer.heartbeats_within(Duration::from_millis(100)).await;
    for _change in 0..3 {
        host.intake_changed.notify_waiters();
        let heartbeats = peer.heartbeats_within(Duration::from_millis(300)).await;
        assert!(!heartbeats.is_empty(), "no heartbeat within 300 ms");
    }
}

/// Guards against granting credit for each piece of an answer: it costs both daemons a wake-up, even where the answer fits into the
/// window.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn credit_for_an_answer_is_sent_by_half_windows() {
    const KIBIBYTE: usize = 1024;
    let host = Arc::new(Host::default());
    let pool = pool(&host);
    let cases = [(0, 0), (100 * KIBIBYTE, 0), (127 * KIBIBYTE, 0), (2048 * KIBIBYTE, 16)];
    for (number, (size, most)) in cases.into_iter().enumerate() {
        let (connection, peer) = connect(&pool).await;
        let answering = tokio::spawn(peer.answer(size));
        let mut stream = connection.start_call(call_head(number as u64)).expect("is open");
        assert!(matches!(stream.next().await, Some(CallEvent::Head(_))));
        let mut body = AnswerBody::new(stream);
        let mut read = 0;
        loop {
            match body.next().await {
                AnswerPiece::Data(bytes) => read += bytes.len(),
                AnswerPiece::End { .. } => break,
                AnswerPiece::Broken => panic!("broke off after {read} of {size} bytes"),
            }
        }
        assert_eq!(read, size);
        let credit = answering.await.expect("answers");
        assert!(credit.len() <= most, "{size} bytes: {credit:?}");
        assert!(
            credit.iter().all(|bytes| *bytes as usize >= BODY_WINDOW_BYTES / 2),
            "{size} bytes: {credit:?}"
        );
    }
}

/// Guards against a pool that does not see what the connection's task has received: it must open a second connection if, and only if,
/// the first one is silent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silent_connection_is_replaced_and_an_active_one_is_kept() {
    let host = Arc::new(Host::default());
    let pool = pool(&host);
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("binds");
    let address = listener.local_addr().expect("is bound");
    let address = Address { ip: address.ip(), port: address.port() };
    let accepting = tokio::spawn(async move {
        let mut peer = CalledPeer::accept(&listener).await;
        let report = ServerReport { load: 3, ..REPORT };
        let pulse = Pulse {
            clock: clock::now(),
            generation: Generation::default(),
            intake: CallIntake::Open,
            server: report,
            proof: None,
            turn: None,
            notice: None,
            farewell: None,
            pace: None,
            instance: None,
        };
        for _heartbeat in 0..6 {
            peer.send(PeerMessage::Pulse(pulse.clone())).await;
            tokio::time::sleep(Duration::from_millis(250)).await;
        }
        // Sends nothing from here on, so that the daemon must open a second connection.
        let second = CalledPeer::accept(&listener).await;
        (peer, second)
    });
    let first = pool.get(address).await.expect("connects");
    tokio::time::sleep(Duration::from_millis(1250)).await;
    assert_eq!(first.with_view(|view| view.server.map(|report| report.load)), Some(3));
    assert!(!first.with_view(|view| view.is_silent(clock::now())));
    assert!(pool.read().connection(address).is_some());
    assert!(!accepting.is_finished(), "a second connection was opened beside one that receives heartbeats");
    let both = tokio::time::timeout(Duration::from_secs(10), accepting).await;
    // Kept until the end of the test: dropping the peer's end closes the first connection.
    let _both = both.expect("a second connection is opened in time").expect("accepts");
    assert!(first.with_view(|view| view.is_silent(clock::now())));
    assert!(first.is_open(), "the silent connection stays open for its calls");
}

/// A call that may run only once, as its sender remembers it.
fn running_call(name: &str) -> HandedBackCall {
    let instance = Some(InstanceId::named("i"));
    HandedBackCall {
        name: name.into(),
        tenant: Some("north".into()),
        instance,
        context: call_head(1).context,
    }
}

/// Guards against calls of running requests that a restarted daemon doesn't know, though their senders do: they hand them back by themselves,
/// before any call, to that daemon in another life only, and only while they may run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_restarted_daemon_is_handed_back_the_calls_that_are_not_settled() {
    struct RestartCase {
        name: &'static str,
        incarnation: Incarnation,
        additions: u16,
        is_handed_back: bool,
    }
    let cases = [
        RestartCase {
            name: "restarted",
            incarnation: Incarnation(2),
            additions: ADDITIONS,
            is_handed_back: true,
        },
        RestartCase {
            name: "the same",
            incarnation: Incarnation(1),
            additions: ADDITIONS,
            is_handed_back: false,
        },
        RestartCase {
            name: "an earlier release",
            incarnation: Incarnation(2),
            additions: READS_RUNNING_CALLS - 1,
            is_handed_back: false,
        },
    ];
    for case in cases {
        let host = Arc::new(Host::default());
        let pool = pool(&host);
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("binds");
        let address = listener.local_addr().expect("is bound");
        let address = Address { ip: address.ip(), port: address.port() };
        let (connection, peer) = tokio::join!(pool.get(address), CalledPeer::accept(&listener));
        let connection = connection.expect("connects");
        let note = |id: u64, name: &str, span| {
            pool.note_sent(&connection, CallId(id), clock::now().plus(span), running_call(name))
                .expect("is noted")
        };
        note(1, "running", 60 * SECOND);
        note(2, "short", SECOND / 1000);
        pool.settle(note(3, "answered", 60 * SECOND));
        // Until the short one has expired.
        tokio::time::sleep(Duration::from_millis(5)).await;
        drop(peer);
        let accepting = CalledPeer::accept_as(&listener, case.incarnation, case.additions);
        // Nothing but the unsettled calls asks for the second connection.
        let mut peer = tokio::time::timeout(Duration::from_secs(5), accepting).await.expect(case.name);
        let first = tokio::time::timeout(Duration::from_secs(5), peer.next()).await.expect(case.name);
        let names = match first {
            PeerMessage::RunningCalls(calls) => calls.into_iter().map(|call| call.name).collect(),
            _ => Vec::new(),
        };
        let expected: &[&str] = if case.is_handed_back { &["running"] } else { &[] };
        assert_eq!(names, expected, "{}", case.name);
    }
}

/// Guards against a daemon that gets no work for seconds after its return, because the attempts to hand its calls back have ejected it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn attempts_to_hand_calls_back_eject_no_daemon() {
    let host = Arc::new(Host::default());
    let pool = pool(&host);
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("binds");
    let address = listener.local_addr().expect("is bound");
    let address = Address { ip: address.ip(), port: address.port() };
    let (connection, peer) = tokio::join!(pool.get(address), CalledPeer::accept(&listener));
    let connection = connection.expect("connects");
    let expiry = clock::now().plus(3 * SECOND);
    pool.note_sent(&connection, CallId(1), expiry, running_call("running")).expect("is noted");
    drop(listener);
    drop(peer);
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(!pool.is_failing(address, clock::now()));
}
