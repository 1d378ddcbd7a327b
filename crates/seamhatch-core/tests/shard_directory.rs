//! The order in which a daemon asks shards for tokens.

use seamhatch_core::Instant;
use seamhatch_core::clock::{MILLISECOND, SECOND};
use seamhatch_core::outcome::Reason;
use seamhatch_core::quota::{ShardDirectory, ShardHolder, refusal_without_token};

const NOW: Instant = Instant(100 * SECOND);

fn holder(number: u8, zone: &str) -> ShardHolder {
    ShardHolder { peer: format!("10.0.0.{number}:1").parse().expect("valid"), zone: zone.to_owned() }
}

/// Shards 0 to 3; the even ones are in zone a.
fn directory() -> ShardDirectory {
    let mut directory = ShardDirectory::default();
    for shard in 0..4 {
        directory.set_holder(shard, holder(shard as u8, if shard % 2 == 0 { "a" } else { "b" }));
    }
    directory
}

fn order(directory: &ShardDirectory, zone: &str, now: Instant, first: usize) -> Vec<u32> {
    directory.shards_to_ask(zone, now, |below| first % below).into_iter().map(|(shard, _)| shard).collect()
}

#[test]
fn shards_of_the_own_zone_are_asked_first_from_a_random_one_on() {
    let directory = directory();
    assert_eq!(order(&directory, "a", NOW, 0), [0, 2, 1, 3]);
    assert_eq!(order(&directory, "a", NOW, 1), [2, 0, 3, 1]);
    assert_eq!(order(&directory, "b", NOW, 0), [1, 3, 0, 2]);
    assert_eq!(order(&directory, "c", NOW, 2), [2, 3, 0, 1]);
}

#[test]
fn an_unavailable_holder_is_skipped_for_a_while_or_until_the_shard_moves() {
    let mut directory = directory();
    directory.mark_unavailable(0, NOW);
    directory.mark_unavailable(1, NOW);
    assert_eq!(order(&directory, "a", NOW.plus(499 * MILLISECOND), 0), [2, 3]);
    directory.set_holder(0, holder(0, "a"));
    assert_eq!(order(&directory, "a", NOW, 0), [2, 3], "the same holder");
    directory.set_holder(0, holder(9, "a"));
    assert_eq!(order(&directory, "a", NOW, 0), [0, 2, 3], "another holder");
    assert_eq!(order(&directory, "a", NOW.plus(500 * MILLISECOND), 0), [0, 2, 1, 3]);
}

#[test]
fn a_request_is_over_quota_only_if_a_shard_answered() {
    assert_eq!(refusal_without_token(true), Reason::OverQuota);
    assert_eq!(refusal_without_token(false), Reason::NoQuotaShard);
}
