//! The soak's checks: histories, and the promises that each of them breaks.

use seamhatch_lab::soak::checks::{PROBE_PREFIX, Promise, RETRY_TOKENS, check};
use seamhatch_lab::soak::fault::{CutWay, ReloadLevel, SoakFault};
use seamhatch_lab::soak::history::{HistoryEvent, SeenAnswer, from_lines, to_lines};
use seamhatch_lab::soak::no_server::NO_SERVER_BOUND_MS;

const DAEMONS: usize = 8;
const STOP: SoakFault = SoakFault::PlannedStop { daemon: 2 };

fn answer(status: u16, outcome: &str, reason: &str) -> SeenAnswer {
    let refused = outcome == "not-run";
    SeenAnswer {
        status,
        outcome: outcome.into(),
        reason: reason.into(),
        comes_back: refused,
        whole: status == 200,
        generation: 0,
    }
}

fn good() -> SeenAnswer {
    answer(200, "answered", "")
}

fn sent(at_ms: u64, request: &str, daemon: usize, keyed: bool) -> HistoryEvent {
    HistoryEvent::Sent { at_ms, request: request.into(), daemon, service: "settlement".into(), keyed }
}

fn answered(at_ms: u64, request: &str, answer: SeenAnswer) -> HistoryEvent {
    HistoryEvent::Answered { at_ms, request: request.into(), answer }
}

fn executed(request: &str, call: &str, trail: &str) -> HistoryEvent {
    HistoryEvent::Executed {
        request: request.into(),
        service: "settlement".into(),
        call: call.into(),
        trail: trail.into(),
        at_ms: 0,
        server: String::new(),
        is_deadly: false,
    }
}

/// A daemon of a history that does not name the machines.
fn a_daemon(daemon: usize, service: &str) -> HistoryEvent {
    HistoryEvent::Daemon { daemon, service: service.into(), server: String::new() }
}

/// Two daemons of each of three services, of which settlement calls records, and status is called by nobody.
fn named_daemons() -> Vec<HistoryEvent> {
    let services = ["settlement", "settlement", "records", "records", "status", "status"];
    let named = |(daemon, service): (usize, &str)| HistoryEvent::Daemon {
        daemon,
        service: service.into(),
        server: format!("machine-{daemon}"),
    };
    services.into_iter().enumerate().map(named).collect()
}

/// A run of a call at the back end beside this daemon.
fn ran_at(request: &str, service: &str, daemon: usize) -> HistoryEvent {
    HistoryEvent::Executed {
        request: request.into(),
        service: service.into(),
        call: "GET /x".into(),
        trail: String::new(),
        at_ms: 0,
        server: format!("machine-{daemon}"),
        is_deadly: false,
    }
}

/// Runs of a request that crashes each server: when, and at which.
fn deadly_at(runs: &[(u64, &str)]) -> Vec<HistoryEvent> {
    let run = |(at_ms, server): &(u64, &str)| HistoryEvent::Executed {
        request: format!("deadly-1-{at_ms}"),
        service: "settlement".into(),
        call: "GET /records/deep-deadly-1".into(),
        trail: ">records".into(),
        at_ms: *at_ms,
        server: (*server).to_owned(),
        is_deadly: true,
    };
    runs.iter().map(run).collect()
}

fn status(at_ms: u64, daemon: usize, restarts: u32, generation: u64) -> HistoryEvent {
    HistoryEvent::Status { at_ms, daemon, restarts, generation, ready: true }
}

fn begins(at_ms: u64, fault: SoakFault) -> HistoryEvent {
    HistoryEvent::FaultBegins { at_ms, fault }
}

fn ends(at_ms: u64, fault: SoakFault) -> HistoryEvent {
    HistoryEvent::FaultEnds { at_ms, fault }
}

/// A history and the promises that it breaks.
#[derive(Clone)]
struct HistoryCase {
    name: &'static str,
    history: Vec<HistoryEvent>,
    broken: Vec<Promise>,
}

fn kept(name: &'static str, history: Vec<HistoryEvent>) -> HistoryCase {
    HistoryCase { name, history, broken: Vec::new() }
}

fn broken(name: &'static str, promise: Promise, history: Vec<HistoryEvent>) -> HistoryCase {
    HistoryCase { name, history, broken: vec![promise] }
}

