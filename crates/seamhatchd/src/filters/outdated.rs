//! Reports requests whose configuration may be outdated: a newer one is known here, or nothing has proved for too long that
//! there is none.

use crate::base::clock;
use crate::base::metrics::OutdatedCause;
use crate::filters::RequestState;
use crate::shared::Shared;
use log::info;
use seamhatch_core::clock::{MILLISECOND, Microseconds, SECOND};

/// Age of the proof beyond which the configuration in force may be outdated, in microseconds.
const MAX_PROOF_AGE: Microseconds = 2 * SECOND;

/// Counts and logs a request that a configuration decides which may be outdated.
pub(super) fn report(shared: &Shared, request: &RequestState) {
    if request.configuration.is_none() {
        return;
    }
    let now = clock::now();
    let proof = shared.limits.freshness.standing(now);
    let Some(newer) = shared.control.newer_generation(now) else {
        if proof.is_some_and(|proof| proof.age > MAX_PROOF_AGE) {
            // Not logged: while the store is out, this holds for every request.
            shared.metrics.outdated_decision(OutdatedCause::NoProof);
        }
        return;
    };
    shared.metrics.outdated_decision(OutdatedCause::NewerKnown);
    info!(
        request = request.log_name().as_str(),
        generation = request.generation().0,
        newer = newer.generation.0,
        known_ms = now.since(newer.at) / MILLISECOND,
        known_from = newer.source.to_string().as_str(),
        proof_ms = proof.map(|proof| proof.age / MILLISECOND),
        proof_from = proof.map_or_else(String::new, |proof| proof.source.to_string()).as_str();
        "request decided by an outdated configuration"
    );
}
