//! Overload at the entry: which external requests are refused on behalf of the services behind it.
//!
//! Decides whether a request of one kind (service and route) and priority is admitted, and when a refused one
//! may return. The inputs are the lowest admission floor that the chain of an answer met, the floor of each
//! service as reported by heartbeats (each valid for `FLOOR_LIFETIME` before it begins to rise), and the time
//! in microseconds that requests of each kind take from arrival to a successful answer.
//!
//! This saves the work done above a service that refuses: a request that would fail at its tenth call is not
//! started. Floors are kept by service rather than by kind of request, since a kind whose answers are rare or
//! slow would otherwise have to find out by itself what others know. A request has the same priority at every
//! daemon, so the decision of the entry equals that of the service below (H. Zhou et al., "Overload Control
//! for Scaling WeChat Microservices", 2018). Alternatives and figures: docs/DESIGN.md#floors-at-the-entry.
//! The daemon's part is `seamhatchd::filters::entry_floor`.

use crate::answer_times::AnswerTimes;
use crate::clock::{Instant, MILLISECOND, Microseconds};
use crate::priority::{AdmissionFloor, Priority};
use crate::return_time;
use std::collections::HashMap;

/// Time without confirmation after which a floor begins to rise: a little longer than the 400 ms between the
/// heartbeats of idle daemons.
const FLOOR_LIFETIME: Microseconds = 500 * MILLISECOND;

/// A higher floor replaces a lower one only if that is older than this, as another server of the service may
/// still report the lower one.
const LOWER_FLOOR_LIFETIME: Microseconds = FLOOR_LIFETIME / 4;

/// Levels per millisecond by which an unconfirmed floor rises; all 512 levels take 1.6 s. The floor rises
/// gradually instead of opening at once, so that a few requests get through as probes instead of a burst. At
/// four times the capacity of the deepest service, the answered share of critical requests is 1.000 with
/// rising floors and 0.87 to 0.96 without.
const LEVELS_PER_MILLISECOND: f64 = 0.32;

/// Maximum number of kinds of requests that are remembered; all are forgotten when there are more.
const MAX_KINDS: usize = 4_096;

/// Maximum number of bottleneck services that are remembered for one kind of request, the latest ones.
const MAX_BOTTLENECKS: usize = 4;

/// Known floors of the services behind the entry.
#[derive(Debug, Default)]
pub struct EntryFloorTable {
    /// Floors of the services that shed load now or did recently.
    by_service: HashMap<String, KnownFloor>,
    /// Bottleneck services of each kind of request.
    by_kind: HashMap<String, Vec<String>>,
    answer_times: AnswerTimes,
}

impl EntryFloorTable {
    /// Records the lowest floor that the chain of an answered request met, with its service; `None` if all
    /// services were open.
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

    /// Records the floor of `service`. A lower floor applies at once, a higher one only if the known floor is
    /// old.
    pub fn learn_service(&mut self, service: &str, floor: AdmissionFloor, now: Instant) {
        let Some(known) = self.by_service.get_mut(service) else {
            if !floor.is_open() {
                let learnt = KnownFloor { floor, confirmed: now, closed_since: now };
                self.by_service.insert(service.to_owned(), learnt);
            }
            return;
        };
        let old = now.since(known.confirmed) > LOWER_FLOOR_LIFETIME;
        if floor <= known.at(now) || old {
            let closed_since = if known.at(now).is_open() { now } else { known.closed_since };
            *known = KnownFloor { floor, confirmed: now, closed_since };
        }
    }

    /// Records the time from the arrival of a request of this kind to its successful answer.
    pub fn learn_answer_time(&mut self, kind: &str, took: Microseconds) {
        self.answer_times.learn(kind, took);
    }

    /// Whether a request of this kind and priority is admitted.
    #[must_use]
    pub fn admits(&self, kind: &str, priority: Priority, now: Instant) -> bool {
        self.closed_floors(kind, priority, now).next().is_none()
    }

    /// The bottleneck of this kind of request with the lowest floor; `None` if all are open.
    #[must_use]
    pub fn bottleneck(&self, kind: &str, now: Instant) -> Option<&str> {
        let services = self.by_kind.get(kind)?.iter();
        let floors = services.filter_map(|service| Some((self.by_service.get(service)?.at(now), service)));
        let closed = floors.filter(|(floor, _)| !floor.is_open());
        closed.min_by_key(|(floor, _)| *floor).map(|(_, service)| service.as_str())
    }

    /// When a refused request of this kind and priority should return, before jitter. `objective` is the
    /// latency objective of its route in microseconds.
    #[must_use]
    pub fn return_after(
        &self,
        kind: &str,
        priority: Priority,
        objective: Microseconds,
        now: Instant,
    ) -> Microseconds {
        let closed = self.closed_floors(kind, priority, now);
        let closed_for = closed.map(|known| now.since(known.closed_since)).max().unwrap_or_default();
        let answer_time = self.answer_times.quantile(kind).unwrap_or_default();
        return_time::after_overload(closed_for, answer_time, objective)
    }

    /// Floors that refuse a request of this kind and priority.
    fn closed_floors(
        &self,
        kind: &str,
        priority: Priority,
        now: Instant,
    ) -> impl Iterator<Item = &KnownFloor> {
        let services = self.by_kind.get(kind).into_iter().flatten();
        let floors = services.filter_map(|service| self.by_service.get(service));
        floors.filter(move |known| !known.at(now).admits(priority))
    }

    fn note_bottleneck(&mut self, kind: &str, service: &str) {
        if self.by_kind.len() >= MAX_KINDS && !self.by_kind.contains_key(kind) {
            self.by_kind.clear();
        }
        let services = self.by_kind.entry(kind.to_owned()).or_default();
        if services.iter().any(|known| known == service) {
            return;
        }
        if services.len() == MAX_BOTTLENECKS {
            services.remove(0);
        }
        services.push(service.to_owned());
    }
}

/// Floor of one service.
#[derive(Debug, Clone, Copy)]
struct KnownFloor {
    floor: AdmissionFloor,
    confirmed: Instant,
    /// When the floor last ceased to be open.
    closed_since: Instant,
}

impl KnownFloor {
    /// The floor at `now`: an unconfirmed floor rises after its lifetime.
    fn at(&self, now: Instant) -> AdmissionFloor {
        let unconfirmed = now.since(self.confirmed).saturating_sub(FLOOR_LIFETIME);
        let risen = unconfirmed as f64 / MILLISECOND as f64 * LEVELS_PER_MILLISECOND;
        let level = f64::from(self.floor.level) + risen;
        let level = level.min(f64::from(AdmissionFloor::OPEN.level)) as u16;
        AdmissionFloor { level, ..self.floor }
    }
}
