//! HTTP exchanges with a store, independent of the store's protocol: detects half-open connections, limits the size of answers and
//! the number of interim responses before them, believes no answer whose head isn't sound, and distinguishes a request that was never sent from one whose answer was lost.

use super::StoreError;
use crate::base::answer_head::check_response;
use crate::base::http_client::{HttpClient, probing_http_client};
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::ext::on_informational;
use hyper_util::client::legacy::Error;
use seamhatch_core::identity::Address;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use tokio::sync::Notify;

/// Maximum size of an answer.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Maximum number of interim responses (status 1xx) before an answer.
const MAX_INTERIM_RESPONSES: u32 = 16;

/// An HTTP client of one store; cheap to clone.
#[derive(Debug, Clone)]
pub struct StoreExchange {
    address: Address,
    client: HttpClient<Full<Bytes>>,
}

/// A complete answer of a store.
#[derive(Debug, Clone)]
pub struct StoreReply {
    /// HTTP status.
    pub status: StatusCode,
    /// Body.
    pub body: Bytes,
}

impl StoreReply {
    /// Parses the JSON body of a successful answer.
    ///
    /// # Errors
    /// [`StoreError::Malformed`].
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, StoreError> {
        if !self.status.is_success() {
            return Err(StoreError::Malformed { detail: format!("status {}", self.status) });
        }
        self.parse_any()
    }

    /// Parses the JSON body, regardless of the status. Bytes that are not UTF-8 are replaced, so that they spoil no more than
    /// the text that they stand in.
    ///
    /// # Errors
    /// [`StoreError::Malformed`].
    pub fn parse_any<T: DeserializeOwned>(&self) -> Result<T, StoreError> {
        let text = String::from_utf8_lossy(&self.body);
        serde_json::from_str(&text).map_err(|error| StoreError::malformed(&error))
    }
}

impl StoreExchange {
    /// A client of the store at `address`.
    #[must_use]
    pub fn new(address: Address) -> Self {
        Self { address, client: probing_http_client() }
    }

    /// Sends a GET.
    ///
    /// # Errors
    /// No complete answer was received.
    pub async fn get(&self, path_and_query: &str) -> Result<StoreReply, StoreError> {
        let request = Request::get(self.uri(path_and_query)).body(Full::default());
        self.send(request.map_err(|error| StoreError::malformed(&error))?).await
    }

    /// Sends a POST with a JSON body.
    ///
    /// # Errors
    /// No complete answer was received. After [`StoreError::AnswerLost`] the request may have been executed.
    pub async fn post(&self, path: &str, body: &impl Serialize) -> Result<StoreReply, StoreError> {
        let json = serde_json::to_vec(body).map_err(|error| StoreError::malformed(&error))?;
        let request = Request::post(self.uri(path))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(json)));
        self.send(request.map_err(|error| StoreError::malformed(&error))?).await
    }

    fn uri(&self, path_and_query: &str) -> String {
        format!("http://{}{path_and_query}", self.address)
    }

    async fn send(&self, mut request: Request<Full<Bytes>>) -> Result<StoreReply, StoreError> {
        let method = request.method().clone();
        let too_many_interim = limit_interim_responses(&mut request);
        let response = tokio::select! {
            response = self.client.request(request) => response.map_err(exchange_error)?,
            () = too_many_interim => {
                let detail = format!("more than {MAX_INTERIM_RESPONSES} interim responses");
                return Err(StoreError::AnswerLost { detail });
            }
        };
        if let Err(error) = check_response(&method, &response) {
            return Err(StoreError::AnswerLost { detail: error.to_string() });
        }
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
        let body = body.map_err(|error| StoreError::AnswerLost { detail: error.to_string() })?.to_bytes();
        Ok(StoreReply { status, body })
    }
}

fn exchange_error(error: Error) -> StoreError {
    let detail = error.to_string();
    if error.is_connect() { StoreError::Unreachable { detail } } else { StoreError::AnswerLost { detail } }
}

/// Counts the interim responses to a request. The returned future resolves when there are more than [`MAX_INTERIM_RESPONSES`].
fn limit_interim_responses(request: &mut Request<Full<Bytes>>) -> impl Future<Output = ()> + Send + use<> {
    let exceeded = Arc::new(Notify::new());
    let (notify, count) = (exceeded.clone(), AtomicU32::new(0));
    on_informational(request, move |_response| {
        if count.fetch_add(1, Ordering::Relaxed) == MAX_INTERIM_RESPONSES {
            notify.notify_one();
        }
    });
    async move { exceeded.notified().await }
}
