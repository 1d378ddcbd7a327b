//! Calls that wait for a slot, ordered by class and, within it, calls of begun chains first, then by bucket and age.
//!
//! Owns a line for each class. Used by [`super::AdmissionQueue`] alone.

use super::{AdmissionRequest, Ticket};
use crate::clock::Instant;
use crate::priority::PriorityClass;
use std::collections::{BTreeMap, HashMap};

/// Place of a call within its class: whether it is the first call of its request, bucket, age of its root, ticket.
type Place = (bool, u8, Instant, Ticket);

/// Waiting calls, a line for each class.
#[derive(Debug, Default)]
pub(super) struct WaitingLines {
    lines: [BTreeMap<Place, AdmissionRequest>; PriorityClass::ALL.len()],
    places: HashMap<Ticket, (PriorityClass, Place)>,
}

impl WaitingLines {
    /// Calls that wait.
    pub(super) fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether none waits.
    pub(super) fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Calls of `class` that wait.
    pub(super) fn len_of(&self, class: PriorityClass) -> usize {
        self.lines[class.rank()].len()
    }

    /// The calls of `class`, in their order.
    pub(super) fn line(&self, class: PriorityClass) -> impl Iterator<Item = &AdmissionRequest> {
        self.lines[class.rank()].values()
    }

    /// The first call of `class`.
    pub(super) fn first_of(&self, class: PriorityClass) -> Option<&AdmissionRequest> {
        self.lines[class.rank()].first_key_value().map(|(_, request)| request)
    }

    /// The last call of `class`: the first to be evicted.
    pub(super) fn last_of(&self, class: PriorityClass) -> Option<&AdmissionRequest> {
        self.lines[class.rank()].last_key_value().map(|(_, request)| request)
    }

    /// Calls of the same class that go before `request`.
    pub(super) fn ahead_in_class(&self, request: &AdmissionRequest) -> usize {
        self.lines[request.priority.class.rank()].range(..place(request)).count()
    }

    /// Calls of more important classes.
    pub(super) fn more_important(&self, class: PriorityClass) -> usize {
        self.lines[..class.rank()].iter().map(BTreeMap::len).sum()
    }

    /// Calls of `class` at this `level` or a less important one. Calls of begun chains go first whatever their level, so the whole line
    /// is searched.
    pub(super) fn count_from_level(&self, class: PriorityClass, level: u16) -> usize {
        self.line(class).filter(|request| request.priority.level() >= level).count()
    }

    /// Level of the call in this place if all waiting calls were sorted by level: a floor there admits at most so many of them, besides
    /// those in kept buckets.
    pub(super) fn level_at(&self, index: usize) -> Option<u16> {
        let mut before = 0;
        for class in PriorityClass::ALL {
            if index < before + self.len_of(class) {
                let mut levels: Vec<u16> = self.line(class).map(|request| request.priority.level()).collect();
                levels.sort_unstable();
                return levels.get(index - before).copied();
            }
            before += self.len_of(class);
        }
        None
    }

    /// Adds a call.
    pub(super) fn insert(&mut self, request: AdmissionRequest) {
        let class = request.priority.class;
        self.places.insert(request.ticket, (class, place(&request)));
        self.lines[class.rank()].insert(place(&request), request);
    }

    /// Removes a call; none when it doesn't wait.
    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<AdmissionRequest> {
        let (class, place) = self.places.remove(&ticket)?;
        self.lines[class.rank()].remove(&place)
    }

    /// Removes all calls.
    pub(super) fn clear(&mut self) -> Vec<Ticket> {
        self.lines.iter_mut().for_each(BTreeMap::clear);
        self.places.drain().map(|(ticket, _)| ticket).collect()
    }
}

fn place(request: &AdmissionRequest) -> Place {
    (!request.continues_chain, request.priority.bucket, request.root_admitted, request.ticket)
}
