//! The admission floor that a server publishes.
//!
//! Decides, at each tick of 100 ms, up to which priority level calls to this server should be admitted at the entry.
//! Inputs: the calls of the last seconds by level (arrived, served, refused), what waits, and the free slots.
//!
//! It protects work above this server from being done for calls that it refuses. Under pressure (a long queue, or calls
//! that can't be served in time) the floor goes to the level below which as much arrived as was served recently, but not
//! below what waits in the healthy part of the queue: a cold server serves little at first, and important calls can wait.
//! A floor that fell by a fixed step a tick went through the critical class at a cold start (0.87 to 0.96 of its calls
//! answered at four times the capacity; 1.000 in four runs now). Without pressure it rises by steps that grow, faster where
//! slots are free. Alternatives: docs/DESIGN.md#the-admission-floor.

use super::kept::KeptBuckets;
use super::shares::{ClassShares, share_of};
use crate::priority::{AdmissionFloor, BUCKETS, Priority, PriorityClass};

/// Share of the counts that is kept from one tick to the next: they last about a third of a second.
const COUNT_DECAY: f32 = 0.7;

/// The same for the counts that show whether a class is in use: they last about ten seconds, as the few calls that are
/// kept of each class are rare.
const SEEN_DECAY: f32 = 0.99;

/// Count of a class's calls from which on it is in use.
const FEWEST_SEEN: f32 = 0.5;

/// Part of the served calls that is admitted under pressure. Measured on five days with trouble: mean worth 0.563, with
/// 0.9 in its place 0.552.
const ADMITTED_SHARE: f32 = 0.95;

/// Levels that the floor rises in the first tick of a busy server whose queue is short. Measured on five days with
/// trouble: mean worth 0.563, with 2 levels 0.555, with 8 levels 0.560.
const FIRST_STEP: f64 = 4.0;

/// Factor by which the next step is longer while the queue stays short: after a fall that went too far, the level may be
/// all that keeps the queue short, while slots are taken by kept calls beyond it. A class is crossed in 8 ticks, 32 with
/// steady steps. Measured with real processes at four times the capacity: critical calls served 0.981 at worst of 32 runs,
/// 0.924 of 24 with steady steps.
const STEP_GROWTH: f64 = 1.5;

/// Most levels that the floor rises in one tick: a quarter of a class.
const LONGEST_STEP: f64 = BUCKETS as f64 / 4.0;

/// Levels that it rises in one tick more at a server with nothing to do, fewer the busier it is: an idle server's first
/// step is already the longest one.
const FLOOR_STEP_IDLE: f64 = LONGEST_STEP - FIRST_STEP;

/// Refused calls over served calls above which the floor falls however short the queue is: calls may not wait long enough
/// to fill it.
const REFUSED_SHARE: f32 = 0.03;

/// Refused calls that may be chance.
const REFUSED_BY_CHANCE: f32 = 3.0;

/// Queue fill at which the floor falls, and the healthy part of the queue.
pub(super) const HIGH_FILL: f64 = 0.4;

/// Queue fill below which the floor rises.
const LOW_FILL: f64 = 0.2;

/// Moves the published admission floor with the pressure on the queue.
#[derive(Debug)]
pub(super) struct FloorController {
    level: u16,
    kept: KeptBuckets,
    /// Calls that arrived recently, by level.
    arrived: Vec<f32>,
    /// Calls of each class that arrived in the last seconds.
    seen: [f32; PriorityClass::ALL.len()],
    served: f32,
    /// Calls below the level that could not be served in time.
    refused: f32,
    /// The same by class, and not forgotten when the floor falls.
    refused_of: [f32; PriorityClass::ALL.len()],
    /// Levels that it rises at the next tick of a busy server whose queue stays short.
    step: f64,
}

/// What presses on a queue.
#[derive(Debug, Clone, Copy)]
pub(super) struct Pressure {
    /// Calls that wait and pass by the floor's level, over the queue's places. A lower level would not shed the kept ones
    /// beyond it.
    pub(super) fill: f64,
    /// Classes of which more kept calls wait than they have places.
    pub(super) crowded: [bool; PriorityClass::ALL.len()],
    /// Level of the first call that waits beyond the healthy part of the queue.
    pub(super) first_in_excess: Option<u16>,
    /// Share of the slots that are not taken, 0 to 1.
    pub(super) free: f64,
}

impl Default for FloorController {
    fn default() -> Self {
        let open = AdmissionFloor::OPEN.level;
        Self {
            level: open,
            kept: KeptBuckets::default(),
            arrived: vec![0.0; usize::from(open)],
            seen: [0.0; PriorityClass::ALL.len()],
            served: 0.0,
            refused: 0.0,
            refused_of: [0.0; PriorityClass::ALL.len()],
            step: FIRST_STEP,
        }
    }
}

impl FloorController {
    /// The floor to publish.
    pub(super) fn floor(&self) -> AdmissionFloor {
        AdmissionFloor { level: self.level, kept: self.kept.buckets() }
    }

