//! Clocks, claims, rosters, server choice and retry budgets, step by step.

use seamhatch_core::Instant;
use seamhatch_core::balance::{CallEnd, Candidate, CandidateStatus, Ejection, KnownPace, SuccessRate, pick};
use seamhatch_core::claims::{
    CLAIM_RETENTION, Claim, ClaimHolder, ClaimKey, ClaimReply, Epoch, MAX_REQUEST_LIFETIME, Witness,
};
use seamhatch_core::clock::{PeerClock, SECOND};
use seamhatch_core::identity::{Address, Fingerprint, Incarnation};
use seamhatch_core::retry::{RetryRatio, RetryRatioPolicy};
use seamhatch_core::roster::{
    Assignment, SealProgress, WITNESSES, WitnessCandidate, WitnessHealth, WitnessId, first_roster,
    plan_change, seal_progress, union_of_claims,
};

const NOW: Instant = Instant(10 * SECOND);

fn address(number: u8) -> Address {
    format!("127.0.0.{number}:1").parse().expect("valid")
}

fn claim(key: u128, attempt: u64) -> Claim {
    let holder = ClaimHolder { daemon: address(1), incarnation: Incarnation(1), attempt };
    Claim { key: ClaimKey(key), request: Fingerprint(1), holder }
}

#[test]
fn an_expiry_in_a_peers_clock_errs_early_whatever_the_delay() {
    let mut clock = PeerClock::default();
    assert_eq!(clock.to_peer(Instant(5)), None);
    // The peer's clock is 1,000,000 ahead; messages take 500, 20 and 3,000.
    for (sent, delay) in [(2_000_000, 500), (3_000_000, 20), (4_000_000, 3_000)] {
        clock.observe(Instant(sent), Instant(sent - 1_000_000 + delay));
    }
    let translated = clock.to_peer(Instant(10_000_000)).expect("known");
    assert_eq!(translated, Instant(11_000_000 - 20));
}

#[test]
fn a_peer_that_restarts_its_machine_is_followed() {
    let mut clock = PeerClock::default();
    clock.observe(Instant(900 * SECOND), Instant(100 * SECOND));
    for second in 0..130 {
        clock.observe(Instant(second * SECOND), Instant((101 + second) * SECOND));
    }
    let translated = clock.to_peer(Instant(231 * SECOND)).expect("known");
    assert_eq!(translated, Instant(130 * SECOND));
}

#[test]
fn a_witness_remembers_longer_than_any_request_lives() {
    let mut witness = Witness::default();
    witness.install(Epoch(1), Vec::new(), Instant(0)).expect("first");
    witness.claim(Epoch(1), claim(1, 1), Instant(0));
    witness.forget_old(Instant(MAX_REQUEST_LIFETIME * 2));
    assert_eq!(witness.claim(Epoch(1), claim(1, 2), Instant(0)), ClaimReply::Held(claim(1, 1)));
    witness.forget_old(Instant(CLAIM_RETENTION + 1));
    assert!(witness.is_empty());
}

/// Two of three witnesses are sealed and name different holders of one key. Either holder may have had a
/// majority with the third witness.
#[test]
fn a_contested_key_is_held_by_nobody_in_the_next_epoch() {
    let union = union_of_claims([claim(1, 1), claim(1, 2), claim(2, 3), claim(2, 3)]);
    assert_eq!(union.len(), 2);
    let mut witness = Witness::default();
    witness.install(Epoch(2), union, Instant(0)).expect("installs");
    for attempt in [1, 2] {
        witness.release(Epoch(2), ClaimKey(1), claim(1, attempt).holder);
        assert!(matches!(witness.claim(Epoch(2), claim(1, 9), Instant(0)), ClaimReply::Held(_)));
    }
    witness.release(Epoch(2), ClaimKey(2), claim(2, 3).holder);
    assert_eq!(witness.claim(Epoch(2), claim(2, 9), Instant(0)), ClaimReply::Granted);
}

