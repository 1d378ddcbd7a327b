//! The admission floor that a server publishes.
//!
//! At each tick of 100 ms the controller decides up to which priority level the entry should admit calls to this
//! server. Inputs: the calls of the last seconds by level (arrived, served, refused), the waiting calls and the free
//! slots.
//!
//! The floor saves upstream servers from working on requests whose calls this server would refuse. Under pressure (a
//! long queue, or calls that can't be served in time) it drops to the level below which as many calls arrived as were
//! recently served, but not below the calls in the healthy part of the queue: a cold server serves little at first, and
//! important calls can wait. Dropping by a fixed step per tick lowered the floor into the critical class at a cold
//! start: at four times the capacity, 0.87 to 0.96 of the critical calls were answered, and all of them with the
//! present rule. Without pressure the floor rises in growing steps, faster while slots are free. Alternatives:
//! docs/DESIGN.md#the-admission-floor.

use super::kept::KeptBuckets;
use super::shares::{ClassShares, share_of};
use crate::priority::{AdmissionFloor, BUCKETS, Priority, PriorityClass};

/// Factor by which counts decay at each tick; they last about a third of a second.
const COUNT_DECAY: f32 = 0.7;

/// Factor by which the counts of class use decay at each tick. They last about ten seconds, because calls in the few
/// kept buckets of a class are rare.
const CLASS_USE_DECAY: f32 = 0.99;

/// Decayed number of calls from which on a class counts as used.
const MIN_CLASS_USE: f32 = 0.5;

/// Share of the recently served calls that the floor admits under pressure.
const ADMITTED_SHARE: f32 = 0.95;

/// Levels by which the floor rises in the first tick of a busy server whose queue is short.
const FIRST_STEP: f64 = 4.0;

/// Growth of the step per tick while the queue stays short. After a drop that went too far, the level may be all that
/// keeps the queue short, while calls in kept buckets occupy the slots. The floor crosses a class in 8 ticks, against
/// 32 with constant steps. At four times the capacity, at least 0.981 of the critical calls were served in each of 32
/// runs, against 0.924 in 24 runs with constant steps.
const STEP_GROWTH: f64 = 1.5;

/// Largest step per tick: a quarter of a class.
const MAX_STEP: f64 = BUCKETS as f64 / 4.0;

/// Extra levels per tick at an idle server, scaled down as it gets busier. The first step of an idle server is thus the
/// largest one.
const IDLE_EXTRA_STEP: f64 = MAX_STEP - FIRST_STEP;

/// Ratio of refused to served calls above which the floor drops however short the queue is: calls with tight deadlines
/// may not wait long enough to fill the queue.
const TOLERATED_REFUSED_SHARE: f32 = 0.03;

/// Number of refused calls that is attributed to chance.
const TOLERATED_REFUSALS: f32 = 3.0;

/// Queue fill above which the floor drops. The part of the queue below it counts as healthy.
pub(super) const HIGH_FILL: f64 = 0.4;

/// Queue fill below which the floor rises.
const LOW_FILL: f64 = 0.2;

/// Adjusts the published admission floor to the pressure on the queue.
#[derive(Debug)]
pub(super) struct FloorController {
    level: u16,
    kept: KeptBuckets,
    /// Decayed number of arrived calls, by level.
    arrived: Vec<f32>,
    /// Decayed number of arrived calls of each class, over a longer time than `arrived`.
    class_use: [f32; PriorityClass::ALL.len()],
    served: f32,
    /// Decayed number of calls below the level that could not be served in time.
    refused: f32,
    /// The same by class; not reset when the floor drops.
    refused_by_class: [f32; PriorityClass::ALL.len()],
    /// Levels by which the floor rises at the next tick of a busy server whose queue is short.
    step: f64,
}

/// The load on a queue at a tick.
#[derive(Debug, Clone, Copy)]
pub(super) struct Pressure {
    /// Waiting calls below the floor's level, divided by the queue's capacity. Kept calls at or above the level don't
    /// count, since a lower level would not shed them.
    pub(super) fill: f64,
    /// Classes whose waiting kept calls exceed their share of the queue.
    pub(super) over_share: [bool; PriorityClass::ALL.len()],
    /// Level of the first waiting call beyond the healthy part of the queue.
    pub(super) excess_level: Option<u16>,
    /// Share of the slots that are free, 0 to 1.
    pub(super) free: f64,
}

impl Default for FloorController {
    fn default() -> Self {
        let open = AdmissionFloor::OPEN.level;
        Self {
            level: open,
            kept: KeptBuckets::default(),
            arrived: vec![0.0; usize::from(open)],
            class_use: [0.0; PriorityClass::ALL.len()],
            served: 0.0,
            refused: 0.0,
            refused_by_class: [0.0; PriorityClass::ALL.len()],
            step: FIRST_STEP,
        }
    }
}

impl FloorController {
    /// The floor to publish.
    pub(super) fn floor(&self) -> AdmissionFloor {
        AdmissionFloor { level: self.level, kept: self.kept.buckets() }
    }

    pub(super) fn count_arrival(&mut self, priority: Priority) {
        if let Some(count) = self.arrived.get_mut(usize::from(priority.level())) {
            *count += 1.0;
        }
        self.class_use[priority.class.rank()] += 1.0;
    }

    pub(super) fn count_served(&mut self) {
        self.served += 1.0;
    }

