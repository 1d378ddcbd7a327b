//! The JSON of what lies in the store, and every key of an operator's document with its default. What one release has
//! written must be readable by the next.

use seamhatch_core::claims::Epoch;
use seamhatch_core::crashes::{CondemnedRecord, InstanceDigest, SuspectRecord, SuspectReport};
use seamhatch_core::departure::DepartureRecord;
use seamhatch_core::generation::{Generation, SubmissionId};
use seamhatch_core::identity::{Address, Incarnation, RequestDigest};
use seamhatch_core::instance::InstanceId;
use seamhatch_core::roster::{Assignment, Roster, ShardRoster, WitnessId};
use seamhatch_policy::{Document, StoredConfiguration, SubmissionRecord};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The value as JSON, which must read back as the same value.
fn round_trip<T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug>(value: &T) -> String {
    let text = serde_json::to_string(value).expect("JSON");
    assert_eq!(&serde_json::from_str::<T>(&text).expect("reads back"), value);
    text
}

#[test]
fn records_in_the_store_keep_their_form() {
    let address: Address = "10.1.2.3:7002".parse().expect("valid");
    let submission = SubmissionRecord {
        id: SubmissionId(5),
        generation: Generation(6),
        author: "author".into(),
        accepted_at: 7,
    };
    let configuration = StoredConfiguration {
        generation: Generation(6),
        document: "document".into(),
        recent: vec![submission],
    };
    let witness = WitnessId { daemon: address, incarnation: Incarnation(3) };
    let assignment = |epoch| Assignment { epoch: Epoch(epoch), witnesses: vec![witness] };
    let shard = ShardRoster { current: assignment(2), previous: vec![assignment(1)] };
    let mut departures = DepartureRecord::default();
    departures.add(&InstanceId::named("i-1"));
    departures.add(&InstanceId { name: "i-2".into(), born: Some(13) });
    let mut suspect = SuspectRecord::new(RequestDigest(0x0a0b));
    suspect.add(InstanceDigest(0x0c0d), true);
    suspect.add(InstanceDigest(0x0e0f), false);
    let condemned = CondemnedRecord::new(&SuspectReport { record: suspect, age: 12_000 }, 1_000_012);
    let report = [
        ("configuration", round_trip(&configuration)),
        ("roster", round_trip(&Roster { version: 11, shards: vec![shard] })),
        ("departures", round_trip(&departures)),
        ("condemned request", round_trip(&condemned)),
    ];
    let lines = report.map(|(label, json)| format!("{label}: {json}\n"));
    insta::assert_snapshot!(lines.concat());
}

#[test]
fn documents_keep_their_keys_and_defaults() {
    let text = r#"
policy = "fn retries(request) { 1 }"
[services.desk]
[[routes]]
prefix = "/a"
service = "desk"
[[routes]]
prefix = "/b"
weighted = [{ service = "desk", weight = 3 }]
[[tenants]]
name = "north"
keys = ["k"]
[[samples]]
method = "GET"
path = "/a/1"
"#;
    let document = Document::parse(text).expect("valid");
    insta::assert_snapshot!(serde_json::to_string_pretty(&document).expect("JSON"));
}
