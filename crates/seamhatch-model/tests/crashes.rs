//! Requests that crash servers: the bounds hold, and each seeded fault is found.

mod common;

use seamhatch_model::crashes::{CrashesFault, CrashesModel, News};

const LIMIT: usize = 3_000_000;

const PROMPT: CrashesModel = CrashesModel {
    servers: 3,
    copies: 6,
    deadly_at_once: 2,
    losses: 1,
    restarts: 1,
    news: News::Prompt,
    fault: CrashesFault::None,
};

fn assert_holds(model: CrashesModel) {
    common::assert_holds(model, &model.search(LIMIT));
}

fn assert_found(model: CrashesModel) {
    common::assert_found(model.fault, &model.search(LIMIT));
}

#[test]
fn with_prompt_news() {
    assert_holds(PROMPT);
    assert_holds(CrashesModel { losses: 3, restarts: 0, copies: 7, deadly_at_once: 1, ..PROMPT });
}

#[test]
fn with_late_news() {
    let late = CrashesModel { news: News::Late, servers: 2, restarts: 0, copies: 8, ..PROMPT };
    assert_holds(CrashesModel { deadly_at_once: 1, ..late });
    assert_holds(CrashesModel { losses: 0, ..late });
}

#[test]
fn a_daemon_that_serves_before_it_has_learnt_is_found() {
    assert_found(CrashesModel { fault: CrashesFault::ServesBeforeLearning, ..PROMPT });
}

#[test]
fn a_verdict_by_count_alone_is_found() {
    assert_found(CrashesModel { fault: CrashesFault::CondemnedByCount, losses: 3, ..PROMPT });
}

#[test]
fn copies_that_run_beside_each_other_are_found() {
    assert_found(CrashesModel { fault: CrashesFault::NoTrials, deadly_at_once: 3, copies: 8, ..PROMPT });
}

#[test]
fn a_sum_of_reports_is_found() {
    assert_found(CrashesModel { fault: CrashesFault::SumOfReports, losses: 3, ..PROMPT });
}
