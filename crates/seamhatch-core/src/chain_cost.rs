//! Cost of a request by kind: the slot time that its chain of calls uses at each service.
//!
//! Decides the bucket of an external request when a service on its path sheds load. The inputs are the usage
//! that answers report (slot time by service, summed along the chain), the kind and class of the request, the
//! uniform draw from its root id, and the service that is its bottleneck. Within a class, a kind that uses
//! less of that service is shed less, in proportion: a kind of cost `c` is admitted as often as `mean / c`,
//! with bounds on the factor on both sides.
//!
//! This keeps up the number of answers of a fully loaded service, since a request that makes eight calls
//! there displaces eight requests that make one. Usage comes from other daemons and may be wrong. So one
//! answer moves a mean only by its weight, a sample is bounded, and the factor has bounds, so that no kind is
//! starved. Alternatives: docs/DESIGN.md#order-by-cost. The daemon's part is
//! `seamhatchd::limits::chain_costs`.

use crate::clock::{Instant, Microseconds, SECOND};
use crate::identity::RootId;
use crate::priority::{Priority, PriorityClass};
use speedy::{Readable, Writable};
use std::collections::HashMap;

/// Costs that were not confirmed for this long are forgotten, as the service may have been removed or the
/// route changed.
const COST_LIFETIME: Microseconds = 60 * SECOND;

/// Maximum number of kinds of requests that are remembered; all are forgotten when there are more.
const MAX_KINDS: usize = 4_096;

/// Maximum number of services that an answer reports, and that are remembered for each kind.
pub const MAX_SERVICES: usize = 16;

/// Weight of one answer in the mean of its kind, after the first ones: a wrong answer moves the mean by a
/// sixteenth of the difference.
const ANSWER_WEIGHT: f64 = 1.0 / 16.0;

/// Weight of one request in the mean of its class, after the first ones. It is smaller than that of an answer
/// because the costs of the kinds in a class differ.
const REQUEST_WEIGHT: f64 = 1.0 / 64.0;

/// Maximum slot time that one answer may report for a service, in milliseconds. Larger values count as this
/// one, so that the answers that follow outweigh a wrong report.
const MAX_SLOT_MS: u32 = 60_000;

/// Bounds of the factor on a bucket. They let the most expensive kind of a class be admitted at least a
/// quarter as often as the cheapest.
const FACTOR_BOUNDS: (f64, f64) = (0.5, 2.0);

/// What a call and the calls below it have used of one service.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable)]
pub struct ServiceUsage {
    /// Name of the service.
    pub service: String,
    /// Number of calls to the service.
    pub calls: u32,
    /// Time in milliseconds for which these calls held their slots, including waits for their own calls.
    pub slot_ms: u32,
}

/// Sum of the usage that the answers to the child calls of one call report.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ChainUsage(Vec<ServiceUsage>);

impl ChainUsage {
    /// Adds the usage that one answer reports. Keeps the [`MAX_SERVICES`] services with the largest usage.
    pub fn add(&mut self, reported: &[ServiceUsage]) {
        for usage in reported.iter().take(MAX_SERVICES) {
            match self.0.iter_mut().find(|known| known.service == usage.service) {
                Some(known) => {
                    known.calls = known.calls.saturating_add(usage.calls);
                    known.slot_ms = known.slot_ms.saturating_add(usage.slot_ms);
                }
                None => self.0.push(usage.clone()),
            }
        }
        self.0.sort_by(|left, right| (right.slot_ms, &left.service).cmp(&(left.slot_ms, &right.service)));
        self.0.truncate(MAX_SERVICES);
    }

    /// The sum by service, largest first.
    #[must_use]
    pub fn services(&self) -> &[ServiceUsage] {
        &self.0
    }
}

/// Costs of the kinds of requests that this daemon receives.
#[derive(Debug, Default)]
pub struct ChainCostTable {
    /// Slot time in milliseconds by kind and service, over answered requests.
    kinds: HashMap<String, HashMap<String, RunningMean>>,
    /// Slot time by service and class, over requests that were admitted or refused.
    classes: HashMap<String, [RunningMean; PriorityClass::ALL.len()]>,
    /// When expired costs were last removed.
    last_sweep: Instant,
}

/// One known cost, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct KindCost {
    /// Kind of request.
    pub kind: String,
    /// Service whose slots it uses.
    pub service: String,
    /// Slot time of an answered request, in milliseconds.
    pub slot_ms: f64,
}

