//! An answer's body, streamed in pieces so that it can break off in the middle.

use super::RunningGuard;
use bytes::Bytes;
use futures_util::stream;
use xitca_web::body::{ResponseBody, StreamDataBody};

/// Bytes of a piece. Chosen, not measured: large answers take several.
const PIECE: usize = 32 * 1024;

/// Streams a body and holds `guard` until it was written. When it is cut, the second half fails.
pub(super) fn streamed(body: Vec<u8>, cut: bool, guard: RunningGuard) -> ResponseBody {
    let bytes = Bytes::from(body);
    let end = if cut { bytes.len() / 2 } else { bytes.len() };
    let state = Some((bytes, 0, end, guard));
    let pieces = stream::unfold(state, move |state| async move {
        let (bytes, start, end, guard) = state?;
        if start >= end {
            return if cut { Some((Err(std::io::Error::other("cut")), None)) } else { None };
        }
        let next = (start + PIECE).min(end);
        Some((Ok(bytes.slice(start..next)), Some((bytes, next, end, guard))))
    });
    ResponseBody::boxed(StreamDataBody::new(pieces))
}
