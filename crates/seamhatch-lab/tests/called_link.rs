//! What a daemon sends on a connection that another daemon opened to it, which is stood in for here.

mod common;

use common::start;
use seamhatch_core::clock::{Instant, MILLISECOND, SECOND};
use seamhatch_core::generation::Generation;
use seamhatch_core::identity::{Address, CallId, Incarnation, RequestDigest, RootId};
use seamhatch_core::priority::{Priority, PriorityClass};
use seamhatch_lab::deployment::Deployment;
use seamhatch_lab::topology::{Topology, endpoint, service};
use seamhatch_wire::{
    ADDITIONS, CallContext, CallHead, FrameReader, Hello, PeerMessage, encode_frame, read_preface,
    write_preface,
};
use seamhatchd::peer::{BODY_PIECE_BYTES, BODY_WINDOW_BYTES};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// Usual time between heartbeats that are made at one instant, on a machine that is busy.
const AT_ONCE: u64 = 20 * MILLISECOND;

fn topology() -> Topology {
    let mut topology = Topology::chain(1, 1, 1, 0);
    let endpoints = vec![endpoint("slow", 8000, 10, vec![]), endpoint("quick", 1, 10, vec![])];
    topology.services[0] = service("s1", 1, 16, endpoints);
    topology
}

/// The calling end of a connection to a daemon.
struct CallingPeer {
    frames: FrameReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
    /// The daemon's boot clock when it answered.
    clock: Instant,
}

impl CallingPeer {
    async fn connect(deployment: &Deployment) -> Self {
        let machine = &deployment.daemons[0].machine;
        let own = Address { port: 1, ..machine.peer() };
        let mut stream =
            TcpStream::connect((machine.peer().ip, machine.peer().port)).await.expect("connects");
        write_preface(&mut stream).await.expect("writes");
        read_preface(&mut stream).await.expect("reads");
        let (reader, writer) = stream.into_split();
        let mut peer = Self { frames: FrameReader::new(reader), writer, clock: Instant(0) };
        let hello = Hello {
            cluster: deployment.topology.cluster.into(),
            peer: own,
            gossip: own,
            incarnation: Incarnation(1),
            service: "front".into(),
            clock: Instant(0),
            additions: ADDITIONS,
            handed_back: None,
        };
        peer.send(&PeerMessage::Hello(hello)).await;
        let PeerMessage::Hello(hello) = peer.next().await else { panic!("not a hello") };
        peer.clock = hello.clock;
        peer
    }

    async fn send(&mut self, message: &PeerMessage) {
        let mut bytes = Vec::new();
        encode_frame(message, &mut bytes).expect("encodes");
        self.writer.write_all(&bytes).await.expect("writes");
    }

    async fn next(&mut self) -> PeerMessage {
        self.frames.next().await.expect("reads").expect("is open")
    }

    async fn call(&mut self, number: u64, path: &str) {
        self.send_head(number, "GET", path, false).await;
    }

    async fn send_head(&mut self, number: u64, method: &str, path: &str, has_body: bool) {
        let context = CallContext {
            root: RootId(number.into()),
            priority: Priority::new(PriorityClass::Normal, RootId(number.into())),
            root_age: 0,
            tokens: 0,
            repeat: false,
            repeatable: true,
            expiry: self.clock.plus(60 * SECOND),
            objective_left: 10 * SECOND,
            depth: 0,
        };
        let head = CallHead {
            call: CallId(number),
            generation: Generation::default(),
            service: "s1".into(),
            context,
            request: RequestDigest(number),
            method: method.into(),
            path: path.into(),
            headers: Vec::new(),
            has_body,
        };
        self.send(&PeerMessage::Call(Box::new(head))).await;
    }

    /// Sends a call with a body of this many pieces. Returns the credit that comes until it is answered, in bytes.
    async fn upload(&mut self, number: u64, pieces: usize) -> Vec<u32> {
        let call = CallId(number);
        self.send_head(number, "POST", "/quick/upload", true).await;
        for _piece in 0..pieces {
            self.send(&PeerMessage::RequestChunk { call, bytes: vec![7; BODY_PIECE_BYTES] }).await;
        }
        self.send(&PeerMessage::RequestEnd { call }).await;
        let mut credit = Vec::new();
        loop {
            match self.next().await {
                PeerMessage::Credit { bytes, .. } => credit.push(bytes),
                PeerMessage::AnswerTail(tail) => {
                    assert!(tail.complete);
                    return credit;
                }
                PeerMessage::Refused { refusal, .. } => panic!("refused: {refusal:?}"),
                _ => {}
            }
        }
    }

