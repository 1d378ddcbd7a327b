//! Following a store that keeps what it acknowledged: the configuration, the other daemons, and what
//! this daemon has to have remembered.
//!
//! The tasks here talk to the store and to other daemons; the control thread decides on what they find.

mod condemned;
mod configuration;
mod departures;
mod discovery;
mod freshness;
mod own_record;
mod quota_shards;

pub use condemned::remember_condemned;
pub use configuration::follow_configuration;
pub use departures::{ask_departures, remember_departure};
pub use discovery::discover;
pub use freshness::keep_fresh;
pub use quota_shards::{holder_of, keep_quota_shards};

use std::time::Duration;

/// Longest wait for an answer of the store, where nothing is waited for there.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1500);
/// First pause after a failure of the store; doubled at each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause after a failure of the store.
const LONGEST_PAUSE: Duration = Duration::from_millis(1200);

/// Pauses that grow with each failure in a row, with jitter so that daemons don't act in step.
#[derive(Debug, Default)]
struct Backoff {
    failures: u32,
}

impl Backoff {
    fn succeeded(&mut self) {
        self.failures = 0;
    }

    async fn pause(&mut self) {
        let span = FIRST_PAUSE.saturating_mul(1 << self.failures.min(8)).min(LONGEST_PAUSE);
        self.failures += 1;
        tokio::time::sleep(span.mul_f64(0.5 + rand::random::<f64>())).await;
    }
}
