//! Shrinking a plan, with a rule that says which plans fail in place of a soak.

use seamhatch_lab::soak::fault::SoakFault;
use seamhatch_lab::soak::fleet::SERVERS;
use seamhatch_lab::soak::plan::{PlannedFault, SoakPlan};
use seamhatch_lab::soak::shrink::shrink;

const MOST_TRIES: usize = 100;

/// A plan with this many faults, distinguished by their daemons.
fn plan(faults: usize) -> SoakPlan {
    let fault = |daemon| PlannedFault {
        at_ms: 100 * daemon as u64,
        for_ms: 100,
        fault: SoakFault::PlannedStop { daemon },
    };
    let faults = (0..faults).map(fault).collect();
    SoakPlan { seed: 1, seconds: 60, rate: 10.0, clients: 0, servers: SERVERS, faults }
}

fn daemons(plan: &SoakPlan) -> Vec<usize> {
    plan.faults.iter().flat_map(|planned| planned.fault.daemons()).collect()
}

/// A plan fails while it has all of these faults.
struct ShrinkCase {
    name: &'static str,
    faults: usize,
    culprits: &'static [usize],
    most_tries: usize,
    left: &'static [usize],
    complete: bool,
}

const CASES: [ShrinkCase; 7] = [
    ShrinkCase {
        name: "one of many",
        faults: 20,
        culprits: &[13],
        most_tries: MOST_TRIES,
        left: &[13],
        complete: true,
    },
    ShrinkCase {
        name: "the first",
        faults: 7,
        culprits: &[0],
        most_tries: MOST_TRIES,
        left: &[0],
        complete: true,
    },
    ShrinkCase {
        name: "both ends",
        faults: 16,
        culprits: &[0, 15],
        most_tries: MOST_TRIES,
        left: &[0, 15],
        complete: true,
    },
    ShrinkCase {
        name: "all",
        faults: 5,
        culprits: &[0, 1, 2, 3, 4],
        most_tries: MOST_TRIES,
        left: &[0, 1, 2, 3, 4],
        complete: true,
    },
    ShrinkCase {
        name: "fails without any",
        faults: 9,
        culprits: &[],
        most_tries: MOST_TRIES,
        left: &[],
        complete: true,
    },
    ShrinkCase {
        name: "no faults",
        faults: 0,
        culprits: &[],
        most_tries: MOST_TRIES,
        left: &[],
        complete: true,
    },
    ShrinkCase {
        name: "given up",
        faults: 8,
        culprits: &[2, 7],
        most_tries: 3,
        left: &[2, 3, 4, 5, 6, 7],
        complete: false,
    },
];

#[test]
fn what_is_left_fails_and_nothing_of_it_can_be_dropped() {
    for case in CASES {
        let fails = |plan: &SoakPlan| case.culprits.iter().all(|culprit| daemons(plan).contains(culprit));
        let shrunk = shrink(&plan(case.faults), case.most_tries, fails);
        assert_eq!(daemons(&shrunk.plan), case.left, "{}", case.name);
        assert_eq!(shrunk.complete, case.complete, "{}", case.name);
        assert!(shrunk.tries <= case.most_tries, "{}", case.name);
    }
}
