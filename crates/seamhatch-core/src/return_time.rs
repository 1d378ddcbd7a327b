//! Return times: when a refused caller should come back.
//!
//! Decides the span of `Retry-After` for each refusal; which rule a reason follows stands in [`crate::refusal`]. All
//! spans are in microseconds and before jitter, which the listener adds last by [`jittered`]. The inputs are read at the
//! moment of the refusal.
//!
//! It protects a service under overload from meeting the same callers again at once, and callers from staying away
//! longer than the overload lasts. An overload that has lasted for a while is expected to last about as long again; the
//! drain time of the entry's own queue has nothing to do with a bottleneck further down.
//! Alternatives: docs/DESIGN.md#when-to-come-back.

use crate::clock::{MILLISECOND, Microseconds, SECOND};

/// Sent by the daemon that took the request where the reason has nothing to do with load.
pub const DEFAULT_RETURN: Microseconds = 500 * MILLISECOND;

/// Shortest span that is sent: sooner, little will have changed.
pub const SHORTEST_RETURN: Microseconds = 200 * MILLISECOND;

/// Longest span after a refusal at the entry: callers have a few seconds in all, and an overload may end at any
/// moment.
pub const LONGEST_RETURN: Microseconds = 2 * SECOND;

/// Sent by the daemon beside the server where the reason has nothing to do with load.
pub const SERVER_RETURN: Microseconds = SHORTEST_RETURN;

/// Sent where no daemon that holds a shard of the tenant's limit answers: a lost shard is taken
/// over by another daemon within seconds.
pub const SHARD_RETURN: Microseconds = 500 * MILLISECOND;

/// Sent where the daemon can't prove that its keys are the newest: it asks the store again
/// within about this time.
pub const PROOF_RETURN: Microseconds = 500 * MILLISECOND;

/// Sent near the end of a planned stop: a restarted daemon usually serves again by then.
pub const RESTART_RETURN: Microseconds = 800 * MILLISECOND;

/// Shortest span that the gate of a server sends.
const SHORTEST_QUEUE_RETURN: Microseconds = 100 * MILLISECOND;

/// Longest span that the gate of a server sends.
const LONGEST_QUEUE_RETURN: Microseconds = 10 * SECOND;

/// Part of the span that is added at random at most, so that callers refused together come back apart.
const RETURN_JITTER: f64 = 0.5;

/// Share of the callers coming back at the last moment that are to be answered within their objective. Measured on a
/// day of scaling with a service at its limit: 1,110 answers came late with 0.9, 1,337 with the median, 2,868 without
/// any such bound; as many requests were refused.
pub const EARLY_SHARE: f64 = 0.9;

/// After a refusal at the entry: `closed_for` is the time since when the service has not admitted everything,
/// `usual_answer` the time within which [`EARLY_SHARE`] of the requests of this kind are answered, and `objective` the time
/// within which the answer counts as early.
///
/// A caller comes back sooner than the overload suggests where its answer can then still be early. Where no return could
/// make it early, it gets the expected time.
#[must_use]
pub fn after_overload(
    closed_for: Microseconds,
    usual_answer: Microseconds,
    objective: Microseconds,
) -> Microseconds {
    let expected = closed_for.clamp(SHORTEST_RETURN, LONGEST_RETURN);
    let last_early = (objective.saturating_sub(usual_answer) as f64 / (1.0 + RETURN_JITTER)) as Microseconds;
    if last_early < SHORTEST_RETURN { expected } else { expected.min(last_early) }
}

/// After a refusal at a server's gate whose queue takes `wait` to drain.
#[must_use]
pub fn after_queue(wait: Microseconds) -> Microseconds {
    wait.clamp(SHORTEST_QUEUE_RETURN, LONGEST_QUEUE_RETURN)
}

/// After a refusal of the back end that states this span itself.
#[must_use]
pub fn as_stated(span: Microseconds) -> Microseconds {
    after_queue(span)
}

/// For a tenant at its limit: `room_in` is the time until a shard may be asked again, none where none is waited for.
#[must_use]
pub fn at_limit(room_in: Option<Microseconds>) -> Microseconds {
    room_in.unwrap_or_default().max(SHORTEST_RETURN)
}

/// The span with jitter; `random` is drawn evenly from 0 to 1.
#[must_use]
pub fn jittered(span: Microseconds, random: f64) -> Microseconds {
    (span as f64 * (1.0 + RETURN_JITTER * random)) as Microseconds
}
