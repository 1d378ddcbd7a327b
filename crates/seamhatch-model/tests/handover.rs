//! Handover of witnesses that stop in order: the protocol holds, and each seeded fault is found.

mod common;

use seamhatch_model::handover::{HandoverFault, HandoverModel};

const LIMIT: usize = 1_500_000;

fn model(daemons: usize, stops: u8, kills: u8, changes: usize) -> HandoverModel {
    HandoverModel {
        daemons,
        stops,
        kills,
        changes,
        coordinators: 2,
        retires: false,
        fault: HandoverFault::None,
    }
}

fn assert_holds(name: &str, model: HandoverModel) {
    common::assert_holds(name, &model.search(LIMIT));
}

fn assert_found(fault: HandoverFault, bounds: HandoverModel) {
    let model = HandoverModel { fault, ..bounds };
    common::assert_found(model.fault, &model.search(LIMIT));
}

#[test]
fn two_stops_lose_nothing() {
    let single = HandoverModel { coordinators: 1, ..model(4, 2, 0, 4) };
    assert_holds("four daemons, two stops, four changes by one coordinator", single);
    assert_holds("four daemons, two stops, one change by either of two", model(4, 2, 0, 1));
}

#[test]
fn a_daemon_that_takes_over_and_stops_loses_nothing() {
    assert_holds("four daemons, three stops, one change", model(4, 3, 0, 1));
}

#[test]
fn a_handover_that_a_kill_cuts_off_loses_nothing() {
    assert_holds("four daemons, one stop, one kill, two changes", model(4, 1, 1, 2));
}

/// Guards against a shard that waits where most of its witnesses have stopped and one of the last two is killed.
#[test]
fn a_kill_of_one_of_the_last_two_witnesses_loses_nothing() {
    let single = |changes| HandoverModel { coordinators: 1, ..model(4, 2, 1, changes) };
    assert_holds("four daemons, two stops, one kill, two changes", single(2));
    assert_holds("four daemons, two stops, one kill, three changes", single(3));
}

#[test]
fn stops_without_regard_to_witnesses_are_found() {
    assert_found(HandoverFault::EndsAtOnce, model(4, 2, 0, 3));
}

#[test]
fn an_end_after_the_seal_is_found() {
    assert_found(HandoverFault::EndsWhenSealed, model(4, 2, 0, 3));
}

#[test]
fn an_end_before_the_new_witnesses_are_confirmed_is_found() {
    assert_found(HandoverFault::IgnoresPrevious, model(4, 2, 0, 3));
}

#[test]
fn an_end_by_a_roster_of_earlier_is_found() {
    let all_stop = HandoverModel { coordinators: 1, ..model(4, 4, 0, 2) };
    assert_holds("four daemons, four stops, two changes", all_stop);
    assert_found(HandoverFault::BelievesOldRoster, all_stop);
}

/// Guards against claims that are lost, or granted again, where witnesses stop while nobody can take over.
#[test]
fn witnesses_that_retire_lose_nothing() {
    let retiring = |bounds| HandoverModel { retires: true, ..bounds };
    let single = |bounds| HandoverModel { coordinators: 1, ..retiring(bounds) };
    assert_holds("four daemons, two that may retire, two changes", single(model(4, 2, 0, 2)));
    assert_holds("four daemons, three that may retire, one change", single(model(4, 3, 0, 1)));
    assert_holds(
        "four daemons, two that may retire, one change by either of two",
        retiring(model(4, 2, 0, 1)),
    );
}

#[test]
fn a_witness_that_is_held_and_goes_on_is_found() {
    let bounds = HandoverModel { retires: true, coordinators: 1, ..model(4, 2, 0, 2) };
    assert_found(HandoverFault::HeldButNotRetired, bounds);
}
