//! Configuration: what is accepted stays, and each seeded fault is found.

mod common;

use seamhatch_model::configuration::{ConfigurationFault, ConfigurationModel};

const LIMIT: usize = 3_000_000;

fn model() -> ConfigurationModel {
    ConfigurationModel {
        submissions: 2,
        lost_answers: 1,
        restarts: 1,
        restores: 0,
        outages: true,
        fault: ConfigurationFault::None,
    }
}

fn assert_holds(name: &str, model: ConfigurationModel) {
    common::assert_holds(name, &model.search(LIMIT));
}

fn assert_found(model: ConfigurationModel) {
    common::assert_found(model.fault, &model.search(LIMIT));
}

#[test]
fn racing_submitters_and_a_lost_answer() {
    assert_holds("race, lost answer", ConfigurationModel { restarts: 0, outages: false, ..model() });
}

#[test]
fn a_lost_answer_and_a_restart() {
    assert_holds("lost answer, restart", ConfigurationModel { submissions: 1, ..model() });
}

#[test]
fn telling_before_registration_is_found() {
    let fault = ConfigurationFault::ToldBeforeRegistration;
    assert_found(ConfigurationModel {
        fault,
        restores: 1,
        restarts: 0,
        lost_answers: 0,
        outages: false,
        ..model()
    });
}

#[test]
fn a_store_that_goes_back() {
    assert_holds(
        "store goes back",
        ConfigurationModel { restores: 1, restarts: 0, lost_answers: 0, outages: false, ..model() },
    );
}

#[test]
fn adopting_anything_is_found() {
    assert_found(ConfigurationModel { fault: ConfigurationFault::AdoptAnything, ..model() });
}

#[test]
fn taking_a_lost_answer_for_a_failure_is_found() {
    assert_found(ConfigurationModel { fault: ConfigurationFault::LostMeansFailed, ..model() });
}

#[test]
fn taking_a_lost_answer_for_success_is_found() {
    assert_found(ConfigurationModel { fault: ConfigurationFault::LostMeansAccepted, ..model() });
}

#[test]
fn readiness_from_one_witness_is_found() {
    assert_found(ConfigurationModel { fault: ConfigurationFault::ReadyFromOneWitness, ..model() });
}

#[test]
fn force_without_registration_is_found() {
    assert_found(ConfigurationModel { fault: ConfigurationFault::NoRegistration, ..model() });
}
