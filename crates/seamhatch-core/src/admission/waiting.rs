//! Calls that wait for a slot, ordered by class; within a class, calls that continue a chain go first, then by bucket
//! and age.
//!
//! Each class has an ordered map of its own.

use super::{AdmissionRequest, Ticket};
use crate::clock::Instant;
use crate::priority::PriorityClass;
use std::collections::{BTreeMap, HashMap};

/// Order within a class: whether the call is the first of its chain, its bucket, when its root was admitted, its
/// ticket.
type OrderKey = (bool, u8, Instant, Ticket);

/// Waiting calls by class.
#[derive(Debug, Default)]
pub(super) struct WaitingCalls {
    by_class: [BTreeMap<OrderKey, AdmissionRequest>; PriorityClass::ALL.len()],
    keys: HashMap<Ticket, (PriorityClass, OrderKey)>,
}

impl WaitingCalls {
    pub(super) fn len(&self) -> usize {
        self.keys.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Number of waiting calls of `class`.
    pub(super) fn len_of(&self, class: PriorityClass) -> usize {
        self.by_class[class.rank()].len()
    }

    /// The waiting calls of `class`, in their order.
    pub(super) fn of_class(&self, class: PriorityClass) -> impl Iterator<Item = &AdmissionRequest> {
        self.by_class[class.rank()].values()
    }

    pub(super) fn first_of(&self, class: PriorityClass) -> Option<&AdmissionRequest> {
        self.by_class[class.rank()].first_key_value().map(|(_, request)| request)
    }

    /// The last call of `class`, which is evicted first.
    pub(super) fn last_of(&self, class: PriorityClass) -> Option<&AdmissionRequest> {
        self.by_class[class.rank()].last_key_value().map(|(_, request)| request)
    }

    /// Number of calls of the same class that go before `request`.
    pub(super) fn ahead_in_class(&self, request: &AdmissionRequest) -> usize {
        self.by_class[request.priority.class.rank()].range(..order_key(request)).count()
    }

    /// Number of calls of more important classes.
    pub(super) fn count_more_important(&self, class: PriorityClass) -> usize {
        self.by_class[..class.rank()].iter().map(BTreeMap::len).sum()
    }

    /// Number of calls of `class` at this `level` or a less important one. Calls that continue a chain go first at any
    /// level, so the whole class is searched.
    pub(super) fn count_from_level(&self, class: PriorityClass, level: u16) -> usize {
        self.of_class(class).filter(|request| request.priority.level() >= level).count()
    }

    /// Level of the call at this index if all waiting calls were sorted by level. A floor at this level admits at most
    /// `index` of them, besides those in kept buckets.
    pub(super) fn level_at(&self, index: usize) -> Option<u16> {
        let mut before = 0;
        for class in PriorityClass::ALL {
            if index < before + self.len_of(class) {
                let mut levels: Vec<u16> =
                    self.of_class(class).map(|request| request.priority.level()).collect();
                levels.sort_unstable();
                return levels.get(index - before).copied();
            }
            before += self.len_of(class);
        }
        None
    }

    pub(super) fn insert(&mut self, request: AdmissionRequest) {
        let class = request.priority.class;
        self.keys.insert(request.ticket, (class, order_key(&request)));
        self.by_class[class.rank()].insert(order_key(&request), request);
    }

    /// Removes a call; `None` if it does not wait.
    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<AdmissionRequest> {
        let (class, key) = self.keys.remove(&ticket)?;
        self.by_class[class.rank()].remove(&key)
    }

    pub(super) fn clear(&mut self) -> Vec<Ticket> {
        self.by_class.iter_mut().for_each(BTreeMap::clear);
        self.keys.drain().map(|(ticket, _)| ticket).collect()
    }
}

fn order_key(request: &AdmissionRequest) -> OrderKey {
    (!request.continues_chain, request.priority.bucket, request.root_admitted, request.ticket)
}
