//! What the entry refuses on behalf of the services behind it.

use seamhatch_core::priority::{AdmissionFloor, Priority, PriorityClass};
use seamhatch_wire::ChainFloor;
use seamhatchd::filters::EntryFloors;
use std::time::Duration;

/// Refuses everything but critical work.
const SHEDDING: AdmissionFloor = AdmissionFloor::at(128);
/// Longer than any floor counts without being confirmed.
const LONG_AFTER: Duration = Duration::from_millis(2200);

fn told(service: &str) -> ChainFloor {
    ChainFloor::unless_open(service, SHEDDING).expect("is not open")
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
    news: fn(&EntryFloors),
    admits_bulk_search: bool,
}

/// Without it, each kind finds out by itself: one whose answers are slow and rare is let through in the
/// meantime, and takes the place of more important kinds whose answers confirm the floor.
#[test]
fn a_floor_is_known_to_all_kinds_that_meet_its_service() {
    let cases = [
        NewsCase { name: "nothing", news: |_| {}, admits_bulk_search: true },
        NewsCase {
            name: "an answer of another kind",
            news: |floors| floors.learn("view", Some(&told("captions"))),
            admits_bulk_search: false,
        },
        NewsCase {
            name: "a heartbeat of the service",
            news: |floors| floors.learn_service("captions", SHEDDING),
            admits_bulk_search: false,
        },
        NewsCase {
            name: "a heartbeat of a service that this kind never met",
            news: |floors| floors.learn_service("orders", SHEDDING),
            admits_bulk_search: true,
        },
        NewsCase {
            name: "a heartbeat of the service, which is open again",
            news: |floors| floors.learn_service("captions", AdmissionFloor::OPEN),
            admits_bulk_search: true,
        },
    ];
    let tables = cases.map(|case| {
        let floors = EntryFloors::default();
        floors.learn("search", Some(&told("captions")));
        assert!(!floors.admits("search", bulk()) && floors.admits("search", critical()));
        (case, floors)
    });
    std::thread::sleep(LONG_AFTER);
    for (case, floors) in tables {
        (case.news)(&floors);
        assert_eq!(floors.admits("search", bulk()), case.admits_bulk_search, "{}", case.name);
        assert!(floors.admits("other", bulk()), "{}: a kind that met no floor", case.name);
    }
}

#[test]
fn a_kind_is_bound_by_each_service_that_it_met() {
    let floors = EntryFloors::default();
    floors.learn("search", Some(&told("captions")));
    floors.learn("search", Some(&told("rights")));
    std::thread::sleep(LONG_AFTER);
    floors.learn_service("captions", AdmissionFloor::OPEN);
    floors.learn_service("rights", SHEDDING);
    assert!(!floors.admits("search", bulk()));
    floors.learn_service("rights", AdmissionFloor::OPEN);
    assert!(!floors.admits("search", bulk()), "another server of the service may still tell the lower one");
}

/// The time to come back was that of the gate beside the entry, mostly a tenth of a second, whatever the
/// service below had gone through.
#[test]
fn who_is_refused_comes_back_after_as_long_as_the_overload_has_lasted() {
    /// Answers take 100 ms, and up to half of the time told is added at random.
    struct ReturnCase {
        name: &'static str,
        closed_for: Duration,
        objective: u64,
        between: std::ops::Range<u64>,
    }
    let cases = [
        ReturnCase {
            name: "just now",
            closed_for: Duration::ZERO,
            objective: u64::MAX,
            between: 200_000..201_000,
        },
        ReturnCase {
            name: "for a while",
            closed_for: Duration::from_millis(600),
            objective: u64::MAX,
            between: 600_000..1_500_000,
        },
        ReturnCase {
            name: "for long",
            closed_for: Duration::from_secs(2),
            objective: u64::MAX,
            between: 1_999_999..2_000_001,
        },
        ReturnCase {
            name: "for longer than it may stay away to be answered early",
            closed_for: Duration::from_millis(600),
            objective: 700_000,
            between: 400_000..400_001,
        },
        ReturnCase {
            name: "too late to be answered early whenever it comes",
            closed_for: Duration::from_millis(600),
            objective: 399_000,
            between: 600_000..1_500_000,
        },
    ];
    for case in cases {
        let floors = EntryFloors::default();
        let started = std::time::Instant::now();
        floors.learn("search", Some(&told("captions")));
        floors.learn_answer_time("search", 100_000);
        while started.elapsed() < case.closed_for {
            std::thread::sleep(Duration::from_millis(50));
            floors.learn_service("captions", SHEDDING);
        }
        let after = floors.return_after("search", bulk(), case.objective);
        assert!(case.between.contains(&after), "{}: {after} microseconds", case.name);
    }
}