fn candidates(count: u8, zones: u8) -> Vec<WitnessCandidate> {
    (0..count)
        .map(|number| WitnessCandidate {
            id: WitnessId { daemon: address(number), incarnation: Incarnation(1) },
            zone: format!("zone-{}", number % zones),
            ready: true,
        })
        .collect()
}

#[test]
fn witnesses_lie_in_different_zones_and_live_ones_stay() {
    let all = candidates(12, 4);
    let roster = first_roster(&all);
    for (index, shard) in roster.shards.iter().enumerate() {
        let zones: std::collections::BTreeSet<&String> = all
            .iter()
            .filter(|candidate| shard.current.witnesses.contains(&candidate.id))
            .map(|candidate| &candidate.zone)
            .collect();
        assert_eq!(zones.len(), WITNESSES);
        let gone = shard.current.witnesses[1];
        let health = |id: &WitnessId| if *id == gone { WitnessHealth::Ended } else { WitnessHealth::Live };
        let others: Vec<_> = all.iter().filter(|candidate| candidate.id != gone).cloned().collect();
        let next = plan_change(index, shard, true, health, &others).expect("changes");
        assert_eq!(next.current.epoch, Epoch(2));
        assert_eq!(next.previous, std::slice::from_ref(&shard.current));
        assert!(next.current.witnesses.contains(&shard.current.witnesses[0]));
        assert!(!next.current.witnesses.contains(&gone));
        assert!(plan_change(index, shard, true, |_| WitnessHealth::Live, &all).is_none());
    }
}

/// Sealed and ended witnesses of an epoch, by index, and the resulting progress of its sealing.
struct SealCase {
    witnesses: u8,
    sealed: &'static [usize],
    ended: &'static [usize],
    progress: SealProgress,
}

const SEAL_CASES: [SealCase; 9] = [
    SealCase { witnesses: 3, sealed: &[0], ended: &[], progress: SealProgress::Incomplete },
    SealCase { witnesses: 3, sealed: &[], ended: &[1], progress: SealProgress::Incomplete },
    SealCase { witnesses: 3, sealed: &[0, 1], ended: &[2], progress: SealProgress::Complete },
    SealCase { witnesses: 3, sealed: &[0], ended: &[1], progress: SealProgress::CompleteWithLoss },
    // Both witnesses have granted every claim that was granted.
    SealCase { witnesses: 2, sealed: &[0], ended: &[1], progress: SealProgress::Complete },
    SealCase { witnesses: 2, sealed: &[1], ended: &[], progress: SealProgress::Complete },
    SealCase { witnesses: 2, sealed: &[], ended: &[0, 1], progress: SealProgress::CompleteWithLoss },
    SealCase { witnesses: 1, sealed: &[], ended: &[], progress: SealProgress::Incomplete },
    SealCase { witnesses: 1, sealed: &[], ended: &[0], progress: SealProgress::CompleteWithLoss },
];

/// Guards against an epoch that counts as lost although a sealed witness remembers all claims that were
/// granted in it.
#[test]
fn an_epoch_is_over_with_a_loss_only_where_no_sealed_witness_must_remember_all() {
    for case in SEAL_CASES {
        let witnesses: Vec<WitnessId> =
            candidates(case.witnesses, 3).into_iter().map(|candidate| candidate.id).collect();
        let among = |places: &[usize], id: &WitnessId| places.iter().any(|place| witnesses[*place] == *id);
        let assignment = Assignment { epoch: Epoch(1), witnesses: witnesses.clone() };
        let progress = seal_progress(&assignment, |id| among(case.sealed, id), |id| among(case.ended, id));
        let SealCase { witnesses, sealed, ended, .. } = case;
        assert_eq!(progress, case.progress, "{witnesses} witnesses, {sealed:?} sealed, {ended:?} ended");
    }
}

fn server(in_flight: u32, same_zone: bool, ejected: bool) -> Candidate {
    let status = if ejected { CandidateStatus::Ejected } else { CandidateStatus::Available };
    let (reported_load, success, turn_in, pace) = (0, 1.0, None, KnownPace::NotReported);
    Candidate { same_zone, slots: 10, in_flight, reported_load, success, turn_in, pace, status }
}

