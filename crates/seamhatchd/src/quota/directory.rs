//! Who holds which seat, as far as this daemon knows. Only hints: a daemon that doesn't hold its seat says so.

use crate::clock;
use seamhatch_core::Instant;
use seamhatch_core::clock::{MILLISECOND, Microseconds};
use seamhatch_core::identity::Address;
use seamhatch_core::quota::SeatNumber;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};

/// A seat whose holder did not answer is left alone for this long.
const SILENT_FOR: Microseconds = 500 * MILLISECOND;

/// Where a seat's holder is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeatPlace {
    /// Peer address of the daemon.
    pub peer: Address,
    /// Its zone.
    pub zone: String,
}

/// The seats by their numbers.
#[derive(Debug, Default)]
pub struct SeatDirectory(Mutex<Places>);

#[derive(Debug, Default)]
struct Places {
    /// Seats that no live member says to hold, with this daemon's place in the order of those who may take them.
    vacant: Vec<(SeatNumber, usize)>,
    known: BTreeMap<SeatNumber, SeatPlace>,
    silent_until: BTreeMap<SeatNumber, Instant>,
}

impl SeatDirectory {
    /// Takes in where a seat is.
    pub fn learn(&self, seat: SeatNumber, place: SeatPlace) {
        let mut places = self.lock();
        if places.known.get(&seat) != Some(&place) {
            places.silent_until.remove(&seat);
            places.known.insert(seat, place);
        }
    }

    /// Takes in which seats no live member says to hold, each with this daemon's place in the order of those who may
    /// take it; only those that this daemon may take.
    pub fn set_vacant(&self, vacant: Vec<(SeatNumber, usize)>) {
        self.lock().vacant = vacant;
    }

    /// Seats that this daemon may try to take, with its place in the order.
    #[must_use]
    pub fn vacant(&self) -> Vec<(SeatNumber, usize)> {
        self.lock().vacant.clone()
    }

    /// Takes in that a seat's holder did not answer, or that whoever was asked doesn't hold it.
    pub fn note_silent(&self, seat: SeatNumber) {
        self.lock().silent_until.insert(seat, clock::now().plus(SILENT_FOR));
    }

    /// The seats that may be asked, those of `zone` first, each part from a place drawn by `random` on.
    pub fn in_order(&self, zone: &str, random: impl Fn(usize) -> usize) -> Vec<(SeatNumber, SeatPlace)> {
        let now = clock::now();
        let places = self.lock();
        let usable = |seat: &SeatNumber| places.silent_until.get(seat).is_none_or(|until| *until <= now);
        let seats = places.known.iter().filter(|(seat, _)| usable(seat));
        let (mut near, mut far): (Vec<_>, Vec<_>) =
            seats.map(|(seat, place)| (*seat, place.clone())).partition(|(_, place)| place.zone == zone);
        for part in [&mut near, &mut far] {
            if !part.is_empty() {
                let first = random(part.len());
                part.rotate_left(first);
            }
        }
        near.append(&mut far);
        near
    }

    fn lock(&self) -> MutexGuard<'_, Places> {
        self.0.lock().expect("a thread panicked inside the directory of seats")
    }
}
