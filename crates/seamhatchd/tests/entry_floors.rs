//! The floors at the entry as the threads of a daemon share them. Their cases: `seamhatch-core/tests/entry_floors.rs`.

use seamhatch_core::priority::{AdmissionFloor, Priority, PriorityClass};
use seamhatch_wire::ChainFloor;
use seamhatchd::limits::entry_floors::EntryFloors;

/// Refuses everything but critical work.
const SHEDDING: AdmissionFloor = AdmissionFloor::at(128);

#[test]
fn a_floor_that_one_thread_learns_refuses_requests_of_another() {
    let floors = EntryFloors::default();
    let bulk = Priority { class: PriorityClass::Bulk, bucket: 60 };
    let critical = Priority { class: PriorityClass::Critical, bucket: 60 };
    assert!(floors.admits("search", bulk));
    std::thread::scope(|scope| {
        scope.spawn(|| floors.learn("search", ChainFloor::unless_open("captions", SHEDDING).as_ref()));
    });
    assert!(!floors.admits("search", bulk) && floors.admits("search", critical));
    let after = floors.return_after("search", bulk, u64::MAX);
    assert!((200_000..2_000_001).contains(&after), "{after} microseconds");
    floors.learn("search", None);
    assert!(!floors.admits("search", bulk), "another server of the service may still report the lower one");
}
