//! Answer bodies that prove which request they answer: a line with the request, filler made from it, and a checksum at the end.
//!
//! Back ends make them; callers and back ends that call others check them.

use xxhash_rust::xxh3::xxh3_64;

/// Bytes of the checksum, a 64-bit number in hexadecimal.
const CHECKSUM: usize = 16;

/// The body of about `size` bytes that answers `request` at `path`.
#[must_use]
pub fn make(request: &str, path: &str, size: usize) -> Vec<u8> {
    let mut body = format!("{request} {path}\n").into_bytes();
    let seed = xxh3_64(&body);
    while body.len() + CHECKSUM < size {
        let block = seed.wrapping_mul(body.len() as u64 | 1);
        body.extend_from_slice(&block.to_le_bytes());
    }
    let checksum = format!("{:016x}", xxh3_64(&body));
    body.extend_from_slice(checksum.as_bytes());
    body
}

/// Whether `body` is a whole answer to `request`.
#[must_use]
pub fn is_whole(body: &[u8], request: &str) -> bool {
    let Some(split) = body.len().checked_sub(CHECKSUM) else { return false };
    let (content, checksum) = body.split_at(split);
    let own = content.starts_with(request.as_bytes()) && content.get(request.len()) == Some(&b' ');
    own && checksum == format!("{:016x}", xxh3_64(content)).as_bytes()
}
