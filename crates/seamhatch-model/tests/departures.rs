//! Departures: acknowledged ones hold through restarts and losses of all daemons, and each seeded fault is found.

mod common;

use common::{assert_found, assert_holds};
use seamhatch_model::departures::{DeparturesFault, DeparturesModel};

const LIMIT: usize = 6_000_000;

/// Bounds within which the property holds.
const BOUNDS: [(u8, u64); 2] = [(1, 2), (2, 1)];

/// A fault, and the restarts without which it does no harm.
struct FaultCase {
    fault: DeparturesFault,
    restarts: u8,
}

#[test]
fn an_acknowledged_departure_holds_through_restarts_and_losses_of_all_daemons() {
    for (restarts, heartbeats) in BOUNDS {
        let model = DeparturesModel { restarts, heartbeats, fault: DeparturesFault::None };
        assert_holds(model, &model.search(LIMIT));
    }
}

#[test]
fn each_seeded_fault_is_found() {
    let cases = [
        FaultCase { fault: DeparturesFault::AcknowledgedAtOnce, restarts: 1 },
        FaultCase { fault: DeparturesFault::AcknowledgedByHolder, restarts: 1 },
        FaultCase { fault: DeparturesFault::StoreAlone, restarts: 1 },
        FaultCase { fault: DeparturesFault::TrustedAtOnce, restarts: 1 },
        FaultCase { fault: DeparturesFault::ReplacedRecord, restarts: 2 },
    ];
    for FaultCase { fault, restarts } in cases {
        let model = DeparturesModel { restarts, heartbeats: 2, fault };
        assert_found(fault, &model.search(LIMIT));
    }
}