fn repeated(times: usize) -> Vec<HistoryEvent> {
    (0..=times).map(|_| executed("a", "GET /records/record/a", ">fieldbook/record")).collect()
}

fn at_stop(at_ms: u64, answer: SeenAnswer, beside: Vec<HistoryEvent>) -> Vec<HistoryEvent> {
    let mut history = vec![begins(10_000, STOP)];
    history.extend(beside);
    history.push(sent(at_ms, "a", 2, true));
    history.push(answered(at_ms + 50, "a", answer));
    history.push(ends(13_000, STOP));
    history
}

fn cut_at_stop(at_ms: u64, beside: Vec<HistoryEvent>) -> Vec<HistoryEvent> {
    at_stop(at_ms, answer(0, "", "connection-lost"), beside)
}

fn request_cases() -> Vec<HistoryCase> {
    let payout = || executed("a", "POST /payouts/payouts/a", "");
    let refused = || answered(5, "a", answer(503, "not-run", "queue-full"));
    let unadvised = SeenAnswer { comes_back: false, ..answer(503, "not-run", "queue-full") };
    let half = SeenAnswer { whole: false, ..good() };
    vec![
        kept("an answered request", vec![sent(0, "a", 0, true), answered(9, "a", good()), payout()]),
        kept("a refused request", vec![sent(0, "a", 0, true), refused()]),
        broken("a refused request that ran", Promise::RefusalsTrue, vec![refused(), payout()]),
        broken("no time to come back", Promise::RefusalsAdvise, vec![answered(5, "a", unadvised)]),
        broken("half an answer", Promise::AnswersWhole, vec![answered(5, "a", half)]),
        kept("a failure without a body", vec![answered(5, "a", answer(502, "unknown", "peer-lost"))]),
        broken("twice", Promise::AtMostOnce, vec![sent(0, "a", 0, true), payout(), payout()]),
        kept("twice, and may be", vec![sent(0, "a", 0, false), payout(), payout()]),
        kept(
            "two calls of one request",
            vec![sent(0, "a", 0, true), payout(), executed("a", "POST /x", ">x")],
        ),
        kept("all tokens", repeated(RETRY_TOKENS)),
        broken("a repeat too many", Promise::RetriesBounded, repeated(RETRY_TOKENS + 1)),
    ]
}

/// A request that is sent during a stop, with another fault beside it.
fn stop_beside(fault: SoakFault, answer: SeenAnswer) -> Vec<HistoryEvent> {
    at_stop(11_000, answer, vec![begins(10_500, fault.clone()), ends(10_900, fault)])
}

/// A request to the daemon that stops, lost at this time.
fn under_way(sent_ms: u64, lost_ms: u64) -> Vec<HistoryEvent> {
    let lost = answered(lost_ms, "a", answer(0, "", "connection-lost"));
    vec![sent(sent_ms, "a", 2, true), begins(10_000, STOP), lost, ends(13_000, STOP)]
}

/// A request to another daemon during the stop.
fn sent_elsewhere(answer: SeenAnswer) -> Vec<HistoryEvent> {
    let exchange = [sent(11_000, "a", 5, true), answered(11_050, "a", answer)];
    [vec![begins(10_000, STOP)], exchange.into(), vec![ends(13_000, STOP)]].concat()
}

/// A request that is in progress when the stop ends, and is lost by what happens a moment later.
fn lost_by(fault: SoakFault) -> Vec<HistoryEvent> {
    let lost = answered(13_060, "a", answer(0, "", "connection-lost"));
    [span(10_000, 13_000, STOP), span(13_050, 13_900, fault), vec![sent(12_900, "a", 5, true), lost]].concat()
}

/// A request to daemon 0 that is lost while daemon 2 stops and, a moment later, others are killed; its calls ran at these daemons.
fn lost_beside_kill(killed: usize, ran: &[(&str, usize)]) -> Vec<HistoryEvent> {
    let lost = answered(13_060, "a", answer(502, "unknown", "peer-lost"));
    let earlier = [sent(1, "b", 0, true), ran_at("b", "settlement", 0), ran_at("b", "records", 2)];
    let runs = ran.iter().map(|(service, daemon)| ran_at("a", service, *daemon));
    [
        named_daemons(),
        earlier.into(),
        span(10_000, 13_000, STOP),
        span(13_050, 13_900, SoakFault::Kill { daemons: vec![killed] }),
        vec![sent(12_900, "a", 0, true), lost],
        runs.collect(),
    ]
    .concat()
}

