//! Determines the claim text of a call that is not repeatable: the text that identifies the call in its
//! claim. Dispatch makes the claim itself.

use crate::base::metrics::BadInput;
use crate::conventions::headers;
use crate::filters::{ClaimText, Rejection, RequestFilter, RequestState};
use crate::shared::Shared;
use seamhatch_core::outcome::Reason;

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Reads the caller's idempotency key. The key is scoped to the caller's credentials, so that no
/// caller can request another caller's recorded answer.
///
/// A request without a key is dispatched once and needs no claim.
pub struct CallerKey;

impl RequestFilter for CallerKey {
    fn apply(&self, shared: &Shared, request: &mut RequestState) -> Result<(), Rejection> {
        let Some(key) = checked_key(shared, request)? else { return Ok(()) };
        if !request.repeatable {
            let tenant = request.tenant.as_ref().map(|tenant| tenant.name.as_str());
            let credentials = tenant.or_else(|| request.header("authorization")).unwrap_or_default();
            let cookies = request.header("cookie").unwrap_or_default();
            // Absent fields count as empty ones.
            let text = format!("caller\n{credentials}\n{cookies}\n{key}");
            request.claim_text = Some(ClaimText::Key(text));
        }
        Ok(())
    }
}

/// Sets the claim text of every call of a chain that is not repeatable: the back end's own key if
/// it sets one, else the content of the call within the root request, so that two runs of a parent
/// make one call. Dispatch adds the digest of the body to the content.
pub struct ChainKey;

impl RequestFilter for ChainKey {
    fn apply(&self, shared: &Shared, request: &mut RequestState) -> Result<(), Rejection> {
        let key = checked_key(shared, request)?;
        if !request.repeatable {
            request.claim_text = Some(match key {
                Some(key) => ClaimText::Key(format!("chain\n{key}")),
                None => {
                    let text = format!("derived\n{}\n{}\n{}", request.root, request.method, request.path);
                    ClaimText::Content(text)
                }
            });
        }
        Ok(())
    }
}

fn checked_key(shared: &Shared, request: &RequestState) -> Result<Option<String>, Rejection> {
    let present = request.headers.iter().any(|field| field.name == headers::IDEMPOTENCY_KEY);
    let key = request.header(headers::IDEMPOTENCY_KEY);
    match key {
        None if !present => Ok(None),
        Some(key) if !key.is_empty() && key.len() <= MAX_KEY_BYTES => Ok(Some(key.to_owned())),
        _ => {
            shared.metrics.bad_input(BadInput::Request);
            let detail = "Idempotency-Key must be 1 to 256 bytes of text";
            Err(Rejection::not_run(Reason::BadRequest, detail))
        }
    }
}
