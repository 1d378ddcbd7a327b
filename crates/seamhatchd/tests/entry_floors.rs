//! Sharing of the entry floors between the threads of a daemon. `seamhatch-core/tests/entry_floors.rs` tests the floors themselves.

use seamhatch_core::priority::{AdmissionFloor, Priority, PriorityClass};
use seamhatch_wire::ChainFloor;
use seamhatchd::limits::entry_floors::EntryFloors;

/// Admits only critical requests.
const CRITICAL_ONLY: AdmissionFloor = AdmissionFloor::at(128);

#[test]
fn a_floor_that_one_thread_learns_applies_to_requests_of_other_threads() {
    let floors = EntryFloors::default();
    let bulk = Priority { class: PriorityClass::Bulk, bucket: 60 };
    let critical = Priority { class: PriorityClass::Critical, bucket: 60 };
    assert!(floors.admits("search", bulk));
    std::thread::scope(|scope| {
        scope.spawn(|| floors.learn("search", ChainFloor::unless_open("captions", CRITICAL_ONLY).as_ref()));
    });
    assert!(!floors.admits("search", bulk) && floors.admits("search", critical));
    let after = floors.return_after("search", bulk, u64::MAX);
    assert!((200_000..2_000_001).contains(&after), "{after} microseconds");
    floors.learn("search", None);
    assert!(
        !floors.admits("search", bulk),
        "the floor is kept: another server of the service may still report it"
    );
}