/// A payout beside the stop whose back end got no answer to a call of its own, as the shard of that call's key waited.
fn call_without_witnesses(killed: usize, told: SeenAnswer) -> Vec<HistoryEvent> {
    let failed = HistoryEvent::CallFailed {
        request: "a".into(),
        service: "records".into(),
        reason: "no-claim-majority".into(),
    };
    let ran = executed("a", "POST /payouts/payouts/a", "");
    [at_stop(11_000, told, killed_before(killed)), vec![failed, ran]].concat()
}

fn without_witnesses() -> SeenAnswer {
    SeenAnswer { comes_back: true, ..answer(503, "unknown", "no-claim-majority") }
}

/// All daemons, of which one kill takes so many, long enough before a stop.
fn killed_before(killed: usize) -> Vec<HistoryEvent> {
    let known = (0..DAEMONS).map(|daemon| a_daemon(daemon, "settlement"));
    let kill = span(4_000, 5_000, SoakFault::Kill { daemons: (0..killed).collect() });
    known.chain(kill).collect()
}

fn stop_cases() -> Vec<HistoryCase> {
    let other = || SoakFault::PlannedStop { daemon: 3 };
    let lost = || answer(0, "", "connection-lost");
    let unread = || answer(0, "", "connection-reset");
    let peer_lost = || answer(502, "unknown", "peer-lost");
    let failed = || answer(502, "answered", "");
    let promise = Promise::StopsCutNothing;
    let reload = SoakFault::Reload { daemon: 2, log_level: ReloadLevel::Debug, more_slots: 1 };
    vec![
        broken("cut off while others stop", promise, stop_beside(other(), lost())),
        broken("a peer that stops too cuts off", promise, stop_beside(other(), peer_lost())),
        broken("cut off while settings are read", promise, stop_beside(reload, lost())),
        broken("cut off while the store is out", promise, stop_beside(SoakFault::StoreOut, lost())),
        broken(
            "cut off while a configuration is submitted",
            promise,
            stop_beside(SoakFault::Configuration { daemon: 0 }, answer(502, "answered", "")),
        ),
        kept("sent as the connection closed, and not read", at_stop(11_000, unread(), Vec::new())),
        broken(
            "closed as not read, and ran",
            promise,
            [at_stop(11_000, unread(), Vec::new()), vec![executed("a", "POST /x", "")]].concat(),
        ),
        // Both found with seed 51106.
        kept(
            "under way when the stop ends, and lost by a kill after it",
            lost_by(SoakFault::Kill { daemons: vec![2, 3] }),
        ),
        broken("the same, and the kill is a stop", promise, lost_by(other())),
        kept("after a kill of most daemons", at_stop(11_000, without_witnesses(), killed_before(5))),
        broken(
            "after a kill of half of them",
            promise,
            at_stop(11_000, without_witnesses(), killed_before(4)),
        ),
        HistoryCase {
            name: "long after a kill of most daemons",
            history: [
                killed_before(5),
                span(199_000, 210_000, STOP),
                vec![sent(200_000, "a", 2, true), answered(200_050, "a", without_witnesses())],
            ]
            .concat(),
            broken: vec![promise, Promise::StopsKeepServing],
        },
        kept(
            "lost by a kill where one of its calls ran",
            lost_beside_kill(3, &[("settlement", 0), ("records", 3)]),
        ),
        kept(
            "lost by a kill where one of its calls may have been on its way",
            lost_beside_kill(3, &[("settlement", 0)]),
        ),
        kept("lost by a kill of the daemon that it was sent to", lost_beside_kill(0, &[])),
        broken(
            "lost beside a kill at a daemon that it did not come to",
            promise,
            lost_beside_kill(3, &[("settlement", 0), ("records", 2)]),
        ),
        broken(
            "lost beside a kill at a service that it does not call",
            promise,
            lost_beside_kill(5, &[("settlement", 0)]),
        ),
        kept("a call without witnesses after a kill of most daemons", call_without_witnesses(5, failed())),
        broken(
            "a call without witnesses after a kill of half of them",
            promise,
            call_without_witnesses(4, failed()),
        ),
        broken("a call without witnesses, and cut off", promise, call_without_witnesses(5, lost())),
        broken(
            "a call without witnesses, and refused after it ran",
            promise,
            call_without_witnesses(5, without_witnesses()),
        ),
        broken("under way when the stop begins", promise, under_way(9_950, 10_020)),
        kept("over before the stop begins", under_way(9_900, 9_990)),
        broken("sent elsewhere, and run where the stop is", promise, sent_elsewhere(peer_lost())),
        kept("sent elsewhere, and not answered there", sent_elsewhere(answer(502, "answered", ""))),
        kept("no server while others stop", stop_beside(other(), answer(502, "answered", ""))),
        broken(
            "cut off while another is asked twice to stop",
            promise,
            stop_beside(SoakFault::HastyStop { daemon: 3, again_ms: 100 }, lost()),
        ),
    ]
}

