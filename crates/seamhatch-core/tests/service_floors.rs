//! What a service admits by the reports of its servers.

use seamhatch_core::Instant;
use seamhatch_core::clock::SECOND;
use seamhatch_core::identity::Address;
use seamhatch_core::priority::AdmissionFloor;
use seamhatch_core::service_floor::ServiceFloorTable;

const NOW: Instant = Instant(100 * SECOND);
const OPEN: u16 = AdmissionFloor::OPEN.level;

/// A report: its level, its slots, and how long ago it came, in tenths of a second.
struct Told {
    level: u16,
    slots: u32,
    age: u64,
}

struct ServiceCase {
    name: &'static str,
    told: &'static [Told],
    level: Option<u16>,
}

/// The lowest floor of any server must not close the whole service: with it, two servers beside a cold and slow one
/// used a quarter of their slots for three seconds.
#[test]
fn one_server_under_pressure_does_not_close_its_service() {
    let cases = [
        ServiceCase { name: "nothing is known", told: &[], level: None },
        ServiceCase {
            name: "all are open",
            told: &[Told { level: OPEN, slots: 20, age: 0 }, Told { level: OPEN, slots: 20, age: 3 }],
            level: None,
        },
        ServiceCase {
            name: "one of three is closed",
            told: &[
                Told { level: 100, slots: 20, age: 0 },
                Told { level: OPEN, slots: 20, age: 1 },
                Told { level: OPEN, slots: 20, age: 2 },
            ],
            level: Some(375),
        },
        ServiceCase {
            name: "a small one is closed",
            told: &[Told { level: 100, slots: 5, age: 0 }, Told { level: 300, slots: 15, age: 1 }],
            level: Some(250),
        },
        ServiceCase {
            name: "all are closed alike",
            told: &[Told { level: 300, slots: 20, age: 0 }, Told { level: 300, slots: 10, age: 1 }],
            level: Some(300),
        },
        ServiceCase {
            name: "the closed one is gone",
            told: &[Told { level: 100, slots: 20, age: 11 }, Told { level: 400, slots: 20, age: 0 }],
            level: Some(400),
        },
    ];
    for case in cases {
        let mut floors = ServiceFloorTable::default();
        for (number, told) in case.told.iter().enumerate() {
            let server: Address = format!("10.0.0.{}:7002", number + 1).parse().expect("valid");
            let floor = AdmissionFloor::at(told.level);
            floors.note("stock", server, floor, told.slots, NOW.minus(told.age * SECOND / 10));
        }
        let floor = floors.of("stock", NOW);
        assert_eq!(floor.map(|floor| floor.level), case.level, "{}", case.name);
    }
}

/// A server that drains says that it is open, as nothing presses on it any more.
#[test]
fn a_server_that_leaves_counts_for_nothing_at_once() {
    let mut floors = ServiceFloorTable::default();
    let servers: [Address; 2] = ["10.0.0.1:7002", "10.0.0.2:7002"].map(|text| text.parse().expect("valid"));
    for (server, level) in servers.into_iter().zip([OPEN, 260]) {
        floors.note("stock", server, AdmissionFloor::at(level), 20, NOW);
    }
    floors.forget("stock", servers[0]);
    assert_eq!(floors.of("stock", NOW).map(|floor| floor.level), Some(260));
}
