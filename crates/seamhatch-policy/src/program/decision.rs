//! What a program decides for a request: the result of each function, its default where it is absent, and the
//! bounds that the route sets. A route's word may forbid a repeat and lower retries and deadline, never more.

use super::script::{CLASSIFY, DEADLINE, FunctionFailure, PolicyScript, REPEATABLE, RETRIES, STOP_SENDING};
use super::view::ServerView;
use crate::document::RouteAttributes;
use rhai::Map;
use seamhatch_core::claims::MAX_REQUEST_LIFETIME;
use seamhatch_core::clock::{MILLISECOND, Microseconds};
use seamhatch_core::priority::PriorityClass;
use serde::Serialize;

/// Most retries that a policy may allow one request. Chosen, not measured.
const MAX_RETRIES: i64 = 100;
/// Retries without a `retries` function and a route's `dispatches`. Chosen, not measured.
const DEFAULT_RETRIES: u32 = 2;
/// Deadline without a `deadline_ms` function and a route's time-out. Chosen, not measured.
pub(super) const DEFAULT_DEADLINE: Microseconds = 10_000 * MILLISECOND;
/// Longest deadline, in milliseconds: claims are remembered for longer than any request lives.
const MAX_DEADLINE_MS: i64 = (MAX_REQUEST_LIFETIME / MILLISECOND) as i64;

/// What the policy decided for a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Decision {
    /// Order of shedding.
    pub class: PriorityClass,
    /// Retry tokens of the whole request.
    pub retries: u32,
    /// Time from admission to expiry.
    pub deadline: Microseconds,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Functions that failed, for which the safe default stands.
    pub failed: Vec<&'static str>,
}

pub(super) fn class(
    script: &PolicyScript,
    argument: &Map,
    rank: Option<u8>,
) -> Result<PriorityClass, FunctionFailure> {
    const WANTED: &str = "\"critical\", \"normal\", \"bulk\" or \"background\"";
    let Some(value) = script.run(CLASSIFY, argument.clone())? else {
        return Ok(class_of_rank(rank));
    };
    let unusable = FunctionFailure::of_result(&value, WANTED);
    let Ok(name) = value.into_string() else { return Err(unusable) };
    name.parse().map_err(|_| unusable)
}

pub(super) fn retries(
    script: &PolicyScript,
    argument: &Map,
    attributes: &RouteAttributes,
) -> Result<u32, FunctionFailure> {
    let value = script.integer(RETRIES, argument, 0..=MAX_RETRIES, "an integer from 0 to 100")?;
    let most = attributes.dispatches.map(|dispatches| dispatches.saturating_sub(1));
    let retries = value.map_or(most.unwrap_or(DEFAULT_RETRIES), |retries| retries as u32);
    Ok(retries.min(most.unwrap_or(u32::MAX)))
}

pub(super) fn deadline(
    script: &PolicyScript,
    argument: &Map,
    attributes: &RouteAttributes,
) -> Result<Microseconds, FunctionFailure> {
    let value = script.integer(DEADLINE, argument, 1..=MAX_DEADLINE_MS, "an integer from 1 to 120000")?;
    let deadline = value.map_or(MAX_DEADLINE_MS as u64, |milliseconds| milliseconds as u64);
    let unbounded = value.is_none() && attributes.timeout_ms.is_none();
    let deadline = if unbounded { DEFAULT_DEADLINE } else { deadline * MILLISECOND };
    Ok(bounded_deadline(deadline, attributes))
}

/// A deadline within the route's time-out.
pub(super) fn bounded_deadline(deadline: Microseconds, attributes: &RouteAttributes) -> Microseconds {
    attributes.timeout_ms.map_or(deadline, |timeout| deadline.min(timeout.saturating_mul(MILLISECOND)))
}

/// Whether a request may run more than once. `otherwise` decides where neither the route nor the policy does.
pub(super) fn repeatable(
    script: &PolicyScript,
    argument: &Map,
    attributes: &RouteAttributes,
    otherwise: impl Fn() -> bool,
) -> Result<bool, FunctionFailure> {
    let allowed = attributes.repeatable;
    let wanted = script.boolean(REPEATABLE, argument.clone())?;
    Ok(match (allowed, wanted) {
        (Some(allowed), Some(wanted)) => allowed && wanted,
        (Some(allowed), None) => allowed,
        (None, Some(wanted)) => wanted,
        (None, None) => otherwise(),
    })
}

pub(super) fn stop_sending(script: &PolicyScript, server: &ServerView) -> Result<bool, FunctionFailure> {
    Ok(script.boolean(STOP_SENDING, server.to_map())?.unwrap_or(false))
}

/// The class of a rank where the policy does not say.
fn class_of_rank(rank: Option<u8>) -> PriorityClass {
    let Some(rank) = rank else { return PriorityClass::Normal };
    PriorityClass::ALL.get(usize::from(rank)).copied().unwrap_or(PriorityClass::Background)
}