#[test]
fn the_own_zone_is_preferred_until_it_is_nearly_full() {
    let first = |_| 0;
    assert_eq!(pick(&[server(0, false, false), server(3, true, false)], first), Some(1));
    assert_eq!(pick(&[server(0, false, false), server(9, true, false)], first), Some(0));
    assert_eq!(pick(&[server(0, true, true), server(3, false, false)], first), Some(1));
    // If all servers are full, work stays in its zone as long as the wait is about the same there.
    assert_eq!(pick(&[server(12, false, false), server(15, true, false)], first), Some(1));
    assert_eq!(pick(&[server(12, false, false), server(18, true, false)], first), Some(0));
    // If all servers are ejected, they are used all the same.
    assert_eq!(pick(&[server(0, true, true)], first), Some(0));
    assert_eq!(pick(&[], first), None);
}

/// Statuses of servers, and the servers that may be picked.
struct StatusCase {
    name: &'static str,
    /// Servers with as many calls as slots; the others have no calls.
    full: &'static [usize],
    statuses: &'static [CandidateStatus],
    picked: &'static [usize],
}

#[test]
fn servers_whose_daemons_stop_are_used_where_no_other_is_left() {
    use CandidateStatus::{Available, Ejected, Leaving};
    let cases = [
        StatusCase {
            name: "one stays and is full",
            full: &[1],
            statuses: &[Leaving(9), Available, Leaving(5)],
            picked: &[0],
        },
        StatusCase {
            name: "one stays",
            full: &[],
            statuses: &[Leaving(9), Available, Leaving(5)],
            picked: &[1],
        },
        StatusCase { name: "the only one leaves", full: &[], statuses: &[Leaving(5)], picked: &[0] },
        StatusCase {
            name: "the next to go rests",
            full: &[],
            statuses: &[Leaving(9), Leaving(5), Leaving(7)],
            picked: &[0, 2],
        },
        StatusCase { name: "two go at once", full: &[], statuses: &[Leaving(5), Leaving(5)], picked: &[1] },
        StatusCase { name: "the other one fails", full: &[], statuses: &[Ejected, Leaving(5)], picked: &[1] },
        StatusCase { name: "all fail", full: &[], statuses: &[Ejected, Ejected], picked: &[0, 1] },
    ];
    for case in cases {
        let candidates: Vec<Candidate> = case
            .statuses
            .iter()
            .enumerate()
            .map(|(index, &status)| {
                let in_flight = if case.full.contains(&index) { 10 } else { 0 };
                Candidate { status, ..server(in_flight, true, false) }
            })
            .collect();
        let mut picked: Vec<usize> =
            (0..candidates.len()).filter_map(|first| pick(&candidates, |below| first % below)).collect();
        picked.sort_unstable();
        picked.dedup();
        assert_eq!(picked, case.picked, "{}", case.name);
    }
}

#[test]
fn ejection_takes_several_losses_and_grows() {
    let mut ejection = Ejection::default();
    ejection.record(CallEnd::Lost, Instant(0));
    ejection.record(CallEnd::Lost, Instant(0));
    assert!(!ejection.is_ejected(Instant(1)));
    ejection.record(CallEnd::Lost, Instant(0));
    assert!(ejection.is_ejected(Instant(SECOND / 4)) && !ejection.is_ejected(Instant(SECOND)));
    ejection.record(CallEnd::Lost, Instant(SECOND));
    assert!(ejection.is_ejected(Instant(SECOND + SECOND * 3 / 4)));
    ejection.record(CallEnd::Answered, Instant(2 * SECOND));
    assert!(!ejection.is_ejected(Instant(2 * SECOND)));
}

#[test]
fn retries_stay_a_share_of_first_tries() {
    let policy = RetryRatioPolicy { ratio: 0.1, burst: 2.0, half_life: None, initial: 2.0 };
    let mut ratio = RetryRatio::default();
    let mut retries = 0;
    for _ in 0..1_000 {
        ratio.first_try("a", policy, NOW);
        retries += u32::from(ratio.try_retry("a", policy, NOW));
    }
    assert!((95..=103).contains(&retries), "{retries}");
}

