//! Which instance of the back end takes calls, for heartbeats and departures that arrive in any order.

use seamhatch_core::Instant;
use seamhatch_core::clock::SECOND;
use seamhatch_core::instance::{
    Heartbeat, HeartbeatVerdict, InstanceId, InstanceRegistry, InstanceState, REMEMBERED_DEPARTURES,
};

const NOW: Instant = Instant(1_000_000);

fn heartbeat(instance: &str, sequence: u64, state: InstanceState) -> Heartbeat {
    Heartbeat { instance: InstanceId::named(instance), sequence, state, slots: 8, cold_for: 0 }
}

fn ready(instance: &str, sequence: u64) -> Heartbeat {
    heartbeat(instance, sequence, InstanceState::Ready)
}

fn draining(instance: &str, sequence: u64) -> Heartbeat {
    heartbeat(instance, sequence, InstanceState::Draining)
}

#[test]
fn an_instance_opens_with_its_first_heartbeat_and_closes_when_it_drains() {
    let mut registry = InstanceRegistry::default();
    assert!(registry.open().is_none());
    assert_eq!(registry.heartbeat(ready("a", 1), NOW), HeartbeatVerdict::Opened);
    assert_eq!(registry.heartbeat(ready("a", 2), NOW), HeartbeatVerdict::Unchanged);
    assert_eq!(registry.heartbeat(draining("a", 3), NOW), HeartbeatVerdict::Closed);
    assert!(registry.open().is_none());
}

#[test]
fn a_late_heartbeat_does_not_reopen_an_instance_that_drains() {
    let mut registry = InstanceRegistry::default();
    registry.heartbeat(draining("a", 5), NOW);
    assert_eq!(registry.heartbeat(ready("a", 4), NOW), HeartbeatVerdict::Stale);
    assert_eq!(registry.heartbeat(ready("a", 6), NOW), HeartbeatVerdict::Unchanged);
    assert!(registry.open().is_none());
}

#[test]
fn an_instance_that_departed_never_comes_back() {
    let mut registry = InstanceRegistry::default();
    registry.heartbeat(ready("a", 1), NOW);
    assert!(registry.depart(&InstanceId::named("a")));
    assert_eq!(registry.heartbeat(ready("a", 9), NOW), HeartbeatVerdict::Stale);
    assert_eq!(registry.heartbeat(ready("b", 1), NOW), HeartbeatVerdict::Opened);
    assert!(!registry.depart(&InstanceId::named("a")));
    assert!(registry.open().is_some());
}

/// A restarted daemon learns of a departure from other daemons before the late heartbeat arrives.
#[test]
fn a_departure_learned_from_others_counts_before_any_heartbeat() {
    let mut registry = InstanceRegistry::default();
    assert!(!registry.depart(&InstanceId::named("a")));
    assert_eq!(registry.heartbeat(ready("a", 9), NOW), HeartbeatVerdict::Stale);
}

#[test]
fn a_single_late_heartbeat_does_not_bring_a_superseded_instance_back() {
    let mut registry = InstanceRegistry::default();
    registry.heartbeat(ready("a", 7), NOW);
    assert_eq!(registry.heartbeat(ready("b", 1), NOW), HeartbeatVerdict::Opened);
    assert_eq!(registry.heartbeat(ready("a", 8), NOW), HeartbeatVerdict::Stale);
    assert_eq!(registry.open().map(|open| open.id.name.as_str()), Some("b"));
}

