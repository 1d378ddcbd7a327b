//! Retry tokens: the bound holds over the tree, and each seeded fault is found.

mod common;

use seamhatch_model::retries::{RetriesFault, RetriesModel};

const LIMIT: usize = 3_000_000;

fn model(tokens: u32, depth: usize, fan_out: u8, most_dispatches: usize) -> RetriesModel {
    RetriesModel { tokens, depth, fan_out, most_dispatches, fault: RetriesFault::None }
}

fn assert_holds(model: RetriesModel) {
    common::assert_holds(model, &model.search(LIMIT));
}

fn assert_found(model: RetriesModel) {
    common::assert_found(model.fault, &model.search(LIMIT));
}

#[test]
fn a_chain_of_three_levels() {
    assert_holds(model(1, 3, 1, 5));
    assert_holds(model(2, 2, 1, 5));
}

#[test]
fn a_tree_with_two_calls_each() {
    assert_holds(model(1, 2, 2, 4));
}

#[test]
fn copied_tokens_are_found() {
    assert_found(RetriesModel { fault: RetriesFault::CopiedTokens, ..model(1, 3, 1, 7) });
}

#[test]
fn a_forgotten_repeat_is_found() {
    assert_found(RetriesModel { fault: RetriesFault::ForgottenRepeat, ..model(1, 2, 1, 7) });
}

#[test]
fn tokens_that_are_spent_after_they_went_back_are_found() {
    assert_found(RetriesModel { fault: RetriesFault::OpenAfterEnd, ..model(3, 2, 1, 7) });
}

#[test]
fn tokens_that_return_from_a_lost_call_are_found() {
    assert_found(RetriesModel { fault: RetriesFault::LostTokensReturn, ..model(1, 2, 1, 7) });
}
