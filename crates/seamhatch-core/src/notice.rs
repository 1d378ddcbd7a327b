//! Notices: what a back end says of itself in its answers, and which word of it counts.
//!
//! A back end in need names the rate at which it takes requests, for as long as it says so; one that leaves says that too. The answers
//! of its present instance are the only evidence, and they arrive in any order: an answer that was begun before a change may come after it.
//! So a tighter word counts at once; a looser one, or none, counts only in an answer to a request that was sent after each tighter word had
//! come. What is lost with the daemon beside the back end is handed back by the daemons that were told ([`BackEndNotice`]), and counts until
//! the back end's own first word.
//!
//! Who calls it: `seamhatchd::server::notices`, and the model check of notices.

use crate::clock::{Instant, Microseconds};
use crate::instance::InstanceId;
use crate::rate::RequestRate;
use speedy::{Readable, Writable};
use std::collections::VecDeque;

/// Handed back words that are kept for instances that have not registered yet, the latest ones.
const MOST_HANDED_BACK: usize = 8;
/// Words of the present instance that are kept apart.
const MOST_WORDS: usize = 8;

/// The rate that an answer names.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum NamedRate {
    /// None.
    #[default]
    NotNamed,
    /// At most so many requests, from all daemons together.
    Named(RequestRate),
    /// Something that can't be read, which says nothing.
    Unreadable,
}

/// What one answer says of its back end.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerNotice {
    /// The rate that it names.
    pub rate: NamedRate,
    /// The back end leaves.
    pub leaving: bool,
    /// The answer is surely the back end's own, so that what it doesn't say counts too.
    pub proven: bool,
    /// When the caller should come back, where the back end has refused the call and says so.
    pub return_after: Option<Microseconds>,
}

/// What is known of an instance from its answers, as daemons tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable)]
pub struct BackEndNotice {
    /// The instance; none where instances don't register.
    pub instance: Option<InstanceId>,
    /// The rate that it names.
    pub rate: Option<RequestRate>,
    /// It has said that it leaves.
    pub leaving: bool,
}

/// What an answer changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RateChange {
    /// Nothing.
    Unchanged,
    /// From now on this rate holds.
    HoldTo(RequestRate),
    /// No rate is named any more.
    Lifted,
}

/// A rate that an answer has named.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Word {
    rate: RequestRate,
    /// When the last such answer came.
    heard: Instant,
}

impl Word {
    /// A rate that was named before this process started: any answer since then is newer.
    fn handed_back(rate: RequestRate) -> Self {
        Self { rate, heard: Instant::default() }
    }
}

/// Which rate the present instance of a back end names.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct RateTracker {
    instance: Option<InstanceId>,
    /// The word that holds, and looser ones that came later in answers which may have been begun before it; each later and looser than the
    /// one before.
    words: Vec<Word>,
    /// The instance itself has been heard since this process started.
    heard: bool,
    /// By instances that have not registered here.
    handed_back: VecDeque<(Option<InstanceId>, RequestRate)>,
}

impl RateTracker {
    /// The rate that holds.
    #[must_use]
    pub fn rate(&self) -> Option<RequestRate> {
        self.words.first().map(|word| word.rate)
    }

    /// The instance that it is about.
    #[must_use]
    pub fn instance(&self) -> Option<&InstanceId> {
        self.instance.as_ref()
    }

    /// An instance takes calls from now on. Another one than before begins without a rate, unless one was handed back for it.
    pub fn open(&mut self, instance: Option<&InstanceId>) -> RateChange {
        if self.instance.as_ref() == instance {
            return RateChange::Unchanged;
        }
        let before = self.rate();
        self.instance = instance.cloned();
        self.heard = false;
        self.words = self.tightest_handed_back().map(Word::handed_back).into_iter().collect();
        self.change_from(before)
    }

    /// An answer of `instance` has come, to a request that was sent at `sent`.
    pub fn observe(
        &mut self,
        instance: Option<&InstanceId>,
        notice: AnswerNotice,
        sent: Instant,
        now: Instant,
    ) -> RateChange {
        if self.instance.as_ref() != instance {
            return RateChange::Unchanged;
        }
        let before = self.rate();
        match notice.rate {
            NamedRate::Named(rate) => self.hear_rate(rate, sent, now),
            NamedRate::NotNamed if notice.proven => self.hear_none(sent),
            NamedRate::NotNamed | NamedRate::Unreadable => {}
        }
        self.change_from(before)
    }

    /// Another daemon knows this rate of an instance, from before this process started.
    pub fn hand_back(&mut self, instance: Option<&InstanceId>, rate: RequestRate) -> RateChange {
        if self.instance.as_ref() != instance {
            if self.handed_back.len() == MOST_HANDED_BACK {
                self.handed_back.pop_front();
            }
            self.handed_back.push_back((instance.cloned(), rate));
            return RateChange::Unchanged;
        }
        let before = self.rate();
        if !self.heard && before.is_none_or(|known| rate < known) {
            self.words = vec![Word::handed_back(rate)];
        }
        self.change_from(before)
    }

    /// What other daemons are to hand back, should this one restart. Until an instance has registered, that is what was handed back for
    /// the latest one.
    #[must_use]
    pub fn rate_for_peers(&self) -> Option<(Option<&InstanceId>, RequestRate)> {
        if let Some(rate) = self.rate() {
            return Some((self.instance.as_ref(), rate));
        }
        let (instance, rate) = self.handed_back.back().filter(|_| self.instance.is_none())?;
        Some((instance.as_ref(), *rate))
    }

    fn hear_rate(&mut self, rate: RequestRate, sent: Instant, now: Instant) {
        self.heard = true;
        let tighter = |word: &Word| word.rate < rate;
        let is_out_of_date = self.words.iter().any(|word| tighter(word) && sent <= word.heard);
        self.words.retain(|word| is_out_of_date && tighter(word));
        if self.words.len() == MOST_WORDS {
            // The two loosest become one, which errs on the tighter side.
            self.words.pop();
            self.words.last_mut().into_iter().for_each(|word| word.heard = now);
        } else {
            self.words.push(Word { rate, heard: now });
        }
    }

    fn hear_none(&mut self, sent: Instant) {
        if self.words.iter().all(|word| sent > word.heard) {
            self.heard = true;
            self.words.clear();
        }
    }

    fn change_from(&self, before: Option<RequestRate>) -> RateChange {
        match self.rate() {
            rate if rate == before => RateChange::Unchanged,
            Some(rate) => RateChange::HoldTo(rate),
            None => RateChange::Lifted,
        }
    }

    fn tightest_handed_back(&mut self) -> Option<RequestRate> {
        let own = self.handed_back.iter().filter(|(instance, _)| *instance == self.instance);
        let tightest = own.map(|(_, rate)| *rate).min();
        self.handed_back.clear();
        tightest
    }
}