/// Requests that find no server of a service with daemons 2 and 3, sent one after the other at these times.
fn not_found(at_ms: &[u64], beside: Vec<HistoryEvent>) -> Vec<HistoryEvent> {
    let mut history = vec![a_daemon(2, "settlement"), a_daemon(3, "settlement")];
    history.extend(beside);
    for (number, at_ms) in at_ms.iter().enumerate() {
        let request = format!("n-{number}");
        history.push(sent(*at_ms, &request, 0, false));
        history.push(answered(at_ms + 5, &request, answer(503, "not-run", "no-server")));
    }
    history
}

fn span(from_ms: u64, to_ms: u64, fault: SoakFault) -> Vec<HistoryEvent> {
    vec![begins(from_ms, fault.clone()), ends(to_ms, fault)]
}

fn no_server_cases() -> Vec<HistoryCase> {
    const LONG: u64 = NO_SERVER_BOUND_MS + 1_000;
    let stop = |daemon| SoakFault::PlannedStop { daemon };
    let both = |apart_ms| [span(1_000, 20_000, stop(2)), span(1_000, 20_000 + apart_ms, stop(3))].concat();
    let after = |from_ms: u64| not_found(&[from_ms, from_ms + LONG], both(0));
    let served = vec![sent(23_000, "a", 0, false), answered(23_010, "a", good())];
    let every_daemon = |mut history: Vec<HistoryEvent>| {
        if let Some(HistoryEvent::Sent { daemon, .. }) = history.get_mut(2) {
            *daemon = 1;
        }
        history
    };
    let twice = |name, history| HistoryCase { name, history, broken: vec![Promise::ServersFound; 2] };
    let once = |name, history| broken(name, Promise::ServersFound, history);
    let store = || span(19_000, 20_000 + LONG, SoakFault::StoreOut);
    let killed = || span(1_000, 20_000, SoakFault::Kill { daemons: vec![2, 3] });
    let entry_cut = SoakFault::Cut { daemon: 0, way: CutWay::Both };
    vec![
        kept("for a moment", not_found(&[1_000, 2_000], Vec::new())),
        twice("without any cause", not_found(&[1_000, 1_000 + LONG], Vec::new())),
        once("at two daemons", every_daemon(not_found(&[1_000, 1_000 + LONG], Vec::new()))),
        twice(
            "with one of two daemons stopped",
            not_found(&[2_000, 2_000 + LONG], span(1_000, 20_000, stop(2))),
        ),
        kept("with both stopped", not_found(&[2_000, 2_000 + LONG], both(0))),
        twice("after both were stopped", after(21_000)),
        kept("while one was just started", not_found(&[2_000, 20_000 + LONG - 1_500], both(LONG))),
        kept(
            "started while the store was out",
            not_found(&[21_000, 21_000 + LONG], [both(0), store()].concat()),
        ),
        kept("both killed, as witnesses too", not_found(&[21_000, 21_000 + LONG], killed())),
        twice("long after both were killed", not_found(&[31_000, 31_000 + LONG], killed())),
        kept("served meanwhile", not_found(&[20_500, 20_500 + LONG], [both(0), served].concat())),
        kept(
            "told by a daemon that is cut off",
            not_found(&[2_000, 2_000 + LONG], span(1_000, 20_000, entry_cut)),
        ),
    ]
}

fn unclaimed() -> SeenAnswer {
    SeenAnswer { comes_back: true, ..answer(503, "unknown", "draining") }
}

