//! Notices: what a back end reports about itself in its answers, and which of these reports apply.
//!
//! An overloaded back end names the rate at which it takes requests, in each answer for as long as the rate
//! applies; a back end that leaves reports that too. Only answers of the present instance count, and they
//! arrive in any order: an answer that was started before a change may arrive after it. So a lower rate
//! applies at once. A higher rate, or none, applies only from an answer whose request was sent after all
//! answers with a lower rate had arrived. If the daemon beside the back end restarts, the daemons that know
//! the rate hand it back ([`BackEndNotice`]), and it applies until an answer of the back end sets or clears the
//! rate.
//!
//! Used by `seamhatchd::server::notices` and the model check of notices.

use crate::clock::{Instant, Microseconds};
use crate::instance::InstanceId;
use crate::rate::RequestRate;
use speedy::{Readable, Writable};
use std::collections::VecDeque;

/// Maximum number of rates that are kept after being handed back for instances that have not registered yet,
/// the latest ones.
const MAX_HANDED_BACK_RATES: usize = 8;
/// Maximum number of rates that are tracked for the present instance.
const MAX_ANNOUNCEMENTS: usize = 8;

/// Rate that an answer names.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum NamedRate {
    /// The answer names no rate.
    #[default]
    NotNamed,
    /// At most this many requests, from all daemons together.
    Named(RequestRate),
    /// The value cannot be parsed and is ignored.
    Unreadable,
}

/// What one answer reports about its back end.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerNotice {
    /// Rate that the answer names.
    pub rate: NamedRate,
    /// The back end is leaving.
    pub leaving: bool,
    /// The answer is certainly from the back end itself, so that what it omits counts too.
    pub proven: bool,
    /// When the caller should return, if the back end refused the call and states it.
    pub return_after: Option<Microseconds>,
}

/// What is known of an instance from its answers, as daemons exchange it.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable)]
pub struct BackEndNotice {
    /// The instance; `None` if instances do not register.
    pub instance: Option<InstanceId>,
    /// Rate that the instance names.
    pub rate: Option<RequestRate>,
    /// The instance has reported that it leaves.
    pub leaving: bool,
}

/// Effect of an answer on the rate in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RateChange {
    /// The rate is unchanged.
    Unchanged,
    /// This rate applies from now on.
    Limit(RequestRate),
    /// No rate applies any more.
    Unlimited,
}

/// A rate that an answer has named.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Announcement {
    rate: RequestRate,
    /// When the last answer with this rate arrived.
    received: Instant,
}

impl Announcement {
    /// A rate that was named before this process started; any answer since then is newer.
    fn handed_back(rate: RequestRate) -> Self {
        Self { rate, received: Instant::default() }
    }
}

/// Tracks which rate the present instance of a back end names.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct RateTracker {
    instance: Option<InstanceId>,
    /// The rate in force, and higher rates from later answers that may have been started before it was named.
    /// Each is later and higher than the one before.
    announcements: Vec<Announcement>,
    /// An answer of the instance has set or cleared the rate since this process started.
    has_own_rate_report: bool,
    /// Rates handed back for instances that have not registered here.
    handed_back: VecDeque<(Option<InstanceId>, RequestRate)>,
}

impl RateTracker {
    /// Rate in force.
    #[must_use]
    pub fn rate(&self) -> Option<RequestRate> {
        self.announcements.first().map(|announcement| announcement.rate)
    }

    /// Instance that the rate applies to.
    #[must_use]
    pub fn instance(&self) -> Option<&InstanceId> {
        self.instance.as_ref()
    }

    /// Records that an instance takes calls from now on. A new instance starts without a rate, unless one was
    /// handed back for it.
    pub fn open(&mut self, instance: Option<&InstanceId>) -> RateChange {
        if self.instance.as_ref() == instance {
            return RateChange::Unchanged;
        }
        let before = self.rate();
        self.instance = instance.cloned();
        self.has_own_rate_report = false;
        self.announcements = self.lowest_handed_back().map(Announcement::handed_back).into_iter().collect();
        self.change_from(before)
    }

    /// Records an answer of `instance` to a request that was sent at `sent`.
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
            NamedRate::Named(rate) => self.observe_rate(rate, sent, now),
            NamedRate::NotNamed if notice.proven => self.observe_no_rate(sent),
            NamedRate::NotNamed | NamedRate::Unreadable => {}
        }
        self.change_from(before)
    }

    /// Records a rate that another daemon knows for an instance from before this process started.
    pub fn hand_back(&mut self, instance: Option<&InstanceId>, rate: RequestRate) -> RateChange {
        if self.instance.as_ref() != instance {
            if self.handed_back.len() == MAX_HANDED_BACK_RATES {
                self.handed_back.pop_front();
            }
            self.handed_back.push_back((instance.cloned(), rate));
            return RateChange::Unchanged;
        }
        let before = self.rate();
        if !self.has_own_rate_report && before.is_none_or(|known| rate < known) {
            self.announcements = vec![Announcement::handed_back(rate)];
        }
        self.change_from(before)
    }

    /// Rate that other daemons should hand back if this one restarts. Until an instance has registered, it is
    /// the rate that was handed back for the latest one.
    #[must_use]
    pub fn rate_for_peers(&self) -> Option<(Option<&InstanceId>, RequestRate)> {
        if let Some(rate) = self.rate() {
            return Some((self.instance.as_ref(), rate));
        }
        let (instance, rate) = self.handed_back.back().filter(|_| self.instance.is_none())?;
        Some((instance.as_ref(), *rate))
    }

    fn observe_rate(&mut self, rate: RequestRate, sent: Instant, now: Instant) {
        self.has_own_rate_report = true;
        let lower = |announcement: &Announcement| announcement.rate < rate;
        let is_out_of_date = self
            .announcements
            .iter()
            .any(|announcement| lower(announcement) && sent <= announcement.received);
        self.announcements.retain(|announcement| is_out_of_date && lower(announcement));
        if self.announcements.len() == MAX_ANNOUNCEMENTS {
            // Drops the new rate and the highest known one, and dates the rate below them to now: this keeps a
            // lower rate for longer, never a higher one.
            self.announcements.pop();
            self.announcements.last_mut().into_iter().for_each(|announcement| announcement.received = now);
        } else {
            self.announcements.push(Announcement { rate, received: now });
        }
    }

    fn observe_no_rate(&mut self, sent: Instant) {
        if self.announcements.iter().all(|announcement| sent > announcement.received) {
            self.has_own_rate_report = true;
            self.announcements.clear();
        }
    }

    fn change_from(&self, before: Option<RequestRate>) -> RateChange {
        match self.rate() {
            rate if rate == before => RateChange::Unchanged,
            Some(rate) => RateChange::Limit(rate),
            None => RateChange::Unlimited,
        }
    }

    fn lowest_handed_back(&mut self) -> Option<RequestRate> {
        let own = self.handed_back.iter().filter(|(instance, _)| *instance == self.instance);
        let lowest = own.map(|(_, rate)| *rate).min();
        self.handed_back.clear();
        lowest
    }
}
