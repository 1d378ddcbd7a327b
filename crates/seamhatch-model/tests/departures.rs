//! Departures: acknowledged ones hold through restarts and losses of all daemons, and each seeded fault is found.

mod common;

use common::{assert_found, assert_holds};
use seamhatch_model::departures::{DeparturesFault, DeparturesModel};

const LIMIT: usize = 6_000_000;

/// Bounds within which the property holds: restarts, heartbeats, whether the store may be silent.
const BOUNDS: [(u8, u64, bool); 3] = [(1, 2, false), (2, 1, false), (2, 1, true)];

/// A fault, the restarts without which it does no harm, and whether it takes a silent store.
struct FaultCase {
    fault: DeparturesFault,
    restarts: u8,
    store_may_be_silent: bool,
}

#[test]
fn an_acknowledged_departure_holds_through_restarts_and_losses_of_all_daemons() {
    for (restarts, heartbeats, store_may_be_silent) in BOUNDS {
        let fault = DeparturesFault::None;
        let model = DeparturesModel { restarts, heartbeats, store_may_be_silent, fault };
        assert_holds(model, &model.search(LIMIT));
    }
}

#[test]
fn each_seeded_fault_is_found() {
    let cases = [
        FaultCase { fault: DeparturesFault::AcknowledgedAtOnce, restarts: 1, store_may_be_silent: false },
        FaultCase { fault: DeparturesFault::AcknowledgedByHolder, restarts: 1, store_may_be_silent: false },
        FaultCase { fault: DeparturesFault::StoreAlone, restarts: 1, store_may_be_silent: false },
        FaultCase { fault: DeparturesFault::TrustedAtOnce, restarts: 1, store_may_be_silent: false },
        FaultCase { fault: DeparturesFault::ReplacedRecord, restarts: 2, store_may_be_silent: false },
        FaultCase { fault: DeparturesFault::TrustedWithoutStore, restarts: 1, store_may_be_silent: true },
    ];
    for FaultCase { fault, restarts, store_may_be_silent } in cases {
        let model = DeparturesModel { restarts, heartbeats: 2, store_may_be_silent, fault };
        assert_found(fault, &model.search(LIMIT));
    }
}
