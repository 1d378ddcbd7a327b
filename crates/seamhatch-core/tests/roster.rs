//! Changes of witnesses while daemons stop and start in order.

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

/// Witnesses 1, 2 and 3; what becomes of them, and who could take their place.
struct PlanCase {
    name: &'static str,
    leaving: &'static [u8],
    gone: &'static [u8],
    unknown: &'static [u8],
    ready: &'static [u8],
    starting: &'static [u8],
    /// Those that follow, in any order; none where nothing is to change.
    next: Option<&'static [u8]>,
}

/// A daemon that stops in order left its shards without a majority where nobody else took work at that moment. One that had just started
/// took the witnesses that it did not know yet for gone.
#[test]
fn a_witness_that_stops_is_replaced_or_dropped() {
    let cases = [
        PlanCase {
            name: "all stay",
            leaving: &[],
            gone: &[],
            unknown: &[],
            ready: &[1, 2, 3, 4],
            starting: &[],
            next: None,
        },
        PlanCase {
            name: "another takes its place",
            leaving: &[1],
            gone: &[],
            unknown: &[],
            ready: &[2, 3, 4],
            starting: &[],
            next: Some(&[2, 3, 4]),
        },
        PlanCase {
            name: "one that takes work goes before one that starts",
            leaving: &[1],
            gone: &[],
            unknown: &[],
            ready: &[2, 3, 4],
            starting: &[5, 6, 7],
            next: Some(&[2, 3, 4]),
        },
        PlanCase {
            name: "only one that starts is left",
            leaving: &[1],
            gone: &[],
            unknown: &[],
            ready: &[2, 3],
            starting: &[5],
            next: Some(&[2, 3, 5]),
        },
        PlanCase {
            name: "nobody can take its place",
            leaving: &[1],
            gone: &[],
            unknown: &[],
            ready: &[2, 3],
            starting: &[],
            next: Some(&[2, 3]),
        },
        PlanCase {
            name: "two stop and one is left",
            leaving: &[1, 2],
            gone: &[],
            unknown: &[],
            ready: &[3],
            starting: &[],
            next: Some(&[3]),
        },
        PlanCase {
            name: "a witness is gone and nobody can take its place",
            leaving: &[],
            gone: &[1],
            unknown: &[],
            ready: &[2, 3],
            starting: &[],
            next: None,
        },
        PlanCase {
            name: "all stop",
            leaving: &[1, 2, 3],
            gone: &[],
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
            id if case.gone.iter().any(|number| witness(*number) == *id) => WitnessHealth::Unreachable,
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

/// Whether witness 1 may end.
struct ReleaseCase {
    name: &'static str,
    current: Assignment,
    previous: Vec<Assignment>,
    /// The last epoch that was installed at it.
    installed: Option<u64>,
    released: bool,
}

/// A stopped witness whose claims lay only with a coordinator was gone with them when that ended too.
#[test]
fn a_witness_is_released_when_the_roster_lists_it_no_more() {
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
            name: "by a roster that is older than what it serves",
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
