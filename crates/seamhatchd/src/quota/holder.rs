//! Handing out tokens for the seats that this daemon holds.

use super::limit_of;
use crate::clock;
use crate::shared::Shared;
use seamhatch_core::Instant;
use seamhatch_core::clock::Microseconds;
use seamhatch_core::quota::{QuotaBucket, QuotaGrant, SeatLease, SeatNumber};
use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard};

/// Seats that this daemon holds under one lease, with the buckets of the tenants.
#[derive(Debug, Default)]
pub struct HeldSeats(Mutex<Holding>);

#[derive(Debug, Default)]
struct Holding {
    lease: SeatLease,
    /// The seats, each with the moment from which its buckets fill.
    seats: BTreeMap<SeatNumber, Instant>,
    buckets: HashMap<SeatNumber, HashMap<String, QuotaBucket>>,
}

impl HeldSeats {
    /// Takes in that a call sent at `sent` made or renewed the lease.
    pub fn renewed(&self, sent: Instant, span: Microseconds) {
        self.lock().lease.renewed(sent, span);
    }

    /// Takes in that a seat is held from now on, with empty buckets.
    pub fn take(&self, seat: SeatNumber) {
        self.lock().seats.entry(seat).or_insert_with(clock::now);
    }

    /// Gives up all seats, as the lease is over.
    pub fn give_up(&self) {
        *self.lock() = Holding::default();
    }

    /// Whether the lease counts.
    #[must_use]
    pub fn holds(&self) -> bool {
        self.lock().lease.holds(clock::now())
    }

    /// The seats held, a bit each.
    #[must_use]
    pub fn mask(&self) -> u64 {
        self.lock().seats.keys().fold(0, |mask, seat| mask | 1 << seat)
    }

    fn lock(&self) -> MutexGuard<'_, Holding> {
        self.0.lock().expect("a thread panicked inside the seats")
    }
}

/// Hands out tokens of a seat; none where this daemon doesn't hold it, or knows no such tenant.
#[must_use]
pub fn grant(shared: &Shared, seat: SeatNumber, tenant: &str, wanted: u32) -> Option<QuotaGrant> {
    let snapshot = shared.snapshot();
    let tenant = snapshot.configuration()?.tenants().named(tenant)?;
    let now = clock::now();
    let mut holding = shared.quota.held.lock();
    if !holding.lease.holds(now) {
        return None;
    }
    let held_since = *holding.seats.get(&seat)?;
    let Some(limit) = limit_of(tenant) else { return Some(QuotaGrant { tokens: wanted, pause: 0 }) };
    let limit = shared.quota.policy.seat_limit(limit);
    let buckets = holding.buckets.entry(seat).or_default();
    let empty = || QuotaBucket::empty(held_since);
    let bucket = buckets.entry(tenant.name.clone()).or_insert_with(empty);
    Some(bucket.grant(limit, wanted, now))
}
