//! What the entry refuses on behalf of the services behind it.

use seamhatch_core::Instant;
use seamhatch_core::clock::{MILLISECOND, Microseconds, SECOND};
use seamhatch_core::entry_floor::EntryFloorTable;
use seamhatch_core::priority::{AdmissionFloor, Priority, PriorityClass};

const NOW: Instant = Instant(100 * SECOND);

/// Refuses everything but critical work.
const SHEDDING: AdmissionFloor = AdmissionFloor::at(128);
/// Longer than any floor counts without being confirmed.
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

/// What the entry hears after it learnt that `search` meets a floor of `captions`.
struct NewsCase {
    name: &'static str,
    news: fn(&mut EntryFloorTable, Instant),
    admits_bulk_search: bool,
}

/// Without it, each kind finds out by itself: one whose answers are slow and rare is let through in the
/// meantime, and takes the place of more important kinds whose answers confirm the floor.
#[test]
fn a_floor_is_known_to_all_kinds_that_meet_its_service() {
    let cases = [
        NewsCase { name: "nothing", news: |_, _| {}, admits_bulk_search: true },
        NewsCase {
            name: "an answer of another kind",
            news: |floors, now| floors.learn("view", met("captions"), now),
            admits_bulk_search: false,
        },
        NewsCase {
            name: "a heartbeat of the service",
            news: |floors, now| floors.learn_service("captions", SHEDDING, now),
            admits_bulk_search: false,
        },
        NewsCase {
            name: "a heartbeat of a service that this kind never met",
            news: |floors, now| floors.learn_service("orders", SHEDDING, now),
            admits_bulk_search: true,
        },
        NewsCase {
            name: "a heartbeat of the service, which is open again",
            news: |floors, now| floors.learn_service("captions", AdmissionFloor::OPEN, now),
            admits_bulk_search: true,
        },
    ];
    for case in cases {
        let mut floors = EntryFloorTable::default();
        floors.learn("search", met("captions"), NOW);
        assert!(!floors.admits("search", bulk(), NOW) && floors.admits("search", critical(), NOW));
        (case.news)(&mut floors, LONG_AFTER);
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

/// The time to come back was that of the gate beside the entry, mostly a tenth of a second, whatever the
/// service below had gone through.
#[test]
fn who_is_refused_comes_back_after_as_long_as_the_overload_has_lasted() {
    /// Answers take 100 ms, and up to half of the time told is added at random.
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
            name: "for longer than it may stay away to be answered early",
            closed_for: 600 * MILLISECOND,
            objective: 700_000,
            between: 400_000..400_001,
        },
        ReturnCase {
            name: "too late to be answered early whenever it comes",
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
