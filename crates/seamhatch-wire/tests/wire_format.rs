//! The bytes of every message between daemons. Daemons of two releases run side by side during an upgrade, so a
//! change here needs a new `PROTOCOL_VERSION`, whatever the types are called in Rust; a field that is added at the end of a message, and that
//! either release may lack, raises `ADDITIONS` instead.

use seamhatch_core::Instant;
use seamhatch_core::balance::{ServerPace, TurnReport};
use seamhatch_core::chain_cost::ServiceUsage;
use seamhatch_core::claims::{Claim, ClaimHolder, ClaimKey, ClaimReply, Epoch};
use seamhatch_core::crashes::{InstanceDigest, SuspectRecord, SuspectReport};
use seamhatch_core::freshness::FreshnessProof;
use seamhatch_core::generation::{Generation, SubmissionId};
use seamhatch_core::identity::{Address, CallId, Fingerprint, Incarnation, RequestDigest, RootId};
use seamhatch_core::instance::InstanceId;
use seamhatch_core::membership::{GossipBody, GossipMessage, Lifecycle, Liveness, MemberInfo, MemberRecord};
use seamhatch_core::notice::BackEndNotice;
use seamhatch_core::outcome::{Outcome, Reason};
use seamhatch_core::priority::{AdmissionFloor, Priority, PriorityClass};
use seamhatch_core::rate::RequestRate;
use seamhatch_core::roster::{Assignment, Roster, ShardRoster, WitnessId};
use seamhatch_policy::{StoredConfiguration, SubmissionRecord};
use seamhatch_wire::{
    AnswerHead, AnswerTail, CallContext, CallHead, CallIntake, ChainFloor, ControlReply, ControlRequest,
    HandedBackCall, HeaderField, Hello, PROTOCOL_VERSION, PeerMessage, Pulse, RecordedAnswer, RecordedState,
    Refusal, SealedMemory, ServerReport, encode_datagram, encode_frame, write_preface,
};
use speedy::{Readable, Writable};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// One line a message: its label, and its bytes.
fn report<T>(messages: Vec<(&str, T)>, encode: impl Fn(&T) -> Vec<u8>) -> String {
    messages.iter().map(|(label, message)| format!("{label}: {}\n", hex(&encode(message)))).collect()
}

fn v4() -> Address {
    "10.1.2.3:7002".parse().expect("valid")
}

fn v6() -> Address {
    "[fd00::1]:7003".parse().expect("valid")
}

fn floor() -> AdmissionFloor {
    AdmissionFloor { level: 300, kept: [1, 2, 3, 4] }
}

fn server() -> ServerReport {
    ServerReport { load: 7, limit: 9, floor: floor() }
}

fn usage() -> ServiceUsage {
    ServiceUsage { service: "desk".into(), calls: 40, slot_ms: 41 }
}

fn claim() -> Claim {
    Claim { key: ClaimKey(0x0102), request: Fingerprint(0x0304), holder: holder() }
}

fn holder() -> ClaimHolder {
    ClaimHolder { daemon: v4(), incarnation: Incarnation(0x0506), attempt: 0x0708 }
}

fn stored() -> StoredConfiguration {
    let record = SubmissionRecord {
        id: SubmissionId(5),
        generation: Generation(6),
        author: "author".into(),
        accepted_at: 7,
    };
    StoredConfiguration { generation: Generation(6), document: "document".into(), recent: vec![record] }
}

fn roster() -> Roster {
    let assignment = |epoch| Assignment {
        epoch: Epoch(epoch),
        witnesses: vec![WitnessId { daemon: v4(), incarnation: Incarnation(3) }],
    };
    Roster {
        version: 11,
        shards: vec![ShardRoster { current: assignment(2), previous: vec![assignment(1)] }],
    }
}

fn suspects() -> Vec<SuspectReport> {
    let mut record = SuspectRecord::new(RequestDigest(0x0a0b));
    record.add(InstanceDigest(0x0c0d), true);
    record.add(InstanceDigest(0x0e0f), false);
    vec![SuspectReport { record, age: 12 }]
}

fn instances() -> Vec<InstanceId> {
    vec![InstanceId::named("i-1"), InstanceId { name: "i-2".into(), born: Some(13) }]
}

fn fields() -> Vec<HeaderField> {
    vec![HeaderField { name: "x-name".into(), value: b"value".to_vec() }]
}

fn pulse(intake: CallIntake, proof: Option<FreshnessProof>) -> PeerMessage {
    PeerMessage::Pulse(Pulse {
        clock: Instant(14),
        generation: Generation(15),
        intake,
        server: server(),
        proof,
        turn: None,
        notice: None,
        farewell: None,
        pace: None,
        instance: None,
    })
}

fn pace() -> ServerPace {
    ServerPace { time_percent: 62, age_ms: 63, work_ms: 64 }
}

