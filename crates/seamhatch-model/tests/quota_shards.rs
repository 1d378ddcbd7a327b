//! Shards of tenants' limits: one holder at a time, and each seeded fault is found.

mod common;

use common::{assert_found, assert_holds};
use seamhatch_model::quota_shards::{QuotaShardsFault, QuotaShardsModel};

const LIMIT: usize = 6_000_000;

fn model(fault: QuotaShardsFault) -> QuotaShardsModel {
    QuotaShardsModel { instants: 6, restarts: 1, fault }
}

#[test]
fn a_shard_has_one_holder_at_a_time() {
    let model = model(QuotaShardsFault::None);
    assert_holds(model, &model.search(LIMIT));
}

#[test]
fn each_seeded_fault_is_found() {
    for fault in [
        QuotaShardsFault::CountedFromAnswer,
        QuotaShardsFault::FreedEarly,
        QuotaShardsFault::LeavesWhileItHolds,
        QuotaShardsFault::RemovesAnyRecord,
    ] {
        assert_found(fault, &model(fault).search(LIMIT));
    }
}
