//! Calls that wait for a slot, ordered by class and, within it, by bucket and age.
//!
//! Owns a line for each class. Used by [`super::AdmissionQueue`] alone.

use super::{AdmissionRequest, Ticket};
use crate::clock::Instant;
use crate::priority::{Priority, PriorityClass};
use std::collections::{BTreeMap, HashMap};

/// Place of a call within its class: bucket, age of its root, ticket.
type Place = (u8, Instant, Ticket);

/// Waiting calls, a line for each class.
#[derive(Debug, Default)]
pub(super) struct WaitingLines {
    lines: [BTreeMap<Place, AdmissionRequest>; PriorityClass::ALL.len()],
    priorities: HashMap<Ticket, (Priority, Instant)>,
}

impl WaitingLines {
    /// Calls that wait.
    pub(super) fn len(&self) -> usize {
        self.priorities.len()
    }

    /// Whether none waits.
    pub(super) fn is_empty(&self) -> bool {
        self.priorities.is_empty()
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

    /// Calls of `class` at this `level` or a less important one.
    pub(super) fn count_from_level(&self, class: PriorityClass, level: u16) -> usize {
        let below = |request: &&AdmissionRequest| request.priority.level() < level;
        self.len_of(class) - self.lines[class.rank()].values().take_while(below).count()
    }

    /// The level of the call in this place of the whole, in the order of importance.
    pub(super) fn level_at(&self, index: usize) -> Option<u16> {
        self.lines.iter().flat_map(BTreeMap::values).nth(index).map(|request| request.priority.level())
    }

    /// Adds a call.
    pub(super) fn insert(&mut self, request: AdmissionRequest) {
        self.priorities.insert(request.ticket, (request.priority, request.root_admitted));
        self.lines[request.priority.class.rank()].insert(place(&request), request);
    }

    /// Removes a call; none when it doesn't wait.
    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<AdmissionRequest> {
        let (priority, root_admitted) = self.priorities.remove(&ticket)?;
        self.lines[priority.class.rank()].remove(&(priority.bucket, root_admitted, ticket))
    }

    /// Removes all calls.
    pub(super) fn clear(&mut self) -> Vec<Ticket> {
        self.lines.iter_mut().for_each(BTreeMap::clear);
        self.priorities.drain().map(|(ticket, _)| ticket).collect()
    }
}

fn place(request: &AdmissionRequest) -> Place {
    (request.priority.bucket, request.root_admitted, request.ticket)
}