fn turn() -> TurnReport {
    TurnReport { turn_in: 58, round: 59 }
}

fn notice() -> BackEndNotice {
    BackEndNotice {
        instance: Some(InstanceId::named("i")),
        rate: RequestRate::per_second(1.5),
        leaving: true,
    }
}

fn context() -> CallContext {
    CallContext {
        root: RootId(0x1213),
        priority: Priority { class: PriorityClass::Bulk, bucket: 17 },
        root_age: 18,
        tokens: 19,
        repeat: true,
        repeatable: false,
        expiry: Instant(20),
        objective_left: 21,
        depth: 22,
    }
}

fn call_messages() -> Vec<(&'static str, PeerMessage)> {
    let call = CallId(0x1011);
    let head = CallHead {
        call,
        generation: Generation(23),
        service: "desk".into(),
        context: context(),
        request: RequestDigest(24),
        method: "PUT".into(),
        path: "/a?b".into(),
        headers: fields(),
        has_body: true,
    };
    let refusal = Refusal {
        outcome: Outcome::NotRun,
        reason: Reason::QueueFull,
        retry_after: 25,
        unspent_tokens: 26,
        crashes: 27,
        server: server(),
        turn: Some(turn()),
        pace: Some(pace()),
    };
    let answer = AnswerHead {
        call,
        status: 207,
        headers: fields(),
        server: server(),
        chain_floor: Some(ChainFloor { floor: floor(), service: "desk".into() }),
        turn: Some(turn()),
        notice: Some(notice()),
        pace: Some(pace()),
        usage: vec![usage()],
    };
    vec![
        ("call", PeerMessage::Call(Box::new(head))),
        ("request chunk", PeerMessage::RequestChunk { call, bytes: vec![1, 2] }),
        ("request end", PeerMessage::RequestEnd { call }),
        ("cancel", PeerMessage::Cancel { call }),
        ("suspects", PeerMessage::Suspects(suspects())),
        ("refused", PeerMessage::Refused { call, refusal }),
        ("answer head", PeerMessage::AnswerHead(Box::new(answer))),
        ("answer chunk", PeerMessage::AnswerChunk { call, bytes: vec![3] }),
        ("answer tail", PeerMessage::AnswerTail(AnswerTail { call, complete: true, unspent_tokens: 28 })),
        ("credit", PeerMessage::Credit { call, bytes: 29 }),
    ]
}

fn link_messages() -> Vec<(&'static str, PeerMessage)> {
    let hello = Hello {
        cluster: "cluster".into(),
        peer: v4(),
        gossip: v6(),
        incarnation: Incarnation(30),
        service: "desk".into(),
        clock: Instant(31),
        additions: 1,
        handed_back: Some(notice()),
    };
    let proof = FreshnessProof { generation: Generation(32), at: Instant(33) };
    let running = HandedBackCall {
        name: "name".into(),
        tenant: Some("north".into()),
        instance: Some(InstanceId::named("i")),
        context: context(),
    };
    vec![
        ("hello", PeerMessage::Hello(hello)),
        ("pulse, open", pulse(CallIntake::Open, None)),
        ("pulse, about to stop", pulse(CallIntake::FallbackOnly { left: 34 }, Some(proof))),
        ("pulse, closed", pulse(CallIntake::Closed, None)),
        ("running calls", PeerMessage::RunningCalls(vec![running])),
    ]
}

fn claim_messages() -> Vec<(&'static str, PeerMessage)> {
    let (exchange, shard, epoch) = (35, 36, Epoch(37));
    let reply = |reply| PeerMessage::ClaimReply { exchange, reply };
    vec![
        ("claim", PeerMessage::Claim { exchange, shard, epoch, claim: claim() }),
        ("claim granted", reply(ClaimReply::Granted)),
        ("claim held", reply(ClaimReply::Held(claim()))),
        ("claim not serving", reply(ClaimReply::NotServing { epoch })),
        ("release", PeerMessage::ReleaseClaim { shard, epoch, key: ClaimKey(38), holder: holder() }),
    ]
}

fn recorded_answer() -> RecordedAnswer {
    RecordedAnswer { status: 200, headers: fields(), body: vec![4, 5] }
}

fn sealed_memory() -> SealedMemory {
    let witness = WitnessId { daemon: v4(), incarnation: Incarnation(60) };
    SealedMemory { shard: 61, witness, claims: vec![claim()], held: Some(stored()) }
}

