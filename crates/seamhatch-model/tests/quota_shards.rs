//! Shards of tenants' limits: one holder at a time, and each seeded fault is found.

use seamhatch_model::SearchResult;
use seamhatch_model::quota_shards::{QuotaShardsFault, QuotaShardsModel};

const LIMIT: usize = 6_000_000;

fn model(fault: QuotaShardsFault) -> QuotaShardsModel {
    QuotaShardsModel { instants: 6, restarts: 1, fault }
}

#[test]
fn a_shard_has_one_holder_at_a_time() {
    match model(QuotaShardsFault::None).search(LIMIT) {
        SearchResult::Holds { states } => println!("{states} states"),
        other => panic!("{other:#?}"),
    }
}

#[test]
fn each_seeded_fault_is_found() {
    for fault in [QuotaShardsFault::CountedFromAnswer, QuotaShardsFault::FreedEarly] {
        match model(fault).search(LIMIT) {
            SearchResult::Violated { trace, .. } => println!("{fault:?}: {trace:?}"),
            other => panic!("{fault:?} was not found: {other:?}"),
        }
    }
}