    /// Counts a call that could not be served in time or found the queue full. Kept calls at or above the level don't
    /// count: a lower level would not shed them.
    pub(super) fn count_refused(&mut self, priority: Priority) {
        if priority.level() < self.level {
            self.refused += 1.0;
            self.refused_by_class[priority.class.rank()] += 1.0;
        }
    }

    /// Adjusts the floor; `slots` is the number of calls that can run at once.
    pub(super) fn tick(&mut self, pressure: Pressure, shares: &ClassShares, slots: f64) {
        for class in PriorityClass::ALL {
            self.kept.fit(class, self.level, shares.used(class), slots);
            if pressure.over_share[class.rank()] {
                self.kept.shrink(class);
            }
        }
        if pressure.fill > HIGH_FILL || self.exceeds_tolerance(self.refused) {
            self.lower(pressure.excess_level.unwrap_or_default());
        } else if pressure.fill < LOW_FILL {
            self.raise(pressure.free);
        } else {
            self.step = FIRST_STEP;
        }
        self.decay_counts();
    }

    /// Drops to the sustainable level, but not below `excess_level`.
    fn lower(&mut self, excess_level: u16) {
        let target = self.sustainable_level().max(excess_level).max(self.lowest_level());
        self.level = self.level.min(target);
        // These calls were refused under the previous level. Left in the count, they would hold the floor down for
        // another second and take it to the level that fits the fewest calls served in any tick of that second.
        self.refused = 0.0;
        self.step = FIRST_STEP;
    }

    /// Rises by one step, which is larger while slots are free.
    fn raise(&mut self, free: f64) {
        let step = (self.step + IDLE_EXTRA_STEP * free).min(MAX_STEP);
        self.level = self.skip_unused_classes(self.level + step as u16);
        self.step = (self.step * STEP_GROWTH).min(MAX_STEP);
    }

    fn decay_counts(&mut self) {
        self.class_use.iter_mut().for_each(|count| *count *= CLASS_USE_DECAY);
        self.arrived.iter_mut().for_each(|count| *count *= COUNT_DECAY);
        self.served *= COUNT_DECAY;
        self.refused *= COUNT_DECAY;
        self.refused_by_class.iter_mut().for_each(|count| *count *= COUNT_DECAY);
    }

    /// The level below which the floor does not drop yet: the first level of the least important class in use, or of a
    /// more important class that had calls refused. Until then the queue serves all calls of that class in time by
    /// displacing less important ones, however many of them wait.
    fn lowest_level(&self) -> u16 {
        let least_used = self.class_use.iter().rposition(|count| *count >= MIN_CLASS_USE);
        let refused = self.refused_by_class.iter().position(|refused| self.exceeds_tolerance(*refused));
        let class = least_used.unwrap_or_default().min(refused.unwrap_or(PriorityClass::ALL.len()));
        class as u16 * u16::from(BUCKETS)
    }

    /// The level, or the end of the class that it lies in if nobody uses that class: rising through an unused class
    /// step by step would admit no additional calls.
    fn skip_unused_classes(&self, level: u16) -> u16 {
        let class = usize::from(level / u16::from(BUCKETS));
        let unused = |class: &usize| self.class_use.get(*class).is_some_and(|count| *count < MIN_CLASS_USE);
        match (class..PriorityClass::ALL.len()).take_while(unused).last() {
            Some(last) => (last as u16 + 1) * u16::from(BUCKETS),
            None => level.min(AdmissionFloor::OPEN.level),
        }
    }

    /// Whether there are more refused calls than chance explains.
    fn exceeds_tolerance(&self, refused: f32) -> bool {
        refused > TOLERATED_REFUSALS.max(self.served * TOLERATED_REFUSED_SHARE)
    }

    /// The highest level that, together with the kept buckets, admits no more calls than were served. At least one
    /// level stays open.
    fn sustainable_level(&self) -> u16 {
        let budget = self.served * ADMITTED_SHARE;
        let kept = PriorityClass::ALL.map(|class| self.kept_arrivals(class, budget));
        let mut admitted: f32 = kept.iter().map(|kept| kept.within_share).sum();
        for (level, count) in self.arrived.iter().enumerate() {
            let priority = Priority::at_level(level as u16);
            let class = priority.class.rank();
            let is_kept = priority.bucket < self.kept.of(priority.class);
            admitted += if is_kept { count * kept[class].beyond_share() } else { *count };
            if admitted > budget {
                return (level as u16).max(1);
            }
        }
        AdmissionFloor::OPEN.level
    }

    /// Recent arrivals in the kept buckets of `class`. The kept buckets are adjusted with a delay, so their calls may
    /// exceed the class's share of the `budget`; the excess must not reduce what more important classes get.
    fn kept_arrivals(&self, class: PriorityClass, budget: f32) -> KeptArrivals {
        let first = class.rank() * usize::from(BUCKETS);
        let buckets = usize::from(self.kept.of(class));
        let all: f32 = self.arrived[first..first + buckets].iter().sum();
        KeptArrivals { all, within_share: all.min(share_of(class) as f32 * budget) }
    }
}

/// Calls in the kept buckets of a class.
#[derive(Debug, Clone, Copy)]
struct KeptArrivals {
    all: f32,
    /// The part of them within the class's share.
    within_share: f32,
}

impl KeptArrivals {
    /// The fraction of the calls that exceeds the share, 0 to 1.
    fn beyond_share(self) -> f32 {
        if self.all > 0.0 { 1.0 - self.within_share / self.all } else { 0.0 }
    }
}
