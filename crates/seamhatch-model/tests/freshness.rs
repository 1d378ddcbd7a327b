//! Proof of freshness: nobody goes by a configuration past the bound, and each seeded fault is found.

mod common;

use common::{assert_found, assert_holds};
use seamhatch_model::freshness::{FreshnessFault, FreshnessModel};

const LIMIT: usize = 6_000_000;

fn model(fault: FreshnessFault) -> FreshnessModel {
    FreshnessModel { instants: 5, restarts: 1, fault }
}

#[test]
fn nobody_goes_by_a_configuration_past_the_bound() {
    let model = model(FreshnessFault::None);
    assert_holds(model, &model.search(LIMIT));
}

#[test]
fn each_seeded_fault_is_found() {
    let faults = [
        FreshnessFault::CountedFromAnswer,
        FreshnessFault::HangingWatch,
        FreshnessFault::ProofWithoutAge,
        FreshnessFault::NotInForce,
    ];
    for fault in faults {
        assert_found(fault, &model(fault).search(LIMIT));
    }
}
