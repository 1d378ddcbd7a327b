//! Requests that the entry refuses on behalf of the services behind it.

use seamhatch_core::Instant;
use seamhatch_core::clock::{MILLISECOND, Microseconds, SECOND};
use seamhatch_core::entry_floor::EntryFloorTable;
use seamhatch_core::priority::{AdmissionFloor, Priority, PriorityClass};

const NOW: Instant = Instant(100 * SECOND);

/// Refuses everything but critical work.
const SHEDDING: AdmissionFloor = AdmissionFloor::at(128);
/// Later than the lifetime of any unconfirmed floor.
const LONG_AFTER: Instant = Instant(NOW.0 + 2200 * MILLISECOND);

fn met(service: &str) -> Option<(&str, AdmissionFloor)> {
    Some((service, SHEDDING))
}

fn bulk() -> Priority {
    Priority { class: PriorityClass::Bulk, bucket: 60 }
}

fn critical() -> Priority {
    Priority { class: PriorityClass::Critical, bucket: 60 }
}

/// Update that the entry gets after it learnt that `search` meets a floor of `captions`.
struct UpdateCase {
    name: &'static str,
    update: fn(&mut EntryFloorTable, Instant),
    admits_bulk_search: bool,
}

/// Guards against kinds that each have to discover a floor: a kind whose answers are slow and rare would be
/// admitted in the meantime and displace more important kinds whose answers confirm the floor.
#[test]
fn a_floor_applies_to_all_kinds_that_meet_its_service() {
    let cases = [
        UpdateCase { name: "nothing", update: |_, _| {}, admits_bulk_search: true },
        UpdateCase {
            name: "an answer of another kind",
            update: |floors, now| floors.learn("view", met("captions"), now),
            admits_bulk_search: false,
        },
        UpdateCase {
            name: "a heartbeat of the service",
            update: |floors, now| floors.learn_service("captions", SHEDDING, now),
            admits_bulk_search: false,
        },
        UpdateCase {
            name: "a heartbeat of a service that this kind never met",
            update: |floors, now| floors.learn_service("orders", SHEDDING, now),
            admits_bulk_search: true,
        },
        UpdateCase {
            name: "a heartbeat of the service, which is open again",
            update: |floors, now| floors.learn_service("captions", AdmissionFloor::OPEN, now),
            admits_bulk_search: true,
        },
    ];
    for case in cases {
        let mut floors = EntryFloorTable::default();
        floors.learn("search", met("captions"), NOW);
        assert!(!floors.admits("search", bulk(), NOW) && floors.admits("search", critical(), NOW));
        (case.update)(&mut floors, LONG_AFTER);
        assert_eq!(floors.admits("search", bulk(), LONG_AFTER), case.admits_bulk_search, "{}", case.name);
        assert!(floors.admits("other", bulk(), LONG_AFTER), "{}: a kind that met no floor", case.name);
    }
}

#[test]
fn a_kind_is_bound_by_each_service_that_it_met() {
    let mut floors = EntryFloorTable::default();
    floors.learn("search", met("captions"), NOW);
    floors.learn("search", met("rights"), NOW);
    floors.learn_service("captions", AdmissionFloor::OPEN, LONG_AFTER);
    floors.learn_service("rights", SHEDDING, LONG_AFTER);
    assert!(!floors.admits("search", bulk(), LONG_AFTER));
    floors.learn_service("rights", AdmissionFloor::OPEN, LONG_AFTER);
    let admits = floors.admits("search", bulk(), LONG_AFTER);
    assert!(!admits, "another server of the service may still report the lower one");
}

/// Guards against a return time taken from the gate beside the entry, mostly a tenth of a second, whatever
/// the duration of the overload of the service below.
#[test]
fn the_return_time_is_the_duration_of_the_overload_so_far() {
    /// Answers take 100 ms, and jitter adds up to half of the return time.
    struct ReturnCase {
        name: &'static str,
        closed_for: Microseconds,
        objective: Microseconds,
        between: std::ops::Range<Microseconds>,
    }
    let cases = [
        ReturnCase { name: "just now", closed_for: 0, objective: u64::MAX, between: 200_000..201_000 },
        ReturnCase {
            name: "for a while",
            closed_for: 600 * MILLISECOND,
            objective: u64::MAX,
            between: 600_000..1_500_000,
        },
        ReturnCase {
            name: "for long",
            closed_for: 2 * SECOND,
            objective: u64::MAX,
            between: 1_999_999..2_000_001,
        },
        ReturnCase {
            name: "longer than the caller may stay away for an answer on time",
            closed_for: 600 * MILLISECOND,
            objective: 700_000,
            between: 400_000..400_001,
        },
        ReturnCase {
            name: "late whenever the caller returns",
            closed_for: 600 * MILLISECOND,
            objective: 399_000,
            between: 600_000..1_500_000,
        },
    ];
    for case in cases {
        let mut floors = EntryFloorTable::default();
        let mut now = NOW;
        floors.learn("search", met("captions"), now);
        floors.learn_answer_time("search", 100_000);
        while now < NOW.plus(case.closed_for) {
            now = now.plus(50 * MILLISECOND);
            floors.learn_service("captions", SHEDDING, now);
        }
        let after = floors.return_after("search", bulk(), case.objective, now);
        assert!(case.between.contains(&after), "{}: {after} microseconds", case.name);
    }
}
