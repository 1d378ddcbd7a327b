//! How soon a daemon that nobody helps learns of a configuration, and each seeded fault is found.

mod common;

use common::{assert_found, assert_holds};
use seamhatch_model::learning::{LearningFault, LearningModel};

const LIMIT: usize = 8_000_000;
/// Ranks in the order of those that read, from the first one to those that are treated alike.
const RANKS: [usize; 5] = [0, 1, 2, 3, 500];
/// Steps of 0.1 s.
const TROUBLE: u64 = 30;

#[test]
fn a_configuration_is_in_force_in_time_though_a_packet_is_lost() {
    for rank in RANKS {
        let model = LearningModel { rank, losses: 1, trouble: 0, fault: LearningFault::None };
        assert_holds(model, &model.search(LIMIT));
    }
}

#[test]
fn a_configuration_is_in_force_in_time_after_trouble_of_the_store() {
    for rank in RANKS {
        let model = LearningModel { rank, losses: 0, trouble: TROUBLE, fault: LearningFault::None };
        assert_holds(model, &model.search(LIMIT));
    }
}

#[test]
fn each_seeded_fault_is_found() {
    let fault = LearningFault::NoHedge;
    let model = LearningModel { rank: 500, losses: 1, trouble: 0, fault };
    assert_found(fault, &model.search(LIMIT));
    let fault = LearningFault::SlowRetry;
    let model = LearningModel { rank: 500, losses: 0, trouble: TROUBLE, fault };
    assert_found(fault, &model.search(LIMIT));
}