    /// When the daemon made the heartbeats that arrive in this time, by its clock, and how many answers arrive. Makes
    /// a call after each answer where `path` names what to call.
    async fn heartbeats_within(&mut self, time: Duration, path: Option<&str>) -> (Vec<Instant>, usize) {
        let (mut made, mut answers) = (Vec::new(), 0);
        let collecting = async {
            loop {
                match self.next().await {
                    PeerMessage::Pulse(pulse) => made.push(pulse.clock),
                    PeerMessage::AnswerTail(_) => {
                        answers += 1;
                        if let Some(path) = path {
                            tokio::time::sleep(Duration::from_millis(20)).await;
                            self.call(1000 + answers as u64, path).await;
                        }
                    }
                    PeerMessage::Refused { refusal, .. } => panic!("refused: {refusal:?}"),
                    _ => {}
                }
            }
        };
        let ended = tokio::time::timeout(time, collecting).await;
        assert!(ended.is_err());
        (made, answers)
    }
}

/// The silence check of the calling side, the freshness proof and the clock need them whatever else is sent, and one that
/// is not needed costs both daemons a wake-up.
#[tokio::test(flavor = "multi_thread")]
async fn a_called_daemon_sends_heartbeats_where_its_answers_do_not_show_that_it_is_there() {
    let (deployment, _turn) = start(topology(), false).await;
    let mut idle = CallingPeer::connect(&deployment).await;
    tokio::time::sleep(Duration::from_millis(130)).await;
    let mut waits = CallingPeer::connect(&deployment).await;
    let mut answered = CallingPeer::connect(&deployment).await;
    waits.call(1, "/slow/waits").await;
    // One call of this peer is in progress all the time, and others are answered beside it.
    answered.call(2, "/slow/answered").await;
    answered.call(3, "/quick/answered").await;
    let time = Duration::from_millis(3300);
    let (idle, waits, answered) = tokio::join!(
        idle.heartbeats_within(time, None),
        waits.heartbeats_within(time, None),
        answered.heartbeats_within(time, Some("/quick/answered")),
    );
    assert!(answered.1 > 30, "{} answers", answered.1);
    // In 3.3 s: 8 each 400 ms or 16 each 200 ms, and one when the connection opens. Fewer where the machine is busy.
    assert!((6..=10).contains(&idle.0.len()), "idle: {:?}", idle.0);
    assert!((12..=18).contains(&waits.0.len()), "waits for an answer: {:?}", waits.0);
    assert!((6..=10).contains(&answered.0.len()), "gets answers: {:?}", answered.0);
    let mut apart: Vec<u64> = idle.0[1..].iter().map(|made| nearest(*made, &waits.0)).collect();
    apart.sort_unstable();
    assert!(apart[apart.len() / 2] < AT_ONCE, "{:?} and {:?}", idle.0, waits.0);
}

/// Credit for each piece of a request body cost both daemons a wake-up, also for bodies that fit into the window.
#[tokio::test(flavor = "multi_thread")]
async fn credit_for_a_request_body_is_sent_by_half_windows() {
    let (deployment, _turn) = start(topology(), false).await;
    let mut peer = CallingPeer::connect(&deployment).await;
    let half = BODY_WINDOW_BYTES / 2 / BODY_PIECE_BYTES;
    for (number, pieces, messages) in [(1, 1, 0), (2, half - 1, 0), (3, half, 1), (4, 6 * half + 1, 6)] {
        let credit = peer.upload(number, pieces).await;
        assert_eq!(credit, vec![BODY_WINDOW_BYTES as u32 / 2; messages], "{pieces} pieces");
    }
}

/// Time between an instant and the nearest of others.
fn nearest(made: Instant, others: &[Instant]) -> u64 {
    let apart = |other: &Instant| made.since(*other).max(other.since(made));
    others.iter().map(apart).min().expect("there are others")
}
