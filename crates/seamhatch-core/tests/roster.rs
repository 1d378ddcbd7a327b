//! Changes of witnesses while daemons stop gracefully and start.

use seamhatch_core::claims::Epoch;
use seamhatch_core::identity::{Address, Incarnation};
use seamhatch_core::roster::{
    Assignment, ShardRoster, WitnessCandidate, WitnessHealth, WitnessId, plan_change,
};

fn witness(number: u8) -> WitnessId {
    let daemon: Address = format!("127.0.0.{number}:1").parse().expect("valid");
    WitnessId { daemon, incarnation: Incarnation(1) }
}

fn assignment(epoch: u64, witnesses: &[u8]) -> Assignment {
    Assignment { epoch: Epoch(epoch), witnesses: witnesses.iter().copied().map(witness).collect() }
}

/// State of the witnesses 1, 2 and 3, and the candidates to replace them.
struct PlanCase {
    name: &'static str,
    leaving: &'static [u8],
    unreachable: &'static [u8],
    unknown: &'static [u8],
    ready: &'static [u8],
    starting: &'static [u8],
    /// Witnesses after the change, in any order; `None` if nothing changes.
    next: Option<&'static [u8]>,
}

/// A daemon that shut down gracefully used to leave its shards without a majority if no other daemon took work at
/// that moment. A daemon that had just started used to treat witnesses that it did not know yet as dead.
#[test]
fn a_leaving_witness_is_replaced_or_dropped() {
    let cases = [
        PlanCase {
            name: "all stay",
            leaving: &[],
            unreachable: &[],
            unknown: &[],
            ready: &[1, 2, 3, 4],
            starting: &[],
            next: None,
        },
        PlanCase {
            name: "a ready daemon replaces it",
            leaving: &[1],
            unreachable: &[],
            unknown: &[],
            ready: &[2, 3, 4],
            starting: &[],
            next: Some(&[2, 3, 4]),
        },
        PlanCase {
            name: "a ready daemon is preferred to a starting one",
            leaving: &[1],
            unreachable: &[],
            unknown: &[],
            ready: &[2, 3, 4],
            starting: &[5, 6, 7],
            next: Some(&[2, 3, 4]),
        },
        PlanCase {
            name: "only a starting daemon is left",
            leaving: &[1],
            unreachable: &[],
            unknown: &[],
            ready: &[2, 3],
            starting: &[5],
            next: Some(&[2, 3, 5]),
        },
        PlanCase {
            name: "no daemon can replace it",
            leaving: &[1],
            unreachable: &[],
            unknown: &[],
            ready: &[2, 3],
            starting: &[],
            next: Some(&[2, 3]),
        },
        PlanCase {
            name: "two stop and one is left",
            leaving: &[1, 2],
            unreachable: &[],
            unknown: &[],
            ready: &[3],
            starting: &[],
            next: Some(&[3]),
        },
        PlanCase {
            name: "a witness is unreachable and no daemon can replace it",
            leaving: &[],
            unreachable: &[1],
            unknown: &[],
            ready: &[2, 3],
            starting: &[],
            next: None,
        },
        PlanCase {
            name: "all stop",
            leaving: &[1, 2, 3],
            unreachable: &[],
            unknown: &[],
            ready: &[],
            starting: &[],
            next: None,
        },
    ];
    for case in cases {
        let shard = ShardRoster { current: assignment(1, &[1, 2, 3]), previous: Vec::new() };
        let health = |id: &WitnessId| match id {
            id if case.leaving.iter().any(|number| witness(*number) == *id) => WitnessHealth::Leaving,
            id if case.unreachable.iter().any(|number| witness(*number) == *id) => WitnessHealth::Unreachable,
            id if case.unknown.iter().any(|number| witness(*number) == *id) => WitnessHealth::Unknown,
            _ => WitnessHealth::Live,
        };
        let candidate = |number: &u8, ready| WitnessCandidate {
            id: witness(*number),
            zone: format!("zone-{number}"),
            ready,
        };
        let ready = case.ready.iter().map(|number| candidate(number, true));
        let starting = case.starting.iter().map(|number| candidate(number, false));
        let candidates: Vec<WitnessCandidate> = ready.chain(starting).collect();
        let next = plan_change(0, &shard, true, health, &candidates);
        let next = next.map(|next| {
            let mut witnesses = next.current.witnesses;
            witnesses.sort_unstable();
            witnesses
        });
        assert_eq!(next, case.next.map(|next| assignment(2, next).witnesses), "{}", case.name);
    }
}

/// Whether the process of witness 1 may end.
struct ReleaseCase {
    name: &'static str,
    current: Assignment,
    previous: Vec<Assignment>,
    /// The last epoch that was installed at witness 1.
    installed: Option<u64>,
    released: bool,
}

/// Claims that only a coordinator holds after their witness has stopped are lost if the coordinator ends too.
#[test]
fn a_witness_is_released_once_the_roster_no_longer_lists_it() {
    let cases = [
        ReleaseCase {
            name: "never a witness",
            current: assignment(3, &[2, 3, 4]),
            previous: vec![],
            installed: None,
            released: true,
        },
        ReleaseCase {
            name: "a witness",
            current: assignment(3, &[1, 2, 3]),
            previous: vec![],
            installed: Some(3),
            released: false,
        },
        ReleaseCase {
            name: "chosen, and not installed yet",
            current: assignment(3, &[1, 2, 3]),
            previous: vec![],
            installed: None,
            released: false,
        },
        ReleaseCase {
            name: "replaced, and the new ones are not confirmed",
            current: assignment(4, &[2, 3, 4]),
            previous: vec![assignment(3, &[1, 2, 3])],
            installed: Some(3),
            released: false,
        },
        ReleaseCase {
            name: "replaced and confirmed",
            current: assignment(4, &[2, 3, 4]),
            previous: vec![],
            installed: Some(3),
            released: true,
        },
        ReleaseCase {
            name: "by a roster that is older than the epoch installed at it",
            current: assignment(4, &[2, 3, 4]),
            previous: vec![],
            installed: Some(5),
            released: false,
        },
    ];
    for ReleaseCase { name, current, previous, installed, released } in cases {
        let shard = ShardRoster { current, previous };
        assert_eq!(shard.has_released(&witness(1), installed.map(Epoch)), released, "{name}");
    }
}