/// Guards against a strict order of classes, with which the most important class starves all others at a full
/// bottleneck.
#[test]
fn a_floor_keeps_some_requests_of_every_class_whatever_its_level() {
    use seamhatch_core::priority::{AdmissionFloor, BUCKETS, Priority, PriorityClass};
    let kept = AdmissionFloor::INITIAL_KEPT;
    let floor = AdmissionFloor::at(0);
    for class in PriorityClass::ALL {
        let admitted = (0..BUCKETS).filter(|&bucket| floor.admits(Priority { class, bucket })).count();
        assert_eq!(admitted, usize::from(kept), "{class:?}");
    }
    let unequal = AdmissionFloor { level: 130, kept: [1, 2, 30, 0] };
    let admitted = |class| (0..BUCKETS).filter(|&bucket| unequal.admits(Priority { class, bucket })).count();
    assert_eq!(PriorityClass::ALL.map(admitted), [usize::from(BUCKETS), 2, 30, 0]);
    for level in 0..AdmissionFloor::OPEN.level {
        assert_eq!(Priority::at_level(level).level(), level);
    }
}

/// Ends of calls to a server, and the expected success rate at once and later.
struct SuccessCase {
    name: &'static str,
    ends: Vec<CallEnd>,
    at_once: std::ops::RangeInclusive<f64>,
    after_seconds: u64,
    later: std::ops::RangeInclusive<f64>,
}

#[test]
fn lost_answers_count_for_a_while() {
    let every = |period: usize| {
        (0..60).map(|call| if call % period == 0 { CallEnd::Lost } else { CallEnd::Answered }).collect()
    };
    let cases = [
        SuccessCase { name: "none", ends: vec![], at_once: 1.0..=1.0, after_seconds: 0, later: 1.0..=1.0 },
        SuccessCase { name: "half", ends: every(2), at_once: 0.4..=0.6, after_seconds: 1, later: 0.7..=0.8 },
        SuccessCase { name: "all", ends: every(1), at_once: 0.0..=0.01, after_seconds: 4, later: 0.9..=0.95 },
        SuccessCase { name: "few", ends: every(20), at_once: 0.9..=1.0, after_seconds: 1, later: 0.95..=1.0 },
    ];
    for case in cases {
        let mut rate = SuccessRate::default();
        let now = Instant(SECOND);
        case.ends.iter().for_each(|end| rate.record(*end, now));
        assert!(case.at_once.contains(&rate.at(now)), "{}: {}", case.name, rate.at(now));
        let later = now.plus(case.after_seconds * SECOND);
        assert!(case.later.contains(&rate.at(later)), "{}: {}", case.name, rate.at(later));
    }
}

#[test]
fn a_server_that_loses_answers_is_picked_only_if_the_others_are_much_busier() {
    let lossy = Candidate { success: 0.7, ..server(1, false, false) };
    let first = |_| 0;
    assert_eq!(pick(&[lossy, server(5, false, false)], first), Some(1));
    assert_eq!(pick(&[lossy, server(9, false, false)], first), Some(0));
    // The own zone is preferred only while its servers answer.
    let near = Candidate { same_zone: true, success: 0.8, ..lossy };
    assert_eq!(pick(&[near, server(1, false, false)], first), Some(0));
    let hopeless = Candidate { same_zone: true, success: 0.3, ..lossy };
    assert_eq!(pick(&[hopeless, server(1, false, false)], first), Some(1));
}

/// Own retries granted and calls of repeated runs, against 100 first tries that earn a fifth of a retry each.
struct BudgetCase {
    name: &'static str,
    repeats_of_runs: usize,
    expected_own: usize,
}

