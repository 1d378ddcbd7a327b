//! Which instance of the back end takes work, whatever order its messages arrive in.

use seamhatch_core::Instant;
use seamhatch_core::instance::{
    Heartbeat, HeartbeatVerdict, InstanceId, InstanceRegistry, InstanceState, REMEMBERED_DEPARTURES,
};

const NOW: Instant = Instant(1_000_000);

fn heartbeat(instance: &str, sequence: u64, state: InstanceState) -> Heartbeat {
    Heartbeat { instance: InstanceId(instance.into()), sequence, state, slots: 8, cold_for: 0 }
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
    assert_eq!(registry.heartbeat(ready("a", 2), NOW), HeartbeatVerdict::Known);
    assert_eq!(registry.heartbeat(draining("a", 3), NOW), HeartbeatVerdict::Closed);
    assert!(registry.open().is_none());
}

#[test]
fn a_late_heartbeat_does_not_reopen_an_instance_that_drains() {
    let mut registry = InstanceRegistry::default();
    registry.heartbeat(draining("a", 5), NOW);
    assert_eq!(registry.heartbeat(ready("a", 4), NOW), HeartbeatVerdict::Stale);
    assert_eq!(registry.heartbeat(ready("a", 6), NOW), HeartbeatVerdict::Known);
    assert!(registry.open().is_none());
}

#[test]
fn an_instance_that_departed_never_comes_back() {
    let mut registry = InstanceRegistry::default();
    registry.heartbeat(ready("a", 1), NOW);
    assert!(registry.depart(&InstanceId("a".into())));
    assert_eq!(registry.heartbeat(ready("a", 9), NOW), HeartbeatVerdict::Stale);
    assert_eq!(registry.heartbeat(ready("b", 1), NOW), HeartbeatVerdict::Opened);
    assert!(!registry.depart(&InstanceId("a".into())));
    assert!(registry.open().is_some());
}

/// A daemon that restarted learns from others what departed before the late heartbeat arrives.
#[test]
fn a_departure_that_others_remember_counts_before_any_heartbeat() {
    let mut registry = InstanceRegistry::default();
    assert!(!registry.depart(&InstanceId("a".into())));
    assert_eq!(registry.heartbeat(ready("a", 9), NOW), HeartbeatVerdict::Stale);
}

#[test]
fn a_superseded_instance_never_comes_back() {
    let mut registry = InstanceRegistry::default();
    registry.heartbeat(ready("a", 7), NOW);
    assert_eq!(registry.heartbeat(ready("b", 1), NOW), HeartbeatVerdict::Opened);
    assert_eq!(registry.heartbeat(ready("a", 8), NOW), HeartbeatVerdict::Stale);
    assert_eq!(registry.open().map(|open| open.id.0.as_str()), Some("b"));
}

#[test]
fn departures_are_bounded_and_the_latest_are_kept() {
    let mut registry = InstanceRegistry::default();
    for number in 0..2 * REMEMBERED_DEPARTURES {
        registry.depart(&InstanceId(number.to_string()));
    }
    assert_eq!(registry.departed().count(), REMEMBERED_DEPARTURES);
    assert!(registry.has_departed(&InstanceId((2 * REMEMBERED_DEPARTURES - 1).to_string())));
}

#[test]
fn an_instance_that_can_not_be_reached_is_closed_until_its_next_heartbeat() {
    let mut registry = InstanceRegistry::default();
    let id = InstanceId("a".into());
    registry.heartbeat(ready("a", 1), NOW);
    assert!(registry.suspend(&id));
    assert!(!registry.suspend(&id));
    assert!(registry.open().is_none());
    assert_eq!(registry.heartbeat(ready("a", 1), NOW), HeartbeatVerdict::Stale);
    assert!(registry.open().is_none());
    assert_eq!(registry.heartbeat(ready("a", 2), NOW), HeartbeatVerdict::Opened);
    assert!(registry.open().is_some());
}