fn control_requests() -> Vec<(&'static str, ControlRequest)> {
    let (have, epoch, shard) = (Generation(39), Epoch(40), 41);
    vec![
        ("get configuration", ControlRequest::GetConfiguration { have }),
        ("put configuration", ControlRequest::PutConfiguration(stored())),
        ("hold configuration", ControlRequest::HoldConfiguration { epoch, stored: stored() }),
        ("get held", ControlRequest::GetHeld { epoch, have }),
        ("put roster", ControlRequest::PutRoster(roster())),
        ("get roster", ControlRequest::GetRoster),
        ("witness status", ControlRequest::WitnessStatus { shard }),
        ("seal", ControlRequest::Seal { shard, epoch }),
        ("install", ControlRequest::Install { shard, epoch, claims: vec![claim()], held: Some(stored()) }),
        (
            "remember departure",
            ControlRequest::RememberDeparture { member: v4(), instance: instances()[1].clone() },
        ),
        ("get departures", ControlRequest::GetDepartures { member: v4() }),
        ("get tokens", ControlRequest::GetTokens { shard: 42, tenant: "north".into(), wanted: 43 }),
        ("get recorded", ControlRequest::GetRecorded { key: ClaimKey(44), holder: holder() }),
        ("hold sealed", ControlRequest::HoldSealed(sealed_memory())),
        (
            "hold recorded",
            ControlRequest::HoldRecorded { key: ClaimKey(44), holder: holder(), answer: recorded_answer() },
        ),
        ("get sealed", ControlRequest::GetSealed { shard, witness: sealed_memory().witness }),
    ]
}

fn control_replies() -> Vec<(&'static str, ControlReply)> {
    let answer = recorded_answer();
    let recorded = ControlReply::Recorded;
    vec![
        ("done", ControlReply::Done),
        ("declined", ControlReply::Declined),
        ("generation", ControlReply::Generation(Generation(45))),
        ("configuration", ControlReply::Configuration(stored())),
        ("roster", ControlReply::Roster(roster())),
        ("serving", ControlReply::Serving(Epoch(46))),
        ("sealed", ControlReply::Sealed { claims: vec![claim()], held: None }),
        ("recorded, answered", recorded(RecordedState::Answered(answer))),
        ("recorded, undecided", recorded(RecordedState::Undecided)),
        ("recorded, given up", recorded(RecordedState::GivenUp)),
        ("recorded, forgotten", recorded(RecordedState::Forgotten)),
        ("tokens", ControlReply::Tokens { tokens: 47, pause: 48 }),
        ("departures", ControlReply::Departures(instances())),
    ]
}

fn gossip_messages() -> Vec<(&'static str, GossipMessage)> {
    let info = MemberInfo {
        gossip: v4(),
        peer: v6(),
        admin: v4(),
        region: "r".into(),
        zone: "z".into(),
        service: "s".into(),
        slots: 49,
        quota_shards: 50,
    };
    let record = |lifecycle, liveness| MemberRecord {
        info: info.clone(),
        incarnation: Incarnation(51),
        revision: 52,
        lifecycle,
        liveness,
        leaving: true,
    };
    let message =
        |body, news| GossipMessage { from: v4(), generation: Generation(53), roster_version: 54, body, news };
    let news = vec![
        record(Lifecycle::Joining, Liveness::Alive),
        record(Lifecycle::Ready, Liveness::Suspect),
        record(Lifecycle::Draining, Liveness::Dead),
        record(Lifecycle::Left, Liveness::Alive),
    ];
    let sequence = 55;
    vec![
        ("ping", message(GossipBody::Ping { sequence }, vec![])),
        ("ack", message(GossipBody::Ack { sequence }, vec![])),
        ("ping request", message(GossipBody::PingRequest { sequence, target: v6() }, vec![])),
        ("sync request", message(GossipBody::SyncRequest { digest: 56 }, vec![])),
        ("sync page", message(GossipBody::SyncPage, news)),
        ("news", message(GossipBody::News, vec![])),
        ("suspects", message(GossipBody::Suspects(suspects()), vec![])),
    ]
}

/// In the order of their numbers on the wire.
const REASONS: [Reason; 34] = [
    Reason::BadRequest,
    Reason::NoRoute,
    Reason::BadContext,
    Reason::NotReady,
    Reason::Draining,
    Reason::AdmissionFloor,
    Reason::QueueFull,
    Reason::Evicted,
    Reason::DeadlineExceeded,
    Reason::Cancelled,
    Reason::NoServer,
    Reason::RetriesExhausted,
    Reason::RetryRatio,
    Reason::NoClaimMajority,
    Reason::KeyHeld,
    Reason::KeyMismatch,
    Reason::PeerLost,
    Reason::BackendUnreachable,
    Reason::BackendFailed,
    Reason::BackendCrashed,
    Reason::BackendRefused,
    Reason::NoInstance,
    Reason::OtherInstance,
    Reason::HeadTooLarge,
    Reason::BodyTooLarge,
    Reason::CrashesServers,
    Reason::OtherService,
    Reason::NoKey,
    Reason::UnknownKey,
    Reason::NoProof,
    Reason::OverQuota,
    Reason::NoQuotaShard,
    Reason::BackendRate,
    Reason::ParentUnknown,
];

