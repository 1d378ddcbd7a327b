//! Overload at the entry: which requests from outside are refused on behalf of the services behind it.
//!
//! Decides whether a request of one kind (service and route) and priority is admitted, and when a refused one may
//! return. Inputs: the lowest admission floor that an answer's chain met, the floor of each service that heartbeats
//! bring (each at most `FLOOR_LIFETIME` old before it begins to rise), and the time that requests of each kind needed
//! from arrival to a good answer, in microseconds.
//!
//! It protects the work done above a service that refuses: a request that would fail at its tenth call is not begun.
//! Floors are kept by service, not by kind of request: a kind whose answers are rare or slow would otherwise find out by
//! itself what the others know. One request has the same priority at every daemon, so the entry's verdict is that of the
//! service below (H. Zhou et al., "Overload Control for Scaling WeChat Microservices", 2018). Alternatives and figures:
//! docs/DESIGN.md#floors-at-the-entry. The daemon's part is `seamhatchd::filters::entry_floor`.

use crate::answer_times::AnswerTimes;
use crate::clock::{Instant, MILLISECOND, Microseconds};
use crate::priority::{AdmissionFloor, Priority};
use crate::return_time;
use std::collections::HashMap;

/// A floor that was not confirmed for this long begins to rise. Chosen, not measured: a little longer than the 400 ms
/// between the heartbeats of idle daemons.
const FLOOR_LIFETIME: Microseconds = 500 * MILLISECOND;

/// A higher floor replaces a lower one only when that is older than this, as another server of the service may still
/// report the lower one.
const LOWER_COUNTS_FOR: Microseconds = FLOOR_LIFETIME / 4;

/// Levels that an unconfirmed floor rises in a millisecond: through all 512 in 1.6 s. It rises instead of opening at
/// once, so that a few requests get through as probes and not a burst. The figure is chosen; that floors rise was
/// measured at four times the capacity of the deepest service: critical work answered 1.000 in four runs, 0.87 to 0.96
/// without.
const LEVELS_PER_MILLISECOND: f64 = 0.32;

/// Kinds of requests that are remembered at most; all are forgotten when there are more.
const MOST_KINDS: usize = 4_096;

/// Services that are remembered as the bounds of one kind of request, the latest ones. Chosen, not measured.
const MOST_BOTTLENECKS: usize = 4;

/// What is known of the floors behind the entry.
#[derive(Debug, Default)]
pub struct EntryFloorTable {
    /// Floors of the services that shed, or did recently.
    by_service: HashMap<String, LearntFloor>,
    /// Services that bound each kind of request.
    by_kind: HashMap<String, Vec<String>>,
    answer_times: AnswerTimes,
}

impl EntryFloorTable {
    /// Records the lowest floor that the chain of an answered request met, and whose it is; `None` where all services
    /// were open.
    pub fn learn(&mut self, kind: &str, met: Option<(&str, AdmissionFloor)>, now: Instant) {
        match met {
            Some((service, floor)) => {
                self.note_bottleneck(kind, service);
                self.learn_service(service, floor, now);
            }
            None => {
                for service in self.by_kind.get(kind).cloned().unwrap_or_default() {
                    self.learn_service(&service, AdmissionFloor::OPEN, now);
                }
            }
        }
    }

    /// Records what `service` admits. A lower floor counts at once; a higher one only when the known one is old.
    pub fn learn_service(&mut self, service: &str, floor: AdmissionFloor, now: Instant) {
        let Some(known) = self.by_service.get_mut(service) else {
            if !floor.is_open() {
                let learnt = LearntFloor { floor, confirmed: now, closed_since: now };
                self.by_service.insert(service.to_owned(), learnt);
            }
            return;
        };
        let old = now.since(known.confirmed) > LOWER_COUNTS_FOR;
        if floor <= known.at(now) || old {
            let closed_since = if known.at(now).is_open() { now } else { known.closed_since };
            *known = LearntFloor { floor, confirmed: now, closed_since };
        }
    }

    /// Records how long a request of this kind took from its arrival to a good answer.
    pub fn learn_answer_time(&mut self, kind: &str, took: Microseconds) {
        self.answer_times.learn(kind, took);
    }

    /// Whether a request of this kind and priority is admitted.
    #[must_use]
    pub fn admits(&self, kind: &str, priority: Priority, now: Instant) -> bool {
        self.closed_floors(kind, priority, now).next().is_none()
    }

    /// The service with the lowest floor among those that bound this kind of request; none where all are open.
    #[must_use]
    pub fn bottleneck(&self, kind: &str, now: Instant) -> Option<&str> {
        let services = self.by_kind.get(kind)?.iter();
        let floors = services.filter_map(|service| Some((self.by_service.get(service)?.at(now), service)));
        let closed = floors.filter(|(floor, _)| !floor.is_open());
        closed.min_by_key(|(floor, _)| *floor).map(|(_, service)| service.as_str())
    }

    /// When a refused request of this kind and priority should return, before jitter; `objective` is the latency
    /// objective of its route in microseconds.
    #[must_use]
    pub fn return_after(
        &self,
        kind: &str,
        priority: Priority,
        objective: Microseconds,
        now: Instant,
    ) -> Microseconds {
        let closed = self.closed_floors(kind, priority, now);
        let longest = closed.map(|known| now.since(known.closed_since)).max().unwrap_or_default();
        let usual_answer = self.answer_times.quantile(kind).unwrap_or_default();
        return_time::after_overload(longest, usual_answer, objective)
    }

    /// Floors that refuse a request of this kind and priority.
    fn closed_floors(
        &self,
        kind: &str,
        priority: Priority,
        now: Instant,
    ) -> impl Iterator<Item = &LearntFloor> {
        let services = self.by_kind.get(kind).into_iter().flatten();
        let floors = services.filter_map(|service| self.by_service.get(service));
        floors.filter(move |known| !known.at(now).admits(priority))
    }

    fn note_bottleneck(&mut self, kind: &str, service: &str) {
        if self.by_kind.len() >= MOST_KINDS && !self.by_kind.contains_key(kind) {
            self.by_kind.clear();
        }
        let services = self.by_kind.entry(kind.to_owned()).or_default();
        if services.iter().any(|known| known == service) {
            return;
        }
        if services.len() == MOST_BOTTLENECKS {
            services.remove(0);
        }
        services.push(service.to_owned());
    }
}

/// The floor of one service.
#[derive(Debug, Clone, Copy)]
struct LearntFloor {
    floor: AdmissionFloor,
    confirmed: Instant,
    /// Since when it has not been open.
    closed_since: Instant,
}

impl LearntFloor {
    /// The floor as it counts at `now`: once it is old, it rises.
    fn at(&self, now: Instant) -> AdmissionFloor {
        let unconfirmed = now.since(self.confirmed).saturating_sub(FLOOR_LIFETIME);
        let risen = unconfirmed as f64 / MILLISECOND as f64 * LEVELS_PER_MILLISECOND;
        let level = f64::from(self.floor.level) + risen;
        let level = level.min(f64::from(AdmissionFloor::OPEN.level)) as u16;
        AdmissionFloor { level, ..self.floor }
    }
}
