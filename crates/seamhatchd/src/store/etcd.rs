//! Client of a store that speaks the JSON form of the etcd v3 protocol (`/v3/kv/range`, `/v3/kv/txn`).

use super::{StoreError, StoreExchange, StoreReply};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use http::StatusCode;
use seamhatch_core::identity::Address;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Key of the configuration.
pub const CONFIGURATION_KEY: &str = "/seamhatch/configuration";
/// Key of the witness roster.
pub const ROSTER_KEY: &str = "/seamhatch/roster";

/// Timeout for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// A value with the revision of its last change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stored<T> {
    /// The value.
    pub value: T,
    /// Revision of its last change; zero when the key does not exist.
    pub revision: u64,
}

/// The result of a compare-and-swap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Swap {
    /// The value was written.
    Written,
    /// The key had another revision; nothing was written.
    Refused,
}

/// A client of the key-value service; cheap to clone.
#[derive(Debug, Clone)]
pub struct StoreClient {
    exchange: StoreExchange,
}

#[derive(Serialize)]
struct RangeRequest {
    key: String,
}

#[derive(Deserialize)]
struct RangeResponse {
    #[serde(default)]
    kvs: Vec<KeyValue>,
}

#[derive(Deserialize)]
struct KeyValue {
    value: String,
    mod_revision: String,
}

#[derive(Serialize)]
struct TxnRequest {
    compare: [Compare; 1],
    success: [RequestOperation; 1],
}

#[derive(Serialize)]
struct Compare {
    key: String,
    target: &'static str,
    result: &'static str,
    mod_revision: String,
}

#[derive(Serialize)]
struct RequestOperation {
    #[serde(rename = "requestPut")]
    request_put: PutRequest,
}

#[derive(Serialize)]
struct PutRequest {
    key: String,
    value: String,
}

#[derive(Deserialize)]
struct TxnResponse {
    #[serde(default)]
    succeeded: bool,
}

impl StoreClient {
    /// A client of the service at `address`.
    #[must_use]
    pub fn new(address: Address) -> Self {
        Self { exchange: StoreExchange::new(address) }
    }

    /// Reads a key and decodes its JSON value; `None` when the key does not exist.
    ///
    /// # Errors
    /// [`StoreError`].
    pub async fn read<T: DeserializeOwned>(&self, key: &str) -> Result<Stored<Option<T>>, StoreError> {
        let request = RangeRequest { key: STANDARD.encode(key) };
        let response: RangeResponse = self.call("/v3/kv/range", &request).await?.parse()?;
        let Some(found) = response.kvs.into_iter().next() else {
            return Ok(Stored { value: None, revision: 0 });
        };
        let bytes = STANDARD.decode(found.value).map_err(|error| StoreError::malformed(&error))?;
        let value = serde_json::from_slice(&bytes).map_err(|error| StoreError::malformed(&error))?;
        let revision = found.mod_revision.parse().map_err(|_| StoreError::Malformed {
            detail: format!("mod_revision {:?}", found.mod_revision),
        })?;
        Ok(Stored { value: Some(value), revision })
    }

    /// Writes `value` if the key's revision is still `revision`; zero means that the key does not exist.
    ///
    /// # Errors
    /// [`StoreError`]; after [`StoreError::AnswerLost`] it may have been written.
    pub async fn swap<T: Serialize>(&self, key: &str, revision: u64, value: &T) -> Result<Swap, StoreError> {
        let json = serde_json::to_vec(value).map_err(|error| StoreError::malformed(&error))?;
        let key = STANDARD.encode(key);
        let compare =
            Compare { key: key.clone(), target: "MOD", result: "EQUAL", mod_revision: revision.to_string() };
        let put = RequestOperation { request_put: PutRequest { key, value: STANDARD.encode(json) } };
        let request = TxnRequest { compare: [compare], success: [put] };
        let reply = self.call("/v3/kv/txn", &request).await?;
        let response: TxnResponse = reply.parse().map_err(StoreError::of_write)?;
        Ok(if response.succeeded { Swap::Written } else { Swap::Refused })
    }

    async fn call(&self, path: &str, body: &impl Serialize) -> Result<StoreReply, StoreError> {
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, self.exchange.post(path, body)).await;
        let reply = answer.map_err(|_| StoreError::timed_out())??;
        match reply.status {
            StatusCode::TOO_MANY_REQUESTS => Err(StoreError::RateLimited),
            status if !status.is_success() => {
                Err(StoreError::AnswerLost { detail: format!("status {status}") })
            }
            _ => Ok(reply),
        }
    }
}
