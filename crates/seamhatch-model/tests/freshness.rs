//! Proof of freshness: nobody goes by a configuration past the bound, and each seeded fault is found.

use seamhatch_model::SearchResult;
use seamhatch_model::freshness::{FreshnessFault, FreshnessModel};

const LIMIT: usize = 6_000_000;

fn model(fault: FreshnessFault) -> FreshnessModel {
    FreshnessModel { instants: 5, restarts: 1, fault }
}

#[test]
fn nobody_goes_by_a_configuration_past_the_bound() {
    match model(FreshnessFault::None).search(LIMIT) {
        SearchResult::Holds { states } => println!("{states} states"),
        other => panic!("{other:#?}"),
    }
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
        match model(fault).search(LIMIT) {
            SearchResult::Violated { trace, .. } => println!("{fault:?}: {trace:?}"),
            other => panic!("{fault:?} was not found: {other:?}"),
        }
    }
}