/// A service with daemons 2 and 3. One is asked to stop, the other is open or not, and a request is sent to a daemon of neither.
fn rolled(answer: SeenAnswer, beside: Vec<HistoryEvent>) -> Vec<HistoryEvent> {
    let known = [2, 3].map(|daemon| a_daemon(daemon, "settlement"));
    let reports = [2, 3].map(|daemon| status(9_000, daemon, 0, 1));
    let stop = span(10_000, 13_000, STOP);
    let exchange = [sent(11_000, "a", 0, true), answered(11_050, "a", answer)];
    [known.into(), reports.into(), stop, beside, exchange.into()].concat()
}

fn roll_cases() -> Vec<HistoryCase> {
    let promise = Promise::StopsKeepServing;
    let failed = || answer(502, "answered", "");
    let other = SoakFault::PlannedStop { daemon: 3 };
    let kill = |daemons| SoakFault::Kill { daemons };
    let submitted = SoakFault::Configuration { daemon: 0 };
    vec![
        broken("no witnesses while one stops", promise, rolled(without_witnesses(), vec![])),
        broken(
            "no witnesses while all of a service stop",
            promise,
            rolled(without_witnesses(), span(10_100, 12_000, other.clone())),
        ),
        broken(
            "no witnesses, and something is submitted",
            promise,
            rolled(without_witnesses(), span(10_100, 10_200, submitted)),
        ),
        broken(
            "no witnesses long after one daemon was killed",
            promise,
            rolled(without_witnesses(), span(2_000, 3_000, kill(vec![5]))),
        ),
        kept(
            "no witnesses after two were killed",
            rolled(without_witnesses(), span(2_000, 3_000, kill(vec![5, 6]))),
        ),
        kept(
            "no witnesses while the store is out",
            rolled(without_witnesses(), span(9_500, 10_500, SoakFault::StoreOut)),
        ),
        broken("a failure beside an open server", promise, rolled(failed(), vec![])),
        kept("a failure while both stop", rolled(failed(), span(10_100, 12_000, other.clone()))),
        kept("a failure before the other is known to be back", rolled(failed(), span(8_000, 9_500, other))),
        kept(
            "a failure while a back end fails",
            rolled(failed(), span(10_100, 12_000, SoakFault::ServerFails { daemon: 3 })),
        ),
        kept("a refusal that says not run", rolled(answer(503, "not-run", "no-server"), vec![])),
    ]
}

fn deployment_cases() -> Vec<HistoryCase> {
    let healed = |ready| HistoryEvent::Healed { at_ms: 50_000, ready };
    let accepted = |generation| HistoryEvent::Accepted { at_ms: 20_000, generation };
    let probe = format!("{PROBE_PREFIX}0");
    let kill = SoakFault::Kill { daemons: vec![1] };
    vec![
        broken("cut off by a stop", Promise::StopsCutNothing, cut_at_stop(11_000, Vec::new())),
        // Found with seed 7556087761505180644.
        kept("a key that was not claimed any more", at_stop(11_000, unclaimed(), Vec::new())),
        broken(
            "a key that was not claimed, and ran",
            Promise::StopsCutNothing,
            at_stop(11_000, unclaimed(), vec![executed("a", "POST /payouts/payouts/a", "")]),
        ),
        kept("cut off after the stop", cut_at_stop(13_500, Vec::new())),
        kept(
            "a kill beside the stop",
            cut_at_stop(11_000, vec![begins(10_500, kill.clone()), ends(10_900, kill)]),
        ),
        kept(
            "forward, and again after a restart",
            vec![status(1, 0, 0, 3), status(2, 0, 1, 2), status(3, 0, 1, 3)],
        ),
        broken("backward", Promise::ConfigurationForward, vec![status(1, 0, 0, 3), status(2, 0, 0, 2)]),
        kept("in force everywhere", vec![accepted(4), healed(true), status(51_000, 0, 0, 4)]),
        broken(
            "in force not everywhere",
            Promise::ConfigurationEverywhere,
            vec![accepted(4), status(21_000, 1, 0, 3), healed(true), status(51_000, 1, 0, 3)],
        ),
        kept("a request that ended nine servers", deadly_runs(9)),
        broken("a request that ended ten", Promise::CrashesContained, deadly_runs(10)),
        kept(
            "three runs long after the third crash",
            deadly_at(&[(0, "a"), (50, "b"), (900, "a"), (3_901, "a"), (5_000, "b"), (9_000, "a")]),
        ),
        broken(
            "four runs long after the third crash",
            Promise::CrashesContained,
            deadly_at(&[
                (0, "a"),
                (50, "b"),
                (900, "a"),
                (3_901, "a"),
                (5_000, "b"),
                (7_000, "a"),
                (9_000, "b"),
            ]),
        ),
        kept(
            "copies that end one server together are one crash",
            deadly_at(&[
                (0, "a"),
                (1, "a"),
                (2, "a"),
                (50, "b"),
                (3_500, "a"),
                (3_501, "b"),
                (3_502, "a"),
                (3_503, "b"),
            ]),
        ),
        kept(
            "a request that crashes servers, turned away",
            vec![answered(3, "deadly-1-0", answer(503, "not-run", "crashes-servers"))],
        ),
        broken(
            "another one, turned away in its place",
            Promise::HarmlessServed,
            vec![answered(3, "a", answer(503, "not-run", "crashes-servers"))],
        ),
        broken("not ready again", Promise::Recovers, vec![healed(false)]),
        broken(
            "not served again",
            Promise::Recovers,
            vec![healed(true), answered(51_000, &probe, answer(503, "not-run", "not-ready"))],
        ),
    ]
}

