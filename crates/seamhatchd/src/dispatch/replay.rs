//! Request bodies whose first bytes are kept, so that a call can be sent again.

use crate::filters::Rejection;
use crate::peer::CreditWindow;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use seamhatch_core::identity::Fingerprint;
use seamhatch_core::outcome::Reason;

/// Number of bytes of a request body that are kept for further attempts.
const REPLAY_BYTES: usize = 64 * 1024;

/// A request body whose first bytes are kept for further attempts. The rest can be sent once.
pub struct ReplayBody {
    pub(super) prefix: Vec<Bytes>,
    pub(super) rest: Option<Incoming>,
    rest_used: bool,
}

impl ReplayBody {
    /// Returns the body of a request that has none.
    #[must_use]
    pub fn empty() -> Self {
        Self { prefix: Vec::new(), rest: None, rest_used: false }
    }

    /// Reads the first bytes of a body.
    ///
    /// # Errors
    /// Returns a [`Rejection`] if the caller aborts the body.
    pub async fn read_prefix(mut body: Incoming) -> Result<Self, Rejection> {
        let mut prefix = Vec::new();
        let mut length = 0;
        while length < REPLAY_BYTES {
            match next_piece(&mut body).await? {
                Some(piece) => {
                    length += piece.len();
                    prefix.push(piece);
                }
                None => return Ok(Self { prefix, rest: None, rest_used: false }),
            }
        }
        Ok(Self { prefix, rest: Some(body), rest_used: false })
    }

    /// Whether there is no body at all.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.prefix.is_empty() && self.rest.is_none()
    }

    /// Whether the whole call can be sent again.
    #[must_use]
    pub fn can_replay(&self) -> bool {
        !self.rest_used
    }

    /// Returns the digest of the kept bytes: two bodies that differ only in the rest have the same
    /// digest.
    pub(super) fn digest(&self) -> Fingerprint {
        let parts: Vec<u8> = self.prefix.iter().flat_map(|piece| piece.iter().copied()).collect();
        Fingerprint::of(&[&parts])
    }
}

async fn next_piece(body: &mut Incoming) -> Result<Option<Bytes>, Rejection> {
    while let Some(frame) = body.frame().await {
        let broken = |_| Rejection::not_run(Reason::BadRequest, "the request body broke off; send it again");
        // Trailers are dropped: no back end has asked for them.
        if let Ok(data) = frame.map_err(broken)?.into_data() {
            return Ok(Some(data));
        }
    }
    Ok(None)
}

/// Returns the next piece after the kept bytes once the credit window allows; never resolves after
/// the end of the body.
pub(super) async fn next_after_prefix(
    body: &mut ReplayBody,
    window: &CreditWindow,
) -> Result<Option<Bytes>, Rejection> {
    let Some(rest) = &mut body.rest else { return std::future::pending().await };
    window.ready().await;
    body.rest_used = true;
    let piece = next_piece(rest).await?;
    if piece.is_none() {
        body.rest = None;
    }
    Ok(piece)
}
