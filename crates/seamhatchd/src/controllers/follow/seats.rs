//! Taking and keeping seats of the tenants' limits, by keys in the store that go with a lease.
//!
//! Who is to take a seat that nobody seems to hold follows from an order that all members know; the store lets
//! only one have it. A daemon that has restarted takes over what its earlier life held at once.

use super::{ANSWER_TIMEOUT, Backoff};
use crate::clock;
use crate::controllers::events::ControlEvent;
use crate::ports::FollowedStore;
use crate::quota::SeatPlace;
use crate::shared::Shared;
use crate::store::{Item, LeaseId, Revision, StoreError, Write, WriteOutcome};
use log::{debug, info, warn};
use seamhatch_core::Instant;
use seamhatch_core::clock::{MILLISECOND, Microseconds, SECOND};
use seamhatch_core::identity::{Address, Incarnation};
use seamhatch_core::quota::SeatNumber;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

/// Begins the names of the seats' keys, behind the prefix of the daemons' records.
const SEAT_KEY: &str = "seat-";
/// Pause between two looks at what is to be done.
const POLL: Duration = Duration::from_millis(200);
/// How long a lease lasts without renewal: a seat whose holder is lost is free after that.
const LEASE: Duration = Duration::from_secs(5);
/// Time between two renewals, each a tenth of a read: three may fail before the lease ends, and it outlasts an outage of
/// the store of four seconds.
const RENEWAL: Microseconds = SECOND;
/// How much later each next one in the order tries to take a seat.
const NEXT_TRIES_AFTER: Microseconds = 300 * MILLISECOND;
/// Pause after another daemon was found to hold a seat that seemed vacant.
const HELD_ELSEWHERE_PAUSE: Microseconds = 500 * MILLISECOND;

/// What lies in the store for a seat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeatRecord {
    holder: Address,
    incarnation: u64,
    lease: u64,
    peer: Address,
    zone: String,
}

impl SeatRecord {
    /// The seat's number and its record; none where the item is no seat's, or can't be read.
    pub fn read(followed: &FollowedStore, item: &Item) -> Option<(SeatNumber, Self)> {
        let number = item.key.strip_prefix(&followed.member_prefix)?.strip_prefix(SEAT_KEY)?;
        Some((number.parse().ok()?, serde_json::from_slice(&item.value).ok()?))
    }

    /// Where its holder is.
    pub fn place(&self) -> SeatPlace {
        SeatPlace { peer: self.peer, zone: self.zone.clone() }
    }

    /// Whether this daemon's address held it in an earlier life.
    pub fn is_of_earlier_life(&self, holder: Address, incarnation: Incarnation) -> bool {
        self.holder == holder && self.incarnation != incarnation.0
    }
}

/// Keeps the seats that this daemon holds, and takes those that are its to take, for ever.
pub async fn keep_seats(shared: Arc<Shared>, followed: FollowedStore) {
    let mut keeper =
        SeatKeeper { shared, followed, lease: None, renewed: Instant::default(), noticed: BTreeMap::new() };
    let mut backoff = Backoff::default();
    loop {
        tokio::time::sleep(POLL).await;
        if !keeper.shared.quota.is_needed() {
            continue;
        }
        match keeper.step().await {
            Ok(()) => backoff.succeeded(),
            Err(error) => {
                keeper.shared.metrics.store_failures.inc();
                debug!(error = error.to_string().as_str(); "seats can't be taken or kept");
                backoff.pause().await;
            }
        }
    }
}

struct SeatKeeper {
    shared: Arc<Shared>,
    followed: FollowedStore,
    lease: Option<LeaseId>,
    renewed: Instant,
    /// Seats that seem vacant, each with the moment at which this daemon may try next.
    noticed: BTreeMap<SeatNumber, Instant>,
}

impl SeatKeeper {
    async fn step(&mut self) -> Result<(), StoreError> {
        self.drop_what_has_ended();
        self.renew().await?;
        let held = self.shared.quota.held.mask();
        let mut vacant = self.shared.quota.directory.vacant();
        vacant.retain(|(seat, _)| held & (1 << seat) == 0);
        self.noticed.retain(|seat, _| vacant.iter().any(|(vacant, _)| vacant == seat));
        for (seat, place) in vacant {
            let now = clock::now();
            let delay = place as Microseconds * NEXT_TRIES_AFTER;
            let due = *self.noticed.entry(seat).or_insert_with(|| now.plus(delay));
            if now >= due {
                self.try_to_take(seat).await?;
            }
        }
        Ok(())
    }

