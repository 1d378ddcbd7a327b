//! Rendezvous (highest random weight) hashing: every daemon makes the same choice from the same candidates, without
//! coordination.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The weight of `candidate` for `seed`. The candidates with the largest weights are chosen.
#[must_use]
pub fn weight(seed: u64, candidate: &[u8]) -> u64 {
    xxh3_64_with_seed(candidate, seed)
}

/// The `count` candidates with the largest weights for `seed`, largest first.
pub fn choose<'a, T>(
    seed: u64,
    candidates: impl Iterator<Item = &'a T>,
    key: impl Fn(&T) -> Vec<u8>,
    count: usize,
) -> Vec<&'a T> {
    let mut weighed: Vec<(u64, &T)> =
        candidates.map(|candidate| (weight(seed, &key(candidate)), candidate)).collect();
    weighed.sort_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    weighed.into_iter().take(count).map(|(_, candidate)| candidate).collect()
}