impl ChainCostTable {
    /// Records what an answered request of this kind used. A service that is not reported keeps its mean.
    pub fn learn(&mut self, kind: &str, usage: &[ServiceUsage], now: Instant) {
        if usage.is_empty() {
            return;
        }
        if now.since(self.last_sweep) > COST_LIFETIME {
            self.forget_old(now);
        }
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(kind) {
            self.kinds.clear();
        }
        let costs = self.kinds.entry(kind.to_owned()).or_default();
        costs.retain(|_, cost| cost.is_fresh(now));
        for ServiceUsage { service, slot_ms, .. } in usage {
            let sample = f64::from((*slot_ms).min(MAX_SLOT_MS));
            if let Some(cost) = costs.get_mut(service) {
                cost.add(sample, ANSWER_WEIGHT, now);
            } else if costs.len() < MAX_SERVICES {
                costs.entry(service.clone()).or_default().add(sample, ANSWER_WEIGHT, now);
            }
        }
    }

    fn forget_old(&mut self, now: Instant) {
        self.last_sweep = now;
        for costs in self.kinds.values_mut() {
            costs.retain(|_, cost| cost.is_fresh(now));
        }
        self.kinds.retain(|_, costs| !costs.is_empty());
        self.classes.retain(|_, means| means.iter().any(|mean| mean.is_fresh(now)));
    }

    /// Priority of an external request. `bottleneck` is the service with the lowest floor on its path; `None`
    /// if no service sheds load. The request counts in the mean of its class, whether it is admitted
    /// afterwards or not.
    pub fn priority(
        &mut self,
        kind: &str,
        class: PriorityClass,
        root: RootId,
        bottleneck: Option<&str>,
        now: Instant,
    ) -> Priority {
        let factor = bottleneck.and_then(|service| self.factor(kind, class, service, now));
        Priority::scaled(class, root, factor.unwrap_or(1.0))
    }

    /// The `most` highest costs that are known at `now`, the highest first.
    #[must_use]
    pub fn costs(&self, most: usize, now: Instant) -> Vec<KindCost> {
        let mut known: Vec<(f64, &str, &str)> = Vec::new();
        for (kind, costs) in &self.kinds {
            let fresh = costs.iter().filter(|(_, cost)| cost.is_fresh(now));
            known.extend(fresh.map(|(service, cost)| (cost.mean, kind.as_str(), service.as_str())));
        }
        known.sort_by(|left, right| {
            let by_cost = right.0.total_cmp(&left.0);
            by_cost.then_with(|| (left.1, left.2).cmp(&(right.1, right.2)))
        });
        // Copies only what is returned, because requests wait for the lock meanwhile.
        known.truncate(most);
        let owned = |(slot_ms, kind, service): (f64, &str, &str)| KindCost {
            kind: kind.into(),
            service: service.into(),
            slot_ms,
        };
        known.into_iter().map(owned).collect()
    }

    /// Cost of the kind relative to the mean cost of its class at this service; `None` if its cost is not
    /// known.
    fn factor(&mut self, kind: &str, class: PriorityClass, service: &str, now: Instant) -> Option<f64> {
        let cost = self.kinds.get(kind)?.get(service).filter(|cost| cost.is_fresh(now))?.mean;
        if !self.classes.contains_key(service) {
            self.classes.insert(service.to_owned(), Default::default());
        }
        let mean = &mut self.classes.get_mut(service)?[class.rank()];
        mean.add(cost, REQUEST_WEIGHT, now);
        (mean.mean > 0.0).then(|| (cost / mean.mean).clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1))
    }
}

/// Arithmetic mean of the first samples, exponential moving average afterwards.
#[derive(Debug, Clone, Copy, Default)]
struct RunningMean {
    mean: f64,
    samples: u32,
    confirmed: Instant,
}

impl RunningMean {
    /// Adds a sample. Earlier samples that have expired are discarded.
    fn add(&mut self, sample: f64, weight: f64, now: Instant) {
        if !self.is_fresh(now) {
            *self = Self::default();
        }
        self.samples = self.samples.saturating_add(1);
        self.mean += (sample - self.mean) * weight.max(1.0 / f64::from(self.samples));
        self.confirmed = now;
    }

    fn is_fresh(&self, now: Instant) -> bool {
        self.samples > 0 && now.since(self.confirmed) <= COST_LIFETIME
    }
}
