//! Which proofs of freshness count, from when on, and for how long.

use seamhatch_core::Instant;
use seamhatch_core::freshness::{FreshnessProof, FreshnessTracker};
use seamhatch_core::generation::Generation;

#[derive(Debug, Clone, Copy)]
enum Step {
    InForce(u64),
    /// A proof for a generation at an instant.
    Proof(u64, u64),
}

struct ProofCase {
    name: &'static str,
    steps: &'static [Step],
    proved: Option<(u64, u64)>,
}

const CASES: [ProofCase; 8] = [
    ProofCase { name: "no proof", steps: &[Step::InForce(1)], proved: None },
    ProofCase {
        name: "the generation in force",
        steps: &[Step::InForce(1), Step::Proof(1, 10)],
        proved: Some((1, 10)),
    },
    ProofCase {
        name: "an older generation",
        steps: &[Step::InForce(3), Step::Proof(1, 10)],
        proved: Some((3, 10)),
    },
    ProofCase {
        name: "a newer generation does not count",
        steps: &[Step::InForce(1), Step::Proof(2, 10)],
        proved: None,
    },
    ProofCase {
        name: "until it is in force",
        steps: &[Step::InForce(1), Step::Proof(2, 10), Step::InForce(2)],
        proved: Some((2, 10)),
    },
    ProofCase {
        name: "an older proof changes nothing",
        steps: &[Step::InForce(1), Step::Proof(1, 10), Step::Proof(1, 5)],
        proved: Some((1, 10)),
    },
    ProofCase {
        name: "a newer generation keeps the proof",
        steps: &[Step::InForce(1), Step::Proof(1, 10), Step::InForce(2)],
        proved: Some((2, 10)),
    },
    ProofCase {
        name: "the most recent pending proof counts",
        steps: &[
            Step::InForce(1),
            Step::Proof(3, 20),
            Step::Proof(2, 10),
            Step::InForce(2),
            Step::InForce(3),
        ],
        proved: Some((3, 20)),
    },
];

#[test]
fn a_proof_counts_once_its_generation_is_in_force() {
    for case in CASES {
        let mut tracker = FreshnessTracker::default();
        for step in case.steps {
            match *step {
                Step::InForce(generation) => tracker.set_in_force(Generation(generation)),
                Step::Proof(generation, at) => {
                    tracker.record(FreshnessProof { generation: Generation(generation), at: Instant(at) });
                }
            }
        }
        let proved = tracker.proof().map(|proof| (proof.generation.0, proof.at.0));
        assert_eq!(proved, case.proved, "{}", case.name);
        assert_eq!(tracker.age(Instant(30)), case.proved.map(|(_, at)| 30 - at), "{}", case.name);
    }
}

/// A proof counts up to the operator's bound, less the clock margin.
#[test]
fn a_proof_counts_until_shortly_before_the_bound() {
    let bound = 5_000_000;
    let mut tracker = FreshnessTracker::default();
    assert!(!tracker.is_fresh(bound, Instant(0)), "no proof yet");
    tracker.record(FreshnessProof { generation: Generation(0), at: Instant(1_000_000) });
    for (age, counts) in [(0, true), (4_900_000, true), (4_900_001, false), (5_000_000, false)] {
        assert_eq!(tracker.is_fresh(bound, Instant(1_000_000 + age)), counts, "{age}");
    }
}