/// An event about the back ends at one address.
#[derive(Debug, Clone, Copy)]
enum Step {
    Ready(&'static str, u64),
    Draining(&'static str, u64),
    Departed(&'static str),
    /// The back end answered a call for the instance as another one.
    Misdirected(&'static str),
    Unreachable(&'static str),
    /// No event for this many seconds.
    Silence(u64),
}

/// Events, each with the instance that takes calls afterwards.
struct SupersessionCase {
    name: &'static str,
    steps: &'static [(Step, Option<&'static str>)],
}

/// `a` crashes and `b` starts at its address, unless a case says otherwise.
const SUPERSESSIONS: [SupersessionCase; 15] = [
    SupersessionCase {
        name: "a restarted daemon hears the new instance first, then the crashed one",
        steps: &[
            (Step::Ready("b", 3), Some("b")),
            (Step::Ready("a", 7), Some("a")),
            (Step::Ready("b", 4), Some("b")),
            (Step::Ready("a", 8), Some("b")),
        ],
    },
    SupersessionCase {
        name: "a restarted daemon hears the crashed one first",
        steps: &[
            (Step::Ready("a", 7), Some("a")),
            (Step::Ready("b", 3), Some("b")),
            (Step::Ready("b", 4), Some("b")),
            (Step::Ready("a", 8), Some("b")),
        ],
    },
    SupersessionCase {
        name: "several late heartbeats come at once",
        steps: &[
            (Step::Ready("a", 7), Some("a")),
            (Step::Ready("b", 1), Some("b")),
            (Step::Ready("a", 8), Some("b")),
            (Step::Ready("a", 9), Some("a")),
            (Step::Ready("b", 2), Some("b")),
        ],
    },
    SupersessionCase {
        name: "late heartbeats between those of the new instance",
        steps: &[
            (Step::Ready("a", 7), Some("a")),
            (Step::Ready("b", 1), Some("b")),
            (Step::Ready("a", 8), Some("b")),
            (Step::Ready("b", 2), Some("b")),
            (Step::Ready("a", 9), Some("b")),
        ],
    },
    SupersessionCase {
        name: "the first heartbeat of the crashed one is the late one",
        steps: &[
            (Step::Ready("b", 1), Some("b")),
            (Step::Ready("a", 1), Some("a")),
            (Step::Ready("b", 2), Some("a")),
            (Step::Ready("b", 3), Some("b")),
        ],
    },
    SupersessionCase {
        name: "a repeated heartbeat does not refute a supersession",
        steps: &[
            (Step::Ready("b", 3), Some("b")),
            (Step::Ready("a", 7), Some("a")),
            (Step::Ready("b", 3), Some("a")),
            (Step::Ready("b", 2), Some("a")),
        ],
    },
    SupersessionCase {
        name: "the back end answers as another one",
        steps: &[
            (Step::Ready("b", 1), Some("b")),
            (Step::Ready("a", 1), Some("a")),
            (Step::Misdirected("a"), Some("b")),
            (Step::Ready("b", 2), Some("b")),
        ],
    },
    SupersessionCase {
        name: "the back end answers as neither",
        steps: &[
            (Step::Ready("b", 1), Some("b")),
            (Step::Ready("a", 1), Some("a")),
            (Step::Misdirected("a"), Some("b")),
            (Step::Misdirected("b"), None),
            (Step::Ready("b", 2), Some("b")),
        ],
    },
    SupersessionCase {
        name: "the back end answers as one that has not registered yet, long after a supersession",
        steps: &[
            (Step::Ready("a", 7), Some("a")),
            (Step::Ready("b", 1), Some("b")),
            (Step::Silence(7), Some("b")),
            (Step::Misdirected("b"), None),
            (Step::Ready("c", 1), Some("c")),
        ],
    },
    SupersessionCase {
        name: "the superseding one can't be reached",
        steps: &[
            (Step::Ready("b", 1), Some("b")),
            (Step::Ready("a", 1), Some("a")),
            (Step::Unreachable("a"), None),
            (Step::Ready("b", 2), Some("b")),
        ],
    },
    SupersessionCase {
        name: "an instance that departed after it was superseded never comes back",
        steps: &[
            (Step::Ready("a", 7), Some("a")),
            (Step::Ready("b", 1), Some("b")),
            (Step::Departed("a"), Some("b")),
            (Step::Ready("a", 8), Some("b")),
            (Step::Ready("a", 9), Some("b")),
            (Step::Misdirected("b"), None),
            (Step::Ready("a", 10), None),
        ],
    },
    SupersessionCase {
        name: "nor one that drained before or after it",
        steps: &[
            (Step::Ready("a", 7), Some("a")),
            (Step::Draining("a", 8), None),
            (Step::Ready("b", 1), Some("b")),
            (Step::Ready("c", 1), Some("c")),
            (Step::Draining("b", 2), Some("c")),
            (Step::Misdirected("c"), None),
            (Step::Ready("a", 9), None),
            (Step::Ready("a", 10), None),
            (Step::Ready("b", 3), None),
            (Step::Ready("b", 4), None),
        ],
    },
    SupersessionCase {
        name: "nor one that drains when the superseding one has gone",
        steps: &[
            (Step::Ready("a", 7), Some("a")),
            (Step::Ready("b", 1), Some("b")),
            (Step::Departed("b"), None),
            (Step::Draining("a", 8), None),
            (Step::Ready("a", 9), None),
            (Step::Ready("a", 10), None),
        ],
    },
    SupersessionCase {
        name: "more crashed ones are heard than are remembered",
        steps: &[
            (Step::Ready("b", 1), Some("b")),
            (Step::Ready("a1", 1), Some("a1")),
            (Step::Ready("a2", 1), Some("a2")),
            (Step::Ready("a3", 1), Some("a3")),
            (Step::Ready("a4", 1), Some("a4")),
            (Step::Ready("a5", 1), Some("a5")),
            (Step::Ready("b", 2), Some("b")),
        ],
    },
    SupersessionCase {
        name: "a late draining heartbeat closes no other instance",
        steps: &[
            (Step::Ready("b", 1), Some("b")),
            (Step::Draining("a", 9), Some("b")),
            (Step::Ready("a", 10), Some("b")),
            (Step::Ready("a", 11), Some("b")),
        ],
    },
];

#[test]
fn a_wrong_supersession_is_refuted_by_later_events() {
    for case in SUPERSESSIONS {
        let mut registry = InstanceRegistry::default();
        let mut now = NOW;
        for (step, open) in case.steps {
            match *step {
                Step::Ready(instance, sequence) => {
                    registry.heartbeat(ready(instance, sequence), now);
                }
                Step::Draining(instance, sequence) => {
                    registry.heartbeat(draining(instance, sequence), now);
                }
                Step::Departed(instance) => {
                    registry.depart(&InstanceId::named(instance));
                }
                Step::Misdirected(instance) => {
                    registry.refute(&InstanceId::named(instance), now);
                }
                Step::Silence(seconds) => now = now.plus(seconds * SECOND),
                Step::Unreachable(instance) => {
                    registry.suspend(&InstanceId::named(instance));
                }
            }
            let now_open = registry.open().map(|open| open.id.name.as_str());
            assert_eq!(now_open, *open, "{}: after {step:?}", case.name);
        }
    }
}

#[test]
fn departures_are_bounded_and_the_latest_are_kept() {
    let mut registry = InstanceRegistry::default();
    for number in 0..2 * REMEMBERED_DEPARTURES {
        registry.depart(&InstanceId::named(number.to_string()));
    }
    assert_eq!(registry.departed().count(), REMEMBERED_DEPARTURES);
    assert!(registry.has_departed(&InstanceId::named((2 * REMEMBERED_DEPARTURES - 1).to_string())));
}

#[test]
fn an_instance_that_can_not_be_reached_is_closed_until_its_next_heartbeat() {
    let mut registry = InstanceRegistry::default();
    let id = InstanceId::named("a");
    registry.heartbeat(ready("a", 1), NOW);
    assert!(registry.suspend(&id));
    assert!(!registry.suspend(&id));
    assert!(registry.open().is_none());
    assert_eq!(registry.heartbeat(ready("a", 1), NOW), HeartbeatVerdict::Stale);
    assert!(registry.open().is_none());
    assert_eq!(registry.heartbeat(ready("a", 2), NOW), HeartbeatVerdict::Opened);
    assert!(registry.open().is_some());
}

fn started_at(name: &str, born: u64) -> InstanceId {
    InstanceId { name: name.into(), born: Some(born) }
}

/// Heartbeats of instances of one name, each as (start time, sequence, state), and the instance that takes calls
/// afterwards.
struct RestartCase {
    name: &'static str,
    steps: &'static [(Option<u64>, u64, InstanceState)],
    open: Option<Option<u64>>,
}

const RESTARTS: [RestartCase; 7] = [
    RestartCase {
        name: "a later instance counts from its first heartbeat",
        steps: &[(Some(5), 40, InstanceState::Ready), (Some(9), 1, InstanceState::Ready)],
        open: Some(Some(9)),
    },
    RestartCase {
        name: "a late heartbeat of an earlier instance has no effect",
        steps: &[
            (Some(5), 40, InstanceState::Ready),
            (Some(9), 1, InstanceState::Ready),
            (Some(5), 41, InstanceState::Ready),
            (Some(5), 42, InstanceState::Ready),
        ],
        open: Some(Some(9)),
    },
    RestartCase {
        name: "nor has its late draining heartbeat",
        steps: &[
            (Some(5), 40, InstanceState::Ready),
            (Some(9), 1, InstanceState::Ready),
            (Some(5), 43, InstanceState::Draining),
        ],
        open: Some(Some(9)),
    },
    RestartCase {
        name: "an earlier instance that drained does not close the later one",
        steps: &[(Some(5), 40, InstanceState::Draining), (Some(9), 1, InstanceState::Ready)],
        open: Some(Some(9)),
    },
    RestartCase {
        name: "a late heartbeat of an earlier instance never opens it",
        steps: &[(Some(9), 3, InstanceState::Draining), (Some(5), 41, InstanceState::Ready)],
        open: None,
    },
    RestartCase {
        name: "without a start time, the sequence decides",
        steps: &[(None, 40, InstanceState::Ready), (None, 1, InstanceState::Draining)],
        open: Some(None),
    },
    RestartCase {
        name: "a heartbeat without a start time is of the registered instance",
        steps: &[(Some(5), 4, InstanceState::Ready), (None, 5, InstanceState::Draining)],
        open: None,
    },
];

#[test]
fn instances_of_one_name_are_told_apart_by_their_start_time() {
    for case in RESTARTS {
        let mut registry = InstanceRegistry::default();
        for (born, sequence, state) in case.steps {
            let instance = InstanceId { name: "a".into(), born: *born };
            let heartbeat = Heartbeat { instance, ..heartbeat("a", *sequence, *state) };
            registry.heartbeat(heartbeat, NOW);
        }
        assert_eq!(registry.open().map(|open| open.id.born), case.open, "{}", case.name);
    }
}

#[test]
fn a_departure_covers_instances_of_its_name_up_to_its_start_time() {
    let mut registry = InstanceRegistry::default();
    registry.depart(&started_at("a", 5));
    let beat = |born, sequence| Heartbeat { instance: started_at("a", born), ..ready("a", sequence) };
    assert_eq!(registry.heartbeat(beat(4, 9), NOW), HeartbeatVerdict::Stale);
    assert_eq!(registry.heartbeat(beat(5, 9), NOW), HeartbeatVerdict::Stale);
    assert_eq!(registry.heartbeat(beat(6, 1), NOW), HeartbeatVerdict::Opened);
    assert!(!registry.depart(&started_at("a", 5)), "repeated late");
    assert!(registry.open().is_some());
    assert!(registry.depart(&started_at("a", 6)));
}