/// Guards against repeats high in a chain that use up the retries of the services below.
#[test]
fn calls_of_repeated_runs_are_charged_to_the_service_that_they_go_to() {
    let policy = RetryRatioPolicy { ratio: 0.2, burst: 100.0, half_life: None, initial: 0.0 };
    let cases = [
        BudgetCase { name: "none", repeats_of_runs: 0, expected_own: 20 },
        BudgetCase { name: "some", repeats_of_runs: 12, expected_own: 8 },
        BudgetCase { name: "more than is earned", repeats_of_runs: 30, expected_own: 0 },
    ];
    for case in cases {
        let mut ratio = RetryRatio::default();
        (0..case.repeats_of_runs).for_each(|_| ratio.charge_call_of_repeat("stock", policy, NOW));
        // One more first try, since a fifth is not exact in binary.
        (0..101).for_each(|_| ratio.first_try("stock", policy, NOW));
        let own = (0..50).filter(|_| ratio.try_retry("stock", policy, NOW)).count();
        assert_eq!(own, case.expected_own, "{}", case.name);
    }
}

/// First tries per second at one daemon, and the retries that it can spend after some time.
struct SavedCase {
    per_second: u64,
    spendable: std::ops::RangeInclusive<usize>,
}

/// Answers are lost in bursts: a daemon must be able to spend what it earned in the last second or two, and
/// no more, so that all daemons together stay within a bound over some seconds.
#[test]
fn a_daemon_can_spend_what_it_earned_recently() {
    let policy =
        RetryRatioPolicy { ratio: 0.16, burst: f64::INFINITY, half_life: Some(SECOND), initial: 0.0 };
    let cases = [
        SavedCase { per_second: 1, spendable: 1..=1 },
        SavedCase { per_second: 100, spendable: 20..=25 },
        SavedCase { per_second: 1000, spendable: 220..=235 },
    ];
    for case in cases {
        let mut ratio = RetryRatio::default();
        let mut now = NOW;
        for _ in 0..case.per_second * 30 {
            ratio.first_try("stock", policy, now);
            now = now.plus(SECOND / case.per_second);
        }
        let mut later = ratio.clone();
        let taken = (0..1000).filter(|_| ratio.try_retry("stock", policy, now)).count();
        assert!(case.spendable.contains(&taken), "{} a second: {taken}", case.per_second);
        let long_after = now.plus(20 * SECOND);
        assert!(
            later.try_retry("stock", policy, long_after) && !later.try_retry("stock", policy, long_after)
        );
    }
}

/// When a shard that lost claims may continue, while its next assignment changes repeatedly.
#[test]
fn another_change_does_not_restart_the_wait_after_a_loss() {
    use seamhatch_core::roster::{ClaimLossWaits, SHARD_RESTART_WAIT};
    let mut waits = ClaimLossWaits::default();
    let lost = Epoch(2);
    assert!(waits.note(7, lost, NOW), "new");
    // Each following epoch lists the lost one again, and those before it, which granted nothing.
    for change in 1..=10 {
        let now = NOW.plus(change * SHARD_RESTART_WAIT / 10);
        let previous: Vec<Assignment> =
            (2..2 + change).map(|epoch| Assignment { epoch: Epoch(epoch), witnesses: Vec::new() }).collect();
        waits.retain(7, &previous);
        assert!(!waits.note(7, lost, now), "known since the beginning");
        assert!(waits.elapsed(7, now).is_empty(), "change {change}");
    }
    let over = NOW.plus(SHARD_RESTART_WAIT + 1);
    assert_eq!(waits.elapsed(7, over).into_iter().collect::<Vec<_>>(), [lost]);
    assert!(waits.elapsed(8, over).is_empty(), "another shard's wait");
    // A second loss has its own wait.
    assert!(waits.note(7, Epoch(9), over));
    assert!(!waits.elapsed(7, over.plus(SHARD_RESTART_WAIT)).contains(&Epoch(9)));
    waits.retain(7, &[]);
    assert!(
        waits.elapsed(7, over.plus(2 * SHARD_RESTART_WAIT)).is_empty(),
        "confirmed: nothing is waited for"
    );
}
