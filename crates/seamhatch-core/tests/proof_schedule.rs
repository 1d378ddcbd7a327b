//! When a daemon reads the store for a proof, and how long a change may take by each way on which it reaches a daemon.

use proptest::prelude::*;
use seamhatch_core::Instant;
use seamhatch_core::clock::{MILLISECOND, Microseconds, SECOND};
use seamhatch_core::heartbeat::IDLE_INTERVAL;
use seamhatch_core::proof_schedule::{
    HEDGE_DELAY, LEADING_PAUSE, LONGEST_PAUSE, POLL_INTERVAL, ProofSchedule, READ_TIMEOUT, REFRESH_AGES,
};

/// Longest time from the acknowledgement of a configuration until it is in force.
const IN_FORCE: Microseconds = 2 * SECOND;
/// Longest time from the end of a disturbance until the bound holds again.
const IN_TOUCH: Microseconds = 3 * SECOND;
/// What is granted to the answer of a sound store, or of a sound daemon, with both ways.
const ANSWER: Microseconds = 200 * MILLISECOND;
/// What is granted to the control thread until a configuration that has arrived is in force.
const APPLY: Microseconds = 100 * MILLISECOND;

/// A way on which a change reaches a daemon, as the sum of its longest steps.
struct Way {
    name: &'static str,
    steps: Vec<Microseconds>,
    bound: Microseconds,
}

/// With one lost packet, a read took 2.8 to 3.1 s from the acknowledgement; after trouble of the store, a daemon that no other one
/// reaches read 3.4 s later.
#[test]
fn a_change_is_in_force_in_time_by_each_way_also_when_one_packet_is_lost() {
    let [first_age, .., last_age] = REFRESH_AGES;
    let read = [POLL_INTERVAL, HEDGE_DELAY, ANSWER, APPLY];
    let way = |name, steps: &[Microseconds], bound| Way { name, steps: steps.to_vec(), bound };
    let with_read = |before: &[Microseconds]| [before, &read].concat();
    let ways = [
        way("own read of the first daemon", &with_read(&[first_age]), IN_FORCE),
        way("own read of any daemon, without help", &with_read(&[last_age]), IN_FORCE),
        way(
            "own read of the first, its heartbeat, and the configuration from it",
            &[first_age, POLL_INTERVAL, ANSWER, IDLE_INTERVAL, ANSWER, 300 * MILLISECOND, ANSWER, APPLY],
            IN_FORCE,
        ),
        way("own read after trouble of the store", &with_read(&[READ_TIMEOUT, LONGEST_PAUSE]), IN_TOUCH),
        way("own read of the first after trouble", &with_read(&[READ_TIMEOUT, LEADING_PAUSE]), IN_TOUCH),
        way("a hedged read is answered before it counts as failed", &[HEDGE_DELAY, ANSWER], READ_TIMEOUT),
    ];
    for Way { name, steps, bound } in ways {
        let sum: Microseconds = steps.iter().sum();
        println!("{name}: {} ms of {}", sum / MILLISECOND, bound / MILLISECOND);
        assert!(sum <= bound, "{name}: {steps:?} sum to {sum}, more than {bound}");
    }
}

struct DueCase {
    name: &'static str,
    rank: usize,
    age_ms: Option<u64>,
    /// Time since the schedule began.
    at_ms: u64,
    due: bool,
}

#[test]
fn a_read_is_due_by_rank_and_age() {
    let case = |name, rank, age_ms, at_ms, due| DueCase { name, rank, age_ms, at_ms, due };
    let cases = [
        case("the first, recent", 0, Some(390), 5_000, false),
        case("the first, old", 0, Some(400), 5_000, true),
        case("the second, as old", 1, Some(400), 5_000, false),
        case("any other one, recent", 900, Some(1_190), 5_000, false),
        case("any other one, old", 900, Some(1_200), 5_000, true),
        case("no proof, and the first read may still be answered", 900, None, 390, false),
        case("no proof", 900, None, 400, true),
    ];
    for DueCase { name, rank, age_ms, at_ms, due } in cases {
        let begin = Instant(SECOND);
        let schedule = ProofSchedule::new(begin);
        let now = begin.plus(at_ms * MILLISECOND);
        assert_eq!(schedule.is_due(rank, age_ms.map(|age| age * MILLISECOND), now), due, "{name}");
    }
}

proptest! {
    /// A failed read was repeated only when the whole age had passed again, however short the pause was.
    #[test]
    fn after_a_failure_the_pause_alone_decides(rank in 0_usize..600, failures in 1_u32..40, random in 0.0_f64..1.0) {
        let now = Instant(100 * SECOND);
        let mut schedule = ProofSchedule::new(Instant(0));
        (0..failures).for_each(|_| schedule.failed(rank, now, random));
        prop_assert!(schedule.is_due(rank, Some(10 * SECOND), now.plus(LONGEST_PAUSE)));
        prop_assert!(!schedule.is_due(rank, Some(10 * SECOND), now));
        schedule.answered(rank, now);
        schedule.failed(rank, now, 1.0);
        prop_assert!(schedule.is_due(rank, Some(10 * SECOND), now.plus(LEADING_PAUSE)));
    }
}