    /// A call has arrived.
    pub(super) fn count_arrival(&mut self, priority: Priority) {
        if let Some(count) = self.arrived.get_mut(usize::from(priority.level())) {
            *count += 1.0;
        }
        self.seen[priority.class.rank()] += 1.0;
    }

    /// A call has been served.
    pub(super) fn count_served(&mut self) {
        self.served += 1.0;
    }

    /// A call could not be served in time, or found no place. Kept calls beyond the level don't count: a lower level would
    /// not shed them.
    pub(super) fn count_refused(&mut self, priority: Priority) {
        if priority.level() < self.level {
            self.refused += 1.0;
            self.refused_of[priority.class.rank()] += 1.0;
        }
    }

    /// Moves the floor; `slots` is how many calls can run at once.
    pub(super) fn tick(&mut self, pressure: Pressure, shares: &ClassShares, slots: f64) {
        for class in PriorityClass::ALL {
            self.kept.fit(class, self.level, shares.used(class), slots);
            if pressure.crowded[class.rank()] {
                self.kept.shrink(class);
            }
        }
        if pressure.fill > HIGH_FILL || self.is_beyond_chance(self.refused) {
            self.fall(pressure.first_in_excess.unwrap_or_default());
        } else if pressure.fill < LOW_FILL {
            self.rise(pressure.free);
        } else {
            self.step = FIRST_STEP;
        }
        self.fade_counts();
    }

    /// Falls to the level that can be sustained, but not below `waits`.
    fn fall(&mut self, waits: u16) {
        let target = self.sustainable_level().max(waits).max(self.lowest_fall());
        self.level = self.level.min(target);
        // They were refused behind the level before. Counted on, they would hold the floor down for a second more, and
        // take it to the least that was served in any tick of it.
        self.refused = 0.0;
        self.step = FIRST_STEP;
    }

    /// Rises by one step, more where slots are free.
    fn rise(&mut self, free: f64) {
        let step = (self.step + FLOOR_STEP_IDLE * free).min(LONGEST_STEP);
        self.level = self.past_unused(self.level + step as u16);
        self.step = (self.step * STEP_GROWTH).min(LONGEST_STEP);
    }

    fn fade_counts(&mut self) {
        self.seen.iter_mut().for_each(|count| *count *= SEEN_DECAY);
        self.arrived.iter_mut().for_each(|count| *count *= COUNT_DECAY);
        self.served *= COUNT_DECAY;
        self.refused *= COUNT_DECAY;
        self.refused_of.iter_mut().for_each(|count| *count *= COUNT_DECAY);
    }

    /// The level below which the floor does not fall yet: the first one of the least important class in use, or of a more
    /// important one of which calls were refused. Until then the queue serves all calls of that class in time, in place of
    /// less important ones, however many of them wait.
    fn lowest_fall(&self) -> u16 {
        let least_used = self.seen.iter().rposition(|seen| *seen >= FEWEST_SEEN);
        let refused = self.refused_of.iter().position(|refused| self.is_beyond_chance(*refused));
        let class = least_used.unwrap_or_default().min(refused.unwrap_or(PriorityClass::ALL.len()));
        class as u16 * u16::from(BUCKETS)
    }

    /// The level, or where it lies in a class that nobody uses, the end of that class: to rise through it would admit
    /// nobody meanwhile.
    fn past_unused(&self, level: u16) -> u16 {
        let class = usize::from(level / u16::from(BUCKETS));
        let unused = |class: &usize| self.seen.get(*class).is_some_and(|seen| *seen < FEWEST_SEEN);
        match (class..PriorityClass::ALL.len()).take_while(unused).last() {
            Some(last) => (last as u16 + 1) * u16::from(BUCKETS),
            None => level.min(AdmissionFloor::OPEN.level),
        }
    }

    /// Whether so many refused calls are more than chance.
    fn is_beyond_chance(&self, refused: f32) -> bool {
        refused > REFUSED_BY_CHANCE.max(self.served * REFUSED_SHARE)
    }

    /// The highest level that, together with the kept buckets, admits no more than was served. At least one level stays
    /// open.
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

    /// Recent arrivals in the kept buckets of `class`. As the buckets are fitted with a delay, they may bring more than the
    /// class's share of the `budget`; what more important classes may have must not shrink by that.
    fn kept_arrivals(&self, class: PriorityClass, budget: f32) -> KeptArrivals {
        let first = class.rank() * usize::from(BUCKETS);
        let buckets = usize::from(self.kept.of(class));
        let all: f32 = self.arrived[first..first + buckets].iter().sum();
        KeptArrivals { all, within_share: all.min(share_of(class) as f32 * budget) }
    }
}

/// Calls of a class's kept buckets.
#[derive(Debug, Clone, Copy)]
struct KeptArrivals {
    all: f32,
    /// As many of them as fit the class's share.
    within_share: f32,
}

impl KeptArrivals {
    /// The part of them that doesn't fit the share, 0 to 1.
    fn beyond_share(self) -> f32 {
        if self.all > 0.0 { 1.0 - self.within_share / self.all } else { 0.0 }
    }
}
