//! Seats of the tenants' limits: which are told by members, and which this daemon may take.

use super::ControlThread;
use crate::controllers::follow::SeatRecord;
use crate::quota::SeatPlace;
use seamhatch_core::Instant;
use seamhatch_core::clock::{Microseconds, SECOND};
use seamhatch_core::identity::Address;
use seamhatch_core::membership::MemberRecord;
use seamhatch_core::quota::SeatNumber;
use seamhatch_core::rendezvous;

/// Seed of the order in which daemons may take seats.
const SEAT_SEED: u64 = 5;
/// Daemons that may take a vacant seat, one after the other.
const MOST_CONTENDERS: usize = 3;
/// Places by which a daemon goes back in the order for each seat that it holds, so that one loss costs few seats.
const PLACES_FOR_SEAT: usize = 2;
/// A daemon that starts knows the others after this time, by the store's list and their gossip.
const LEAST_AGE: Microseconds = 3 * SECOND / 2;

impl ControlThread {
    /// Takes in the seats' records as they lie in the store. What an earlier life of this daemon held is its to take.
    pub(super) fn learn_seats(&mut self, seats: &[(SeatNumber, SeatRecord)]) {
        let (own, incarnation) = (self.shared.settings.advertise.gossip, self.shared.incarnation);
        for (seat, record) in seats {
            self.shared.quota.directory.learn(*seat, record.place());
        }
        let earlier = seats.iter().filter(|(_, record)| record.is_of_earlier_life(own, incarnation));
        self.shared.quota.directory.set_vacant(earlier.map(|(seat, _)| (*seat, 0)).collect());
    }

    pub(super) fn seats_changed(&mut self) {
        self.membership.state.set_seats(self.shared.quota.held.mask());
        self.announce();
        self.update_seat_places();
    }

    /// Finds the seats that no live member says to hold, and this daemon's place in the order of those who may take them.
    pub(super) fn update_vacant_seats(&mut self, now: Instant) {
        if !self.shared.quota.is_needed() || now.since(self.started) < LEAST_AGE {
            return;
        }
        self.update_seat_places();
        let live = self.membership.state.others().filter(|record| record.is_live());
        let told = live.fold(self.shared.quota.held.mask(), |mask, record| mask | record.info.seats);
        let vacant = (0..self.shared.quota.policy.seats).filter(|seat| told & (1 << seat) == 0);
        let contended = vacant.map(|seat| (seat, self.place_for(seat)));
        let contended = contended.filter(|(_, place)| *place < MOST_CONTENDERS).collect();
        self.shared.quota.directory.set_vacant(contended);
    }

    fn place_for(&self, seat: SeatNumber) -> usize {
        let weight = |member: Address| rendezvous::weight(SEAT_SEED, format!("{seat} {member}").as_bytes());
        let own = weight(self.shared.settings.advertise.gossip);
        let before = |record: &&MemberRecord| {
            record.is_live() && record.info.seats == 0 && weight(record.info.gossip) > own
        };
        let held = self.shared.quota.held.mask().count_ones() as usize;
        self.membership.state.others().filter(before).count() + PLACES_FOR_SEAT * held
    }

    /// Tells the threads that carry traffic where the seats are that live members say to hold.
    pub(super) fn update_seat_places(&self) {
        let directory = &self.shared.quota.directory;
        let members = std::iter::once(self.membership.state.me()).chain(self.membership.state.others());
        for record in members.filter(|record| record.is_live() && record.info.seats != 0) {
            let place = SeatPlace { peer: record.info.peer, zone: record.info.zone.clone() };
            for seat in
                (0..self.shared.quota.policy.seats).filter(|seat| record.info.seats & (1 << seat) != 0)
            {
                directory.learn(seat, place.clone());
            }
        }
    }
}
