//! Messages that were changed on the way: any byte of any message, any length cut. Each is decoded or refused with a typed
//! error, without a panic and without more memory than the message is long, many times over.

use proptest::prelude::*;
use seamhatch_core::Instant;
use seamhatch_core::balance::{ServerPace, TurnReport};
use seamhatch_core::chain_cost::ServiceUsage;
use seamhatch_core::crashes::{InstanceDigest, MAX_MARKS, SuspectRecord, SuspectReport};
use seamhatch_core::freshness::FreshnessProof;
use seamhatch_core::generation::Generation;
use seamhatch_core::identity::{Address, CallId, Incarnation, RequestDigest, RootId};
use seamhatch_core::instance::InstanceId;
use seamhatch_core::membership::{GossipBody, GossipMessage, SUSPECTS_PER_MESSAGE};
use seamhatch_core::notice::BackEndNotice;
use seamhatch_core::outcome::{Outcome, Reason};
use seamhatch_core::priority::{AdmissionFloor, Priority, PriorityClass};
use seamhatch_core::rate::RequestRate;
use seamhatch_wire::{
    AnswerHead, AnswerTail, CallContext, CallHead, CallIntake, ControlReply, ControlRequest, Farewell,
    FrameReader, HandedBackCall, HeaderField, Hello, LARGEST_DATAGRAM, PROTOCOL_VERSION, PeerMessage, Pulse,
    Refusal, ServerReport, WireError, decode_datagram, encode_datagram, encode_frame,
};

/// What a byte is changed to, besides its complement.
const CHANGED_TO: [u8; 4] = [0x00, 0x01, 0x7f, 0xff];

fn address() -> Address {
    "10.1.2.3:7002".parse().expect("valid")
}

fn report() -> ServerReport {
    ServerReport { load: 1, limit: 2, floor: AdmissionFloor::OPEN }
}

fn field() -> HeaderField {
    HeaderField { name: "host".into(), value: b"here.example".to_vec() }
}

fn suspect(crashes: u64) -> SuspectReport {
    let mut record = SuspectRecord::new(RequestDigest(u64::MAX));
    for life in 0..crashes {
        record.add(InstanceDigest(u64::MAX - life), true);
    }
    SuspectReport { record, age: u64::MAX }
}

fn call() -> PeerMessage {
    let root = RootId(7);
    PeerMessage::Call(Box::new(CallHead {
        call: CallId(1),
        generation: Generation(3),
        service: "back".into(),
        context: CallContext {
            root,
            priority: Priority::new(PriorityClass::Normal, root),
            root_age: 5,
            tokens: 2,
            repeat: false,
            repeatable: true,
            expiry: Instant(9),
            objective_left: 4,
            depth: 1,
        },
        request: RequestDigest(11),
        method: "GET".into(),
        path: "/a/path?query".into(),
        headers: vec![field(), field()],
        has_body: true,
    }))
}

fn pace() -> ServerPace {
    ServerPace { time_percent: 1, age_ms: 2, work_ms: 3 }
}

fn turn() -> TurnReport {
    TurnReport { turn_in: 3, round: 4 }
}

fn notice() -> BackEndNotice {
    BackEndNotice {
        instance: Some(InstanceId::named("i")),
        rate: RequestRate::per_second(1.5),
        leaving: true,
    }
}

/// One message of each kind that holds more than a number.
fn handed_back() -> HandedBackCall {
    let PeerMessage::Call(head) = call() else { panic!("is a call") };
    let (name, tenant, instance) = ("r-1".into(), Some("north".into()), Some(InstanceId::named("i")));
    HandedBackCall { name, tenant, instance, context: head.context }
}

