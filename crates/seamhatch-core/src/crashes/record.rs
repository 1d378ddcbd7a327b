//! The evidence against one request, as daemons tell it to each other.

use super::ServerLife;
use crate::clock::Microseconds;
use crate::identity::RequestDigest;
use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

/// Crashes that are kept of one request. More than that make no difference to any decision.
pub const MOST_MARKS: usize = 16;

/// One crash in which a request was at work.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize,
)]
pub struct CrashMark {
    /// Which life of which server ended.
    pub life: ServerLife,
    /// The request has come to a good end since, or an operator has cleared it.
    pub cleared: bool,
}

/// The evidence against one request. Merging is commutative, associative and idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Readable, Writable, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// What is asked.
    pub request: RequestDigest,
    /// By life, each once, those with the largest numbers where there are more than [`MOST_MARKS`].
    marks: Vec<CrashMark>,
}

/// A record on its way to another daemon.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Readable, Writable)]
pub struct SuspectReport {
    /// The evidence.
    pub record: SuspectRecord,
    /// Time since the last crash.
    pub age: Microseconds,
}

impl SuspectRecord {
    /// No evidence yet.
    #[must_use]
    pub fn new(request: RequestDigest) -> Self {
        Self { request, marks: Vec::new() }
    }

    /// Whether no crash is known, not even a cleared one.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }

    /// Crashes that nothing has cleared.
    #[must_use]
    pub fn open_crashes(&self) -> u32 {
        self.marks.iter().filter(|mark| !mark.cleared).count() as u32
    }

    /// Adds a crash. True when it was not known.
    pub fn add(&mut self, life: ServerLife) -> bool {
        self.add_mark(CrashMark { life, cleared: false })
    }

    /// Clears all crashes that are known. True when one was open.
    pub fn clear(&mut self) -> bool {
        let open = self.open_crashes() > 0;
        self.marks.iter_mut().for_each(|mark| mark.cleared = true);
        open
    }

    /// Takes in what another daemon knows of the same request. True when that is news.
    pub fn merge(&mut self, other: &Self) -> bool {
        let mut news = false;
        // Others may send more than they should.
        for mark in other.marks.iter().take(MOST_MARKS) {
            news |= self.add_mark(*mark);
        }
        news
    }

    fn add_mark(&mut self, mark: CrashMark) -> bool {
        match self.marks.binary_search_by_key(&mark.life, |known| known.life) {
            Ok(position) => {
                let known = &mut self.marks[position];
                let news = mark.cleared && !known.cleared;
                known.cleared |= mark.cleared;
                news
            }
            Err(0) if self.marks.len() == MOST_MARKS => false,
            Err(position) => {
                self.marks.insert(position, mark);
                if self.marks.len() > MOST_MARKS {
                    self.marks.remove(0);
                }
                true
            }
        }
    }
}
