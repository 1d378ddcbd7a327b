//! When each fault of a history began and ended.

use super::fault::SoakFault;
use super::history::{HistoryEvent, SoakMillis};

/// A fault with its real beginning and end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FaultSpan {
    /// The fault.
    pub fault: SoakFault,
    /// Its beginning.
    pub from_ms: SoakMillis,
    /// Its end; [`SoakMillis::MAX`] when the history ends first.
    pub to_ms: SoakMillis,
}

/// The faults of a history, in the order of their ends.
#[must_use]
pub fn fault_spans(history: &[HistoryEvent]) -> Vec<FaultSpan> {
    let mut open: Vec<FaultSpan> = Vec::new();
    let mut spans = Vec::new();
    for event in history {
        match event {
            HistoryEvent::FaultBegins { at_ms, fault } => {
                open.push(FaultSpan { fault: fault.clone(), from_ms: *at_ms, to_ms: SoakMillis::MAX });
            }
            HistoryEvent::FaultEnds { at_ms, fault } => {
                if let Some(index) = open.iter().position(|begun| begun.fault == *fault) {
                    let begun = open.remove(index);
                    spans.push(FaultSpan { to_ms: *at_ms, ..begun });
                }
            }
            _ => {}
        }
    }
    spans.extend(open);
    spans
}
