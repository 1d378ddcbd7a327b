//! Floor of a service by the reports of its servers.

use proptest::collection::vec;
use proptest::prelude::*;
use seamhatch_core::Instant;
use seamhatch_core::clock::{MILLISECOND, SECOND};
use seamhatch_core::identity::Address;
use seamhatch_core::priority::{AdmissionFloor, PriorityClass};
use seamhatch_core::service_floor::ServiceFloorTable;
use std::collections::HashMap;

const NOW: Instant = Instant(100 * SECOND);
const OPEN: u16 = AdmissionFloor::OPEN.level;

/// Report of a server: level, slots, and age in tenths of a second.
struct Report {
    level: u16,
    slots: u32,
    age: u64,
}

struct ServiceCase {
    name: &'static str,
    reports: &'static [Report],
    level: Option<u16>,
}

/// Guards against a service that is closed by the lowest floor of any server: two servers beside a cold and
/// slow one would then use a quarter of their slots for three seconds.
#[test]
fn one_overloaded_server_does_not_close_its_service() {
    let cases = [
        ServiceCase { name: "nothing is known", reports: &[], level: None },
        ServiceCase {
            name: "all are open",
            reports: &[Report { level: OPEN, slots: 20, age: 0 }, Report { level: OPEN, slots: 20, age: 3 }],
            level: None,
        },
        ServiceCase {
            name: "one of three is closed",
            reports: &[
                Report { level: 100, slots: 20, age: 0 },
                Report { level: OPEN, slots: 20, age: 1 },
                Report { level: OPEN, slots: 20, age: 2 },
            ],
            level: Some(375),
        },
        ServiceCase {
            name: "a small one is closed",
            reports: &[Report { level: 100, slots: 5, age: 0 }, Report { level: 300, slots: 15, age: 1 }],
            level: Some(250),
        },
        ServiceCase {
            name: "all are closed alike",
            reports: &[Report { level: 300, slots: 20, age: 0 }, Report { level: 300, slots: 10, age: 1 }],
            level: Some(300),
        },
        ServiceCase {
            name: "the closed one is gone",
            reports: &[Report { level: 100, slots: 20, age: 11 }, Report { level: 400, slots: 20, age: 0 }],
            level: Some(400),
        },
    ];
    for case in cases {
        let mut floors = ServiceFloorTable::default();
        for (number, report) in case.reports.iter().enumerate() {
            let server: Address = format!("10.0.0.{}:7002", number + 1).parse().expect("valid");
            let floor = AdmissionFloor::at(report.level);
            floors.record("stock", server, floor, report.slots, NOW.minus(report.age * SECOND / 10));
        }
        let floor = floors.floor("stock", NOW);
        assert_eq!(floor.map(|floor| floor.level), case.level, "{}", case.name);
    }
}

/// Guards against counting a draining server, which reports that it is open because it has no load any more.
#[test]
fn a_server_that_leaves_is_ignored_at_once() {
    let mut floors = ServiceFloorTable::default();
    let servers: [Address; 2] = ["10.0.0.1:7002", "10.0.0.2:7002"].map(|text| text.parse().expect("valid"));
    for (server, level) in servers.into_iter().zip([OPEN, 260]) {
        floors.record("stock", server, AdmissionFloor::at(level), 20, NOW);
    }
    floors.forget("stock", servers[0]);
    assert_eq!(floors.floor("stock", NOW).map(|floor| floor.level), Some(260));
}

/// Reference implementation without sums: the mean over all reports, computed for each report.
#[derive(Default)]
struct MeanOfAll(HashMap<Address, (AdmissionFloor, u32, Instant)>);

impl MeanOfAll {
    fn note(&mut self, server: Address, floor: AdmissionFloor, slots: u32, now: Instant) -> AdmissionFloor {
        self.0.insert(server, (floor, slots, now));
        self.0.retain(|_, (_, _, reported)| now.since(*reported) <= SECOND);
        self.mean(now)
    }

    fn mean(&self, now: Instant) -> AdmissionFloor {
        let fresh = self.0.values().filter(|(_, _, reported)| now.since(*reported) <= SECOND);
        AdmissionFloor::mean(fresh.map(|(floor, slots, _)| (*floor, *slots))).unwrap_or(AdmissionFloor::OPEN)
    }
}

/// Events of the table.
#[derive(Debug, Clone)]
enum Event {
    Report { server: u8, level: u16, kept: u8, slots: u32 },
    Leaves { server: u8 },
    Passes { milliseconds: u64 },
}

fn event() -> impl Strategy<Value = Event> {
    let slots = prop_oneof![Just(0), 1..40u32, Just(u32::MAX)];
    prop_oneof![
        6 => (0..5u8, 0..=OPEN + 1, any::<u8>(), slots)
            .prop_map(|(server, level, kept, slots)| Event::Report { server, level, kept, slots }),
        1 => (0..5u8).prop_map(|server| Event::Leaves { server }),
        3 => (0..600u64).prop_map(|milliseconds| Event::Passes { milliseconds }),
    ]
}

proptest! {
    /// Sums that drift from the reports would shed requests that the servers admit, or the other way round.
    #[test]
    fn sums_give_the_mean_of_all_fresh_reports(events in vec(event(), 0..80)) {
        let mut floors = ServiceFloorTable::default();
        let mut expected = MeanOfAll::default();
        let mut now = NOW;
        for event in events {
            match event {
                Event::Report { server, level, kept, slots } => {
                    let floor = AdmissionFloor { kept: [kept; PriorityClass::ALL.len()], ..AdmissionFloor::at(level) };
                    let server = address(server);
                    let noted = floors.record("stock", server, floor, slots, now);
                    prop_assert_eq!(noted, expected.note(server, floor, slots, now));
                }
                Event::Leaves { server } => {
                    floors.forget("stock", address(server));
                    expected.0.remove(&address(server));
                }
                Event::Passes { milliseconds } => now = now.plus(milliseconds * MILLISECOND),
            }
            let mean = expected.mean(now);
            prop_assert_eq!(floors.floor("stock", now), (!mean.is_open()).then_some(mean));
        }
    }
}

fn address(number: u8) -> Address {
    format!("10.0.0.{number}:7002").parse().expect("valid")
}
