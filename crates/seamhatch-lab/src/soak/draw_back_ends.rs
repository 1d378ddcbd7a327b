//! Draws what back ends do of themselves: they crash, name a rate, or leave.
//!
//! Each kind has a generator of its own, so that the other faults of a seed don't depend on it.

use super::fault::SoakFault;
use super::fleet::SoakFleet;
use super::plan::PlannedFault;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::ops::Range;

/// Time between two crashes, or requests that cause them, in milliseconds.
const CRASH_GAP_MS: Range<u64> = 3_000..12_000;
/// How long callers repeat a request that crashes back ends, in milliseconds: longer than it takes until all daemons know it.
const DEADLY_MS: u64 = 10_000;
/// Longest time that a crashed back end is away, in milliseconds.
const CRASH_MS: u64 = 3_000;
/// Time between two back ends that say something of themselves, in milliseconds.
const NOTICE_GAP_MS: Range<u64> = 1_000..6_000;
/// How long they say so, in milliseconds: longer than a rate is judged over.
const NOTICE_MS: Range<u64> = 5_000..8_000;
/// Rates that they name, in thousandths of a call a second.
const RATES_MILLIS: [u32; 5] = [200, 1_500, 5_000, 10_000, 30_000];
/// Combined with a plan's seed to draw these: `notices!` in ASCII.
const NOTICE_SEED: u64 = 0x6e6f_7469_6365_7321;
/// Combined with a plan's seed to draw the crashes: `crashes!` in ASCII.
const CRASH_SEED: u64 = 0x6372_6173_6865_7321;
/// Shortest time for which a crashed back end is away, in milliseconds.
const SHORTEST_CRASH_MS: u64 = 500;

/// Crashes of back ends and requests that cause them. They are drawn with a generator of their own, so that the other faults
/// of a seed don't depend on them.
pub(super) fn draw_crashes(seed: u64, quiet_ms: u64, end_ms: u64, fleet: SoakFleet) -> Vec<PlannedFault> {
    let mut rng = SmallRng::seed_from_u64(seed ^ CRASH_SEED);
    let mut faults = Vec::new();
    let mut at_ms = quiet_ms + rng.random_range(CRASH_GAP_MS);
    while at_ms + DEADLY_MS < end_ms {
        let fault = if rng.random_bool(0.5) {
            SoakFault::DeadlyRequest { number: rng.random::<u32>().into(), deep: rng.random_bool(0.3) }
        } else {
            SoakFault::ServerCrash { daemon: rng.random_range(0..fleet.daemons()) }
        };
        let for_ms = match fault {
            SoakFault::DeadlyRequest { .. } => DEADLY_MS,
            _ => rng.random_range(SHORTEST_CRASH_MS..CRASH_MS),
        };
        faults.push(PlannedFault { at_ms, for_ms, fault });
        at_ms += rng.random_range(CRASH_GAP_MS);
    }
    faults
}

/// Back ends that name a rate or leave, one after the other, drawn with a generator of their own, so that the other faults of a seed don't
/// depend on them.
pub(super) fn draw_notices(seed: u64, quiet_ms: u64, end_ms: u64, fleet: SoakFleet) -> Vec<PlannedFault> {
    let mut rng = SmallRng::seed_from_u64(seed ^ NOTICE_SEED);
    let mut faults = Vec::new();
    let mut at_ms = quiet_ms + rng.random_range(NOTICE_GAP_MS);
    while at_ms + NOTICE_MS.end < end_ms {
        let daemon = rng.random_range(0..fleet.daemons());
        let fault = if rng.random_bool(0.7) {
            let rate_millis = RATES_MILLIS[rng.random_range(0..RATES_MILLIS.len())];
            SoakFault::ServerNamesRate { daemon, rate_millis }
        } else {
            SoakFault::ServerLeaves { daemon }
        };
        let for_ms = rng.random_range(NOTICE_MS);
        faults.push(PlannedFault { at_ms, for_ms, fault });
        at_ms += for_ms + rng.random_range(NOTICE_GAP_MS);
    }
    faults
}