/// A request that a daemon has decided by a configuration.
fn decided(sent_ms: u64, daemon: usize, generation: u64) -> Vec<HistoryEvent> {
    let request = format!("g-{sent_ms}-{daemon}");
    let answer = SeenAnswer { generation, ..good() };
    vec![sent(sent_ms, &request, daemon, false), answered(sent_ms + 5, &request, answer)]
}

fn generation_cases() -> Vec<HistoryCase> {
    let accepted = || vec![HistoryEvent::Accepted { at_ms: 10_000, generation: 2 }];
    let after = |sent_ms, beside: Vec<HistoryEvent>| [accepted(), beside, decided(sent_ms, 1, 1)].concat();
    let in_time = |name, history| broken(name, Promise::ConfigurationInTime, history);
    let pause = |daemon| span(10_000, 11_000, SoakFault::Pause { daemon });
    let kill = || span(5_000, 6_000, SoakFault::Kill { daemons: vec![1] });
    vec![
        kept("decided by the old one in time", after(12_000, Vec::new())),
        in_time("decided by the old one too late", after(12_001, Vec::new())),
        kept("too late, and frozen before", after(13_500, pause(1))),
        in_time("too late, and another one frozen", after(13_500, pause(0))),
        in_time("too late, frozen long ago", after(14_001, pause(1))),
        in_time("too late with the store out", after(12_500, span(9_000, 14_000, SoakFault::StoreOut))),
        kept(
            "by the new one, and by the old within the slack",
            [decided(0, 1, 2), decided(255, 1, 1)].concat(),
        ),
        broken(
            "by the new one, and by the old one later",
            Promise::ConfigurationForward,
            [decided(0, 1, 2), decided(256, 1, 1)].concat(),
        ),
        kept("the old one at another daemon", [decided(0, 1, 2), decided(900, 2, 1)].concat()),
        kept("the old one in another life", [decided(0, 1, 2), kill(), decided(7_000, 1, 1)].concat()),
    ]
}

fn deadly_runs(count: usize) -> Vec<HistoryEvent> {
    // Each copy has a name of its own.
    (0..count).map(|copy| executed(&format!("deadly-1-{copy}"), "GET /claims/deadly-1", "")).collect()
}

#[test]
fn each_promise_is_found_broken_where_it_is_and_nowhere_else() {
    for case in [
        request_cases(),
        deployment_cases(),
        stop_cases(),
        roll_cases(),
        no_server_cases(),
        generation_cases(),
    ]
    .concat()
    {
        let found: Vec<Promise> =
            check(&case.history).into_iter().map(|violation| violation.promise).collect();
        assert_eq!(found, case.broken, "{}", case.name);
        let read = from_lines(&to_lines(&case.history)).expect("was written by this");
        assert_eq!(read, case.history, "{}", case.name);
    }
}

#[test]
fn a_line_that_is_no_event_is_named() {
    let text = to_lines(&[sent(0, "a", 0, false)]) + "{\"event\":\"heard\"}\n";
    assert_eq!(from_lines(&text).expect_err("the second line is none").line, 2);
}

