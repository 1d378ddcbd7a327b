//! Counts, for each second of a soak, what became of the requests that were sent in it.

use crate::soak::exchanges::exchanges;
use crate::soak::history::NOT_RUN;
use crate::soak::history::{HistoryEvent, SeenAnswer};
use std::collections::BTreeMap;

/// What became of a request, as its caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum AnswerKind {
    /// A whole answer, of a back end or recorded from an earlier attempt.
    Good,
    /// It was refused and has not run.
    NotRun,
    /// Everything else: it may have run.
    Unknown,
}

impl AnswerKind {
    /// All, in the order of the plots.
    pub const ALL: [Self; 3] = [Self::Good, Self::NotRun, Self::Unknown];

    /// Name in a legend.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Good => "answered",
            Self::NotRun => "refused, not run",
            Self::Unknown => "failed, may have run",
        }
    }

    fn of(answer: &SeenAnswer) -> Self {
        match answer {
            SeenAnswer { status: 200, whole: true, .. } => Self::Good,
            _ if answer.outcome == NOT_RUN => Self::NotRun,
            _ => Self::Unknown,
        }
    }
}

/// The requests that were sent in one second.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SecondCounts {
    /// Requests by what became of them.
    pub answers: BTreeMap<AnswerKind, usize>,
    /// Refused or failed ones by their reason.
    pub reasons: BTreeMap<String, usize>,
    /// Times until good answers in milliseconds, sorted.
    pub latencies_ms: Vec<u64>,
}

impl SecondCounts {
    /// The quantile `share` of the times until good answers, in milliseconds; none without a good answer.
    #[must_use]
    pub fn latency_ms(&self, share: f64) -> Option<u64> {
        let last = self.latencies_ms.len().checked_sub(1)?;
        self.latencies_ms.get((last as f64 * share).round() as usize).copied()
    }
}

/// All seconds of a soak.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SoakSeries {
    /// One element a second, from the beginning of the load.
    pub seconds: Vec<SecondCounts>,
}

impl SoakSeries {
    /// The series of a history.
    #[must_use]
    pub fn of(history: &[HistoryEvent]) -> Self {
        let mut seconds: Vec<SecondCounts> = Vec::new();
        for exchange in exchanges(history) {
            let second = (exchange.sent_ms / 1000) as usize;
            if seconds.len() <= second {
                seconds.resize(second + 1, SecondCounts::default());
            }
            let counts = &mut seconds[second];
            let kind = AnswerKind::of(exchange.answer);
            *counts.answers.entry(kind).or_default() += 1;
            if kind == AnswerKind::Good {
                counts.latencies_ms.push(exchange.answered_ms.saturating_sub(exchange.sent_ms));
            } else {
                *counts.reasons.entry(exchange.answer.reason.clone()).or_default() += 1;
            }
        }
        seconds.iter_mut().for_each(|counts| counts.latencies_ms.sort_unstable());
        Self { seconds }
    }

    /// Number of all requests.
    #[must_use]
    pub fn total(&self) -> usize {
        self.seconds.iter().flat_map(|counts| counts.answers.values()).sum()
    }

    /// The reasons that were given most often, at most `most`.
    #[must_use]
    pub fn frequent_reasons(&self, most: usize) -> Vec<String> {
        let mut totals: BTreeMap<&String, usize> = BTreeMap::new();
        for (reason, count) in self.seconds.iter().flat_map(|counts| &counts.reasons) {
            *totals.entry(reason).or_default() += count;
        }
        let mut reasons: Vec<(&String, usize)> = totals.into_iter().collect();
        reasons.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
        reasons.into_iter().take(most).map(|(reason, _)| reason.clone()).collect()
    }
}