    fn drop_what_has_ended(&mut self) {
        let held = &self.shared.quota.held;
        if self.lease.is_some() && !held.holds() {
            warn!(seats = held.mask().count_ones(); "the lease of this daemon's seats has ended");
            self.lease = None;
            held.give_up();
            self.shared.control.send(ControlEvent::SeatsChanged);
        }
    }

    async fn renew(&mut self) -> Result<(), StoreError> {
        let Some(lease) = self.lease else { return Ok(()) };
        let sent = clock::now();
        if sent.since(self.renewed) < RENEWAL {
            return Ok(());
        }
        let kept = self.timed(self.followed.store.keep_lease(lease)).await?;
        if kept {
            self.renewed = sent;
            self.shared.quota.held.renewed(sent, LEASE.as_micros() as Microseconds);
        } else {
            self.shared.quota.held.give_up();
            self.drop_what_has_ended();
        }
        Ok(())
    }

    async fn lease(&mut self) -> Result<LeaseId, StoreError> {
        if let Some(lease) = self.lease {
            return Ok(lease);
        }
        let sent = clock::now();
        let lease = self.timed(self.followed.store.make_lease(LEASE)).await?;
        self.renewed = sent;
        self.shared.quota.held.renewed(sent, LEASE.as_micros() as Microseconds);
        self.lease = Some(lease);
        Ok(lease)
    }

    async fn try_to_take(&mut self, seat: SeatNumber) -> Result<(), StoreError> {
        let lease = self.lease().await?;
        let Some(found) = self.write(seat, Revision(0), lease).await? else { return Ok(()) };
        let settings = &self.shared.settings;
        let record = SeatRecord::read(&self.followed, &found).map(|(_, record)| record);
        match record {
            // The answer to an earlier attempt was lost.
            Some(record) if record == self.record(lease) => self.take(seat),
            Some(record) if record.is_of_earlier_life(settings.advertise.gossip, self.shared.incarnation) => {
                self.write(seat, found.revision, lease).await?;
            }
            Some(record) => self.pass_over(seat, &record),
            None => {
                warn!(seat = seat; "a seat's record in the store can't be read, so it is nobody's");
                self.write(seat, found.revision, lease).await?;
            }
        }
        Ok(())
    }

    /// Writes this daemon's record for a seat where the key is at `revision`. What lies there instead, if it isn't.
    async fn write(
        &self,
        seat: SeatNumber,
        revision: Revision,
        lease: LeaseId,
    ) -> Result<Option<Item>, StoreError> {
        let key = format!("{}{SEAT_KEY}{seat}", self.followed.member_prefix);
        let value = serde_json::to_vec(&self.record(lease)).unwrap_or_default();
        let write = Write {
            expect: vec![(key.clone(), revision)],
            put: vec![(key, value)],
            lease: Some(lease),
            ..Write::default()
        };
        match self.timed(self.followed.store.write(&write)).await? {
            WriteOutcome::Done(_) => {
                self.take(seat);
                Ok(None)
            }
            WriteOutcome::Refused(items) => Ok(items.into_iter().next()),
        }
    }

    fn record(&self, LeaseId(lease): LeaseId) -> SeatRecord {
        let settings = &self.shared.settings;
        SeatRecord {
            holder: settings.advertise.gossip,
            incarnation: self.shared.incarnation.0,
            lease,
            peer: settings.advertise.peer,
            zone: settings.zone.clone(),
        }
    }

    fn take(&self, seat: SeatNumber) {
        info!(seat = seat; "this daemon holds a seat of the tenants' limits");
        self.shared.quota.held.take(seat);
        self.shared.control.send(ControlEvent::SeatsChanged);
    }

    fn pass_over(&mut self, seat: SeatNumber, record: &SeatRecord) {
        self.shared.quota.directory.learn(seat, record.place());
        self.noticed.insert(seat, clock::now().plus(HELD_ELSEWHERE_PAUSE));
    }

    async fn timed<T>(&self, call: impl Future<Output = Result<T, StoreError>>) -> Result<T, StoreError> {
        let timed_out = |_| StoreError::AnswerLost { detail: "no answer in time".into() };
        let call = tokio::time::timeout(ANSWER_TIMEOUT, call);
        self.shared.metrics.time_store_call(call).await.map_err(timed_out)?
    }
}