#[test]
fn messages_between_daemons_keep_their_bytes() {
    let messages = [link_messages(), call_messages(), claim_messages()].concat();
    insta::assert_snapshot!(report(messages, |message| {
        let mut bytes = Vec::new();
        encode_frame(message, &mut bytes).expect("encodes");
        bytes
    }));
}

/// Bytes that a message of this kind ends with, which earlier releases neither send nor read.
struct AdditionCase {
    name: &'static str,
    message: PeerMessage,
    added: usize,
    /// Bytes of the last addition.
    last: usize,
}

/// Guards against daemons of two releases that end each other's connections during an upgrade.
#[test]
fn what_was_added_to_a_message_may_be_missing_or_longer() {
    let added_to_hello = PeerMessage::Hello(Hello {
        cluster: "cluster".into(),
        peer: v4(),
        gossip: v6(),
        incarnation: Incarnation(30),
        service: "desk".into(),
        clock: Instant(31),
        additions: 0,
        handed_back: None,
    });
    let head = AnswerHead {
        call: CallId(1),
        status: 200,
        headers: fields(),
        server: server(),
        chain_floor: None,
        turn: None,
        notice: None,
        pace: None,
        usage: Vec::new(),
    };
    let refusal = Refusal {
        outcome: Outcome::NotRun,
        reason: Reason::QueueFull,
        retry_after: 25,
        unspent_tokens: 26,
        crashes: 27,
        server: server(),
        turn: None,
        pace: None,
    };
    let cases = [
        AdditionCase { name: "hello", message: added_to_hello, added: 3, last: 1 },
        AdditionCase { name: "pulse", message: pulse(CallIntake::Open, None), added: 5, last: 1 },
        AdditionCase {
            name: "answer head",
            message: PeerMessage::AnswerHead(Box::new(head)),
            added: 7,
            last: 4,
        },
        AdditionCase {
            name: "refused",
            message: PeerMessage::Refused { call: CallId(1), refusal },
            added: 2,
            last: 1,
        },
    ];
    for AdditionCase { name, message, added, last } in cases {
        let mut bytes = message.write_to_vec().expect("encodes");
        // Without all additions, and without the last one only.
        for missing in [added, last] {
            let earlier = &bytes[..bytes.len() - missing];
            assert_eq!(
                PeerMessage::read_from_buffer(earlier).expect(name),
                message,
                "{name}: sent by an earlier release, without {missing} bytes"
            );
        }
        bytes.extend([7; 5]);
        assert_eq!(
            PeerMessage::read_from_buffer(&bytes).expect(name),
            message,
            "{name}: sent by a later one"
        );
    }
}

#[test]
fn control_messages_keep_their_bytes() {
    let exchange = 57;
    let requests = control_requests().into_iter();
    let requests = requests
        .map(|(label, request)| (label, PeerMessage::ControlRequest { exchange, request }))
        .collect::<Vec<_>>();
    let replies = control_replies().into_iter();
    let replies =
        replies.map(|(label, reply)| (label, PeerMessage::ControlReply { exchange, reply })).collect();
    let encode = |message: &PeerMessage| message.write_to_vec().expect("encodes");
    insta::assert_snapshot!(format!("{}\n{}", report(requests, encode), report(replies, encode)));
}

#[test]
fn datagrams_keep_their_bytes() {
    insta::assert_snapshot!(report(gossip_messages(), |message| encode_datagram(message).expect("encodes")));
}

#[test]
fn reasons_and_outcomes_keep_their_names_and_numbers() {
    let mut text = String::new();
    for reason in REASONS {
        let bytes = hex(&reason.write_to_vec().expect("encodes"));
        let json = serde_json::to_string(&reason).expect("JSON");
        text.push_str(&format!("{bytes} {json} {reason}\n"));
    }
    for outcome in [Outcome::Answered, Outcome::NotRun, Outcome::Unknown, Outcome::Duplicate] {
        let bytes = hex(&outcome.write_to_vec().expect("encodes"));
        let json = serde_json::to_string(&outcome).expect("JSON");
        text.push_str(&format!("{bytes} {json} {}\n", outcome.name()));
    }
    for class in PriorityClass::ALL {
        let bytes = hex(&class.write_to_vec().expect("encodes"));
        let json = serde_json::to_string(&class).expect("JSON");
        text.push_str(&format!("{bytes} {json} {class}\n"));
    }
    insta::assert_snapshot!(text);
}

#[tokio::test]
async fn the_preface_names_the_protocol_version() {
    let mut bytes = Vec::new();
    write_preface(&mut bytes).await.expect("writes");
    assert_eq!((PROTOCOL_VERSION, hex(&bytes)), (8, "5365616d68740800".to_owned()));
}