fn messages() -> Vec<PeerMessage> {
    let refusal = Refusal {
        outcome: Outcome::Unknown,
        reason: Reason::BackendCrashed,
        retry_after: 1,
        unspent_tokens: 1,
        crashes: 2,
        server: report(),
        turn: Some(turn()),
        pace: Some(pace()),
    };
    let head = AnswerHead {
        call: CallId(2),
        status: 200,
        headers: vec![field()],
        server: report(),
        chain_floor: None,
        turn: None,
        notice: Some(notice()),
        pace: Some(pace()),
        usage: vec![ServiceUsage { service: "s".into(), calls: 1, slot_ms: 2 }],
    };
    let pulse = Pulse {
        clock: Instant(1),
        generation: Generation(1),
        intake: CallIntake::FallbackOnly { left: 5 },
        server: report(),
        proof: Some(FreshnessProof { generation: Generation(1), at: Instant(2) }),
        turn: Some(turn()),
        notice: Some(notice()),
        farewell: Some(Farewell::Said),
        pace: Some(pace()),
        instance: Some(InstanceId::named("i")),
    };
    let hello = Hello {
        cluster: "c".into(),
        peer: address(),
        gossip: address(),
        incarnation: Incarnation(1),
        service: "s".into(),
        clock: Instant(5),
        additions: 1,
        handed_back: Some(notice()),
    };
    let request = ControlRequest::GetDepartures { member: address() };
    vec![
        PeerMessage::Hello(hello),
        PeerMessage::Pulse(pulse),
        call(),
        PeerMessage::RequestChunk { call: CallId(1), bytes: vec![3; 40] },
        PeerMessage::Suspects(vec![suspect(3)]),
        PeerMessage::Refused { call: CallId(1), refusal },
        PeerMessage::AnswerHead(Box::new(head)),
        PeerMessage::AnswerTail(AnswerTail { call: CallId(1), complete: true, unspent_tokens: 0 }),
        PeerMessage::ControlRequest { exchange: 1, request },
        PeerMessage::ControlReply { exchange: 1, reply: ControlReply::Departures(Vec::new()) },
        PeerMessage::RunningCalls(vec![handed_back()]),
    ]
}

fn datagrams() -> Vec<GossipMessage> {
    let bodies = [
        GossipBody::Ping { sequence: 5 },
        GossipBody::PingRequest { sequence: 5, target: address() },
        GossipBody::Suspects(vec![suspect(3), suspect(1)]),
    ];
    let message = |body| GossipMessage {
        from: address(),
        generation: Generation(9),
        roster_version: 2,
        body,
        news: Vec::new(),
    };
    bodies.into_iter().map(message).collect()
}

fn read_frames(bytes: &[u8]) -> Result<usize, WireError> {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("builds");
    runtime.block_on(async {
        let mut reader = FrameReader::new(bytes);
        let mut count = 0;
        while reader.next().await?.is_some() {
            count += 1;
        }
        Ok(count)
    })
}

/// Every copy of `bytes` with one byte changed, and every beginning of it.
fn each_change(bytes: &[u8], mut check: impl FnMut(&[u8])) {
    for position in 0..bytes.len() {
        check(&bytes[..position]);
        let mut changed = bytes.to_vec();
        for value in CHANGED_TO.into_iter().chain([!bytes[position]]) {
            changed[position] = value;
            check(&changed);
        }
    }
}

#[test]
fn a_frame_with_any_byte_changed_is_read_or_refused() {
    for message in messages() {
        let mut bytes = Vec::new();
        encode_frame(&message, &mut bytes).expect("encodes");
        assert!(matches!(read_frames(&bytes), Ok(1)), "{message:?}");
        each_change(&bytes, |changed| drop(read_frames(changed)));
    }
}

#[test]
fn a_datagram_with_any_byte_changed_is_decoded_or_refused() {
    for message in datagrams() {
        let bytes = encode_datagram(&message).expect("encodes");
        assert_eq!(decode_datagram(&bytes).expect("decodes"), message);
        each_change(&bytes, |changed| drop(decode_datagram(changed)));
    }
}

#[test]
fn the_largest_datagram_of_suspects_stays_bounded() {
    let reports = vec![suspect(MAX_MARKS as u64 + 5); SUSPECTS_PER_MESSAGE];
    let message = GossipMessage { body: GossipBody::Suspects(reports), ..datagrams().remove(0) };
    let bytes = encode_datagram(&message).expect("encodes");
    assert!(bytes.len() <= LARGEST_DATAGRAM, "{} bytes", bytes.len());
}

/// A list that says to be as long as a number can be.
#[test]
fn a_length_without_content_is_refused_before_its_memory_is_taken() {
    let mut bytes = Vec::new();
    encode_frame(&call(), &mut bytes).expect("encodes");
    let start = 4;
    for position in start..bytes.len() - 4 {
        let mut changed = bytes.clone();
        changed[position..position + 4].fill(0xff);
        // More memory than the machine has would end the test.
        drop(read_frames(&changed));
    }
}

proptest! {
    #[test]
    fn any_datagram_of_this_version_is_decoded_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut datagram = b"Sg".to_vec();
        datagram.extend_from_slice(&PROTOCOL_VERSION.to_le_bytes());
        datagram.extend_from_slice(&bytes);
        let _ = decode_datagram(&datagram);
    }
}
