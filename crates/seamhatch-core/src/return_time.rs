//! Return times: when a refused caller should come back.
//!
//! Decides the span of `Retry-After` for each refusal; [`crate::refusal`] assigns a rule to each reason. All
//! spans are in microseconds and before jitter, which the listener adds last with [`jittered`]. The inputs
//! are read at the moment of the refusal.
//!
//! The rules keep refused callers from returning immediately to an overloaded service, and from staying away longer
//! than the overload lasts. An overload is expected to last about as long again as it has lasted so far; the drain
//! time of the entry's own queue says nothing about a bottleneck further down. Alternatives:
//! docs/DESIGN.md#when-to-come-back.

use crate::clock::{MILLISECOND, Microseconds, SECOND};

/// Sent by the daemon that took the request if the reason is unrelated to load.
pub const DEFAULT_RETURN: Microseconds = 500 * MILLISECOND;

/// Minimum span that is sent after a refusal at the entry; little changes in less time.
pub const MIN_RETURN: Microseconds = 200 * MILLISECOND;

/// Maximum span after a refusal at the entry: callers wait a few seconds in total, and an overload may end at
/// any moment.
pub const MAX_RETURN: Microseconds = 2 * SECOND;

/// Sent by the daemon beside the server if the reason is unrelated to load.
pub const SERVER_RETURN: Microseconds = MIN_RETURN;

/// Sent if no daemon that holds a shard of the tenant's limit answers. Another daemon takes over a lost shard
/// within seconds.
pub const SHARD_RETURN: Microseconds = 500 * MILLISECOND;

/// Sent if the daemon cannot prove that its keys are the newest. It asks the store again within about this
/// time.
pub const PROOF_RETURN: Microseconds = 500 * MILLISECOND;

/// Sent near the end of a planned stop; a restarted daemon usually serves again by then.
pub const RESTART_RETURN: Microseconds = 800 * MILLISECOND;

/// Minimum span that the gate of a server sends.
const MIN_QUEUE_RETURN: Microseconds = 100 * MILLISECOND;

/// Maximum span that the gate of a server sends.
const MAX_QUEUE_RETURN: Microseconds = 10 * SECOND;

/// Maximum part of the span that is added at random, so that callers that were refused together return at
/// different times.
const RETURN_JITTER: f64 = 0.5;

/// A caller that returns at the latest advised time should be answered within its objective with this
/// probability. With the median instead, or without this bound, more answers come late while as many requests
/// are refused.
pub const ON_TIME_SHARE: f64 = 0.9;

/// Return time after a refusal at the entry. `closed_for` is the time since the service last admitted
/// everything, `answer_time` the time within which [`ON_TIME_SHARE`] of the requests of this kind are
/// answered, and `objective` the time within which an answer counts as on time.
///
/// A caller returns earlier than the overload suggests if its answer can then still be on time. If no return
/// time achieves that, the caller gets the expected end of the overload.
#[must_use]
pub fn after_overload(
    closed_for: Microseconds,
    answer_time: Microseconds,
    objective: Microseconds,
) -> Microseconds {
    let expected = closed_for.clamp(MIN_RETURN, MAX_RETURN);
    let latest_on_time =
        (objective.saturating_sub(answer_time) as f64 / (1.0 + RETURN_JITTER)) as Microseconds;
    if latest_on_time < MIN_RETURN { expected } else { expected.min(latest_on_time) }
}

/// Return time after a refusal at the gate of a server whose queue takes `wait` to drain.
#[must_use]
pub fn after_queue(wait: Microseconds) -> Microseconds {
    wait.clamp(MIN_QUEUE_RETURN, MAX_QUEUE_RETURN)
}

/// Return time after a refusal by a back end that states this span itself.
#[must_use]
pub fn as_stated(span: Microseconds) -> Microseconds {
    after_queue(span)
}

/// Return time for a tenant at its limit. `next_ask_in` is the time until a shard may be asked again; `None`
/// if no shard is waited for.
#[must_use]
pub fn at_limit(next_ask_in: Option<Microseconds>) -> Microseconds {
    next_ask_in.unwrap_or_default().max(MIN_RETURN)
}

/// Adds jitter to the span; `random` is drawn uniformly from 0 to 1.
#[must_use]
pub fn jittered(span: Microseconds, random: f64) -> Microseconds {
    (span as f64 * (1.0 + RETURN_JITTER * random)) as Microseconds
}
