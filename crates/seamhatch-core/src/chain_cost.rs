//! What a request of each kind costs: the slot time that its chain of calls uses at each service.
//!
//! Decides the bucket of a request from outside where a service on its way sheds. Inputs: the usage that answers report
//! (slot time by service, summed along the chain), the kind and class of a request, the uniform draw from its root id, and
//! the service that binds it. Within a class, of two kinds the one that uses less of that service is shed less, in
//! proportion: a kind of cost `c` is admitted as often as `mean / c`, with the factor bounded on both sides.
//!
//! It protects the number of answers at a service that is full: a request that makes eight calls there takes the place of
//! eight that make one. Usage comes from other daemons and may be wrong: one answer moves a mean by its weight only, a
//! sample is bounded, and the factor has bounds, so that no kind is starved. Alternatives:
//! docs/DESIGN.md#order-by-cost. The daemon's part is `seamhatchd::limits::chain_costs`.

use crate::clock::{Instant, Microseconds, SECOND};
use crate::identity::RootId;
use crate::priority::{Priority, PriorityClass};
use speedy::{Readable, Writable};
use std::collections::HashMap;

/// Costs that were not confirmed for this long are forgotten, as the service may have been removed or the route changed.
const COST_LIFETIME: Microseconds = 60 * SECOND;

/// Kinds of requests that are remembered at most; all are forgotten when there are more.
const MOST_KINDS: usize = 4_096;

/// Services that an answer reports, and that are remembered for each kind, at most.
pub const MOST_SERVICES: usize = 16;

/// Weight of one answer in the mean of its kind, once there are enough: a wrong answer moves the mean by a sixteenth of the difference.
const ANSWER_WEIGHT: f64 = 1.0 / 16.0;

/// Weight of one request in the mean of its class, once there are enough. It is smaller than that of an answer, as the costs of the kinds
/// of a class differ.
const REQUEST_WEIGHT: f64 = 1.0 / 64.0;

/// Most slot time that one answer may report of a service, in milliseconds. What is above counts as this much, so that a
/// wrong report is outweighed by the answers that follow.
const MOST_SLOT_MS: u32 = 60_000;

/// Bounds of the factor on a bucket. With them, the dearest kind of a class is admitted at least a quarter as often as the
/// cheapest.
const FACTOR_BOUNDS: (f64, f64) = (0.5, 2.0);

/// What a call and the calls below it have used of one service.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable)]
pub struct ServiceUsage {
    /// The service.
    pub service: String,
    /// Calls to it.
    pub calls: u32,
    /// Time in milliseconds for which they held their slots, waits for their own calls included.
    pub slot_ms: u32,
}

/// Sum of what the answers to the calls of one call report.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ChainUsage(Vec<ServiceUsage>);

impl ChainUsage {
    /// Adds what one answer reports. Of more services than [`MOST_SERVICES`] the greatest are kept.
    pub fn add(&mut self, reported: &[ServiceUsage]) {
        for usage in reported.iter().take(MOST_SERVICES) {
            match self.0.iter_mut().find(|known| known.service == usage.service) {
                Some(known) => {
                    known.calls = known.calls.saturating_add(usage.calls);
                    known.slot_ms = known.slot_ms.saturating_add(usage.slot_ms);
                }
                None => self.0.push(usage.clone()),
            }
        }
        self.0.sort_by(|left, right| (right.slot_ms, &left.service).cmp(&(left.slot_ms, &right.service)));
        self.0.truncate(MOST_SERVICES);
    }

    /// The sum, the greatest first.
    #[must_use]
    pub fn services(&self) -> &[ServiceUsage] {
        &self.0
    }
}

/// What the kinds of requests cost that come in here.
#[derive(Debug, Default)]
pub struct ChainCostTable {
    /// Slot time in milliseconds by kind and service, over answered requests.
    kinds: HashMap<String, HashMap<String, LearntMean>>,
    /// The same by service and class, over requests that were admitted or refused.
    classes: HashMap<String, [LearntMean; PriorityClass::ALL.len()]>,
    /// When old costs were last forgotten.
    swept: Instant,
}

/// One learnt cost, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct KindCost {
    /// Kind of request.
    pub kind: String,
    /// Service whose slots it uses.
    pub service: String,
    /// Slot time for each answered request, in milliseconds.
    pub slot_ms: f64,
}

impl ChainCostTable {
    /// Records what an answered request of this kind used. A service that is not reported keeps its mean.
    pub fn learn(&mut self, kind: &str, usage: &[ServiceUsage], now: Instant) {
        if usage.is_empty() {
            return;
        }
        if now.since(self.swept) > COST_LIFETIME {
            self.forget_old(now);
        }
        if self.kinds.len() >= MOST_KINDS && !self.kinds.contains_key(kind) {
            self.kinds.clear();
        }
        let costs = self.kinds.entry(kind.to_owned()).or_default();
        costs.retain(|_, cost| cost.is_fresh(now));
        for ServiceUsage { service, slot_ms, .. } in usage {
            let sample = f64::from((*slot_ms).min(MOST_SLOT_MS));
            if let Some(cost) = costs.get_mut(service) {
                cost.add(sample, ANSWER_WEIGHT, now);
            } else if costs.len() < MOST_SERVICES {
                costs.entry(service.clone()).or_default().add(sample, ANSWER_WEIGHT, now);
            }
        }
    }

    fn forget_old(&mut self, now: Instant) {
        self.swept = now;
        for costs in self.kinds.values_mut() {
            costs.retain(|_, cost| cost.is_fresh(now));
        }
        self.kinds.retain(|_, costs| !costs.is_empty());
        self.classes.retain(|_, means| means.iter().any(|mean| mean.is_fresh(now)));
    }

    /// The priority of a request from outside. `bottleneck` is the service with the lowest floor on its way, none where no
    /// service sheds. The request counts in the mean of its class, whether it is admitted then or not.
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

    /// The `most` dearest of the costs that are known at `now`, the dearest first.
    #[must_use]
    pub fn costs(&self, most: usize, now: Instant) -> Vec<KindCost> {
        let mut known: Vec<(f64, &str, &str)> = Vec::new();
        for (kind, costs) in &self.kinds {
            let fresh = costs.iter().filter(|(_, cost)| cost.is_fresh(now));
            known.extend(fresh.map(|(service, cost)| (cost.mean, kind.as_str(), service.as_str())));
        }
        known.sort_by(|left, right| {
            let dearest = right.0.total_cmp(&left.0);
            dearest.then_with(|| (left.1, left.2).cmp(&(right.1, right.2)))
        });
        // Only what is shown is copied: requests wait for the lock meanwhile.
        known.truncate(most);
        let owned = |(slot_ms, kind, service): (f64, &str, &str)| KindCost {
            kind: kind.into(),
            service: service.into(),
            slot_ms,
        };
        known.into_iter().map(owned).collect()
    }

    /// Cost of the kind over the mean cost of its class at this service; none where its cost is not known.
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

/// A mean of the first samples, then an exponential one.
#[derive(Debug, Clone, Copy, Default)]
struct LearntMean {
    mean: f64,
    samples: u32,
    confirmed: Instant,
}

impl LearntMean {
    /// Adds a sample. What was learnt too long ago counts for nothing.
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