/// Runs at the back end beside daemon 2 at these times.
fn runs_at(times: impl IntoIterator<Item = u64>) -> Vec<HistoryEvent> {
    let at = |at_ms| match ran_at("r", "records", 2) {
        HistoryEvent::Executed { request, service, call, trail, server, is_deadly, .. } => {
            HistoryEvent::Executed { request, service, call, trail, at_ms, server, is_deadly }
        }
        event => event,
    };
    times.into_iter().map(at).collect()
}

/// A fault from 1 s to 12 s, beside others, and runs at the back end beside daemon 2.
struct NoticeCase {
    name: &'static str,
    fault: SoakFault,
    beside: Option<(SoakFault, u64, u64)>,
    runs: Vec<u64>,
    broken: Option<Promise>,
}

#[test]
fn what_a_back_end_says_of_itself_is_judged_by_its_runs() {
    let named = SoakFault::ServerNamesRate { daemon: 2, rate_millis: 1_000 };
    let leaves = SoakFault::ServerLeaves { daemon: 2 };
    let evenly = |from: u64, pause: usize| (from..12_000).step_by(pause).collect::<Vec<u64>>();
    let kill = |daemons: &[usize]| Some((SoakFault::Kill { daemons: daemons.to_vec() }, 5_000, 6_000));
    let rates = Some(Promise::RatesKept);
    let cases = [
        NoticeCase {
            name: "at the rate",
            fault: named.clone(),
            beside: None,
            runs: evenly(1_000, 1_000),
            broken: None,
        },
        NoticeCase {
            name: "twice the rate",
            fault: named.clone(),
            beside: None,
            runs: evenly(1_000, 500),
            broken: rates,
        },
        NoticeCase {
            name: "before it is known",
            fault: named.clone(),
            beside: None,
            runs: (1_000..3_000).step_by(20).chain(evenly(3_000, 1_000)).collect(),
            broken: None,
        },
        NoticeCase {
            name: "by half more beside a kill",
            fault: named.clone(),
            beside: kill(&[2]),
            runs: [
                (1_000..5_000).step_by(1_000).collect(),
                (5_000..8_000).step_by(450).collect(),
                evenly(8_000, 1_000),
            ]
            .concat(),
            broken: None,
        },
        NoticeCase {
            name: "far more beside a kill",
            fault: named.clone(),
            beside: kill(&[2]),
            runs: evenly(1_000, 200),
            broken: rates,
        },
        NoticeCase {
            name: "far more beside a kill elsewhere",
            fault: named.clone(),
            beside: kill(&[3]),
            runs: evenly(1_000, 450),
            broken: rates,
        },
        NoticeCase {
            name: "nobody is left who was told",
            fault: named,
            beside: Some((SoakFault::Kill { daemons: (0..6).collect() }, 2_000, 11_000)),
            runs: evenly(1_000, 100),
            broken: None,
        },
        NoticeCase {
            name: "it rests",
            fault: leaves.clone(),
            beside: None,
            runs: vec![1_100, 1_200],
            broken: None,
        },
        NoticeCase {
            name: "it doesn't rest",
            fault: leaves.clone(),
            beside: None,
            runs: vec![1_100, 6_000],
            broken: Some(Promise::LeavingRests),
        },
        NoticeCase {
            name: "a forgotten word",
            fault: leaves,
            beside: kill(&[2]),
            runs: vec![1_100, 6_000],
            broken: None,
        },
    ];
    for NoticeCase { name, fault, beside, runs, broken } in cases {
        let mut history = named_daemons();
        history.push(HistoryEvent::FaultBegins { at_ms: 1_000, fault: fault.clone() });
        history.push(HistoryEvent::FaultEnds { at_ms: 12_000, fault });
        if let Some((fault, from_ms, to_ms)) = beside {
            history.push(HistoryEvent::FaultBegins { at_ms: from_ms, fault: fault.clone() });
            history.push(HistoryEvent::FaultEnds { at_ms: to_ms, fault });
        }
        history.extend(runs_at(runs));
        let found = check(&history);
        let promises: Vec<Promise> = found
            .iter()
            .map(|violation| violation.promise)
            .filter(|promise| matches!(promise, Promise::RatesKept | Promise::LeavingRests))
            .collect();
        assert_eq!(promises, Vec::from_iter(broken), "{name}: {found:?}");
    }
}
