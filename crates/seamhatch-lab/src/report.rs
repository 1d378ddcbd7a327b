//! The table of results that `demo` prints.

use crate::load::LoadResult;
use std::time::Duration;

fn milliseconds(microseconds: u64) -> f64 {
    microseconds as f64 / 1000.0
}

/// Goodput and latency by kind of request, and why others failed.
#[must_use]
pub fn load_table(result: &LoadResult, duration: Duration) -> String {
    let mut text = format!(
        "{:<18} {:>7} {:>7} {:>10} {:>9} {:>9} {:>9}\n",
        "REQUEST", "SENT", "GOOD", "GOODPUT/s", "p50 ms", "p99 ms", "max ms"
    );
    for (name, kind) in result {
        text.push_str(&format!(
            "{name:<18} {:>7} {:>7} {:>10.1} {:>9.2} {:>9.2} {:>9.2}\n",
            kind.sent,
            kind.good,
            kind.good as f64 / duration.as_secs_f64(),
            milliseconds(kind.latency.value_at_quantile(0.5)),
            milliseconds(kind.latency.value_at_quantile(0.99)),
            milliseconds(kind.latency.max()),
        ));
    }
    text.push_str("\nnot answered, by outcome and reason:\n");
    let mut none = true;
    for (name, kind) in result {
        for (cause, count) in &kind.failures {
            none = false;
            text.push_str(&format!("  {name:<18} {cause:<36} {count:>7}\n"));
        }
    }
    if none {
        text.push_str("  none\n");
    }
    text
}
