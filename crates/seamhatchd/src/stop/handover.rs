//! Handing over what a daemon that stops remembers as a witness.

use super::passed_since;
use crate::shared::Shared;
use log::{info, warn};
use seamhatch_core::Instant;
use seamhatch_core::roster::WitnessDuty;
use std::time::Duration;

/// Longest time from the request to stop for others to take over this daemon's shards; the grace period may end before.
const LONGEST_HANDOVER: Duration = Duration::from_secs(30);
/// Pause between two checks whether they have.
const HANDOVER_POLL: Duration = Duration::from_millis(50);

/// Waits until others have taken over the shards that this daemon witnesses, for at most `longest` since `started`.
pub(super) async fn until_handed_over(shared: &Shared, started: Instant, longest: Duration) {
    let longest = longest.min(LONGEST_HANDOVER);
    if until_released(shared, started, longest).await {
        // A change of witnesses that was under way when the stop began may have chosen this daemon.
        until_released(shared, started, longest).await;
    }
}

/// Two daemons that end with what they remember leave a shard that grants nothing until no request of before lives any more. False when nobody has
/// taken it over.
async fn until_released(shared: &Shared, started: Instant, longest: Duration) -> bool {
    let mut held = 0;
    loop {
        let why = match shared.control.witness_duty().await {
            Some(WitnessDuty::Released) => {
                if held > 0 {
                    let after_ms = passed_since(started).as_millis();
                    info!(shards = held, after_ms = after_ms; "others have taken over this daemon's shards");
                }
                return true;
            }
            Some(WitnessDuty::Held { shards }) if passed_since(started) < longest => {
                held = held.max(shards);
                tokio::time::sleep(HANDOVER_POLL).await;
                continue;
            }
            Some(WitnessDuty::Held { shards }) => {
                format!("{shards} of its shards have no other witness in time")
            }
            Some(WitnessDuty::NoSuccessor { shards }) => {
                format!("nobody else is left to witness {shards} shards")
            }
            None => "the control thread is held up".to_owned(),
        };
        warn!(why = why.as_str(); "the daemon ends before others have taken over its shards");
        return false;
    }
}
