//! HTTP requests to the daemons' admin listeners.
//!
//! The first daemon that can be reached is asked. The next one is tried only where nothing was sent, or for a read: a
//! write whose answer is lost may have been carried out.

use crate::error::CliError;
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use seamhatch_core::identity::Address;
use seamhatchd::base::answer_head::check_response;
use seamhatchd::base::http_client::{HttpClient, http_client};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Longest wait for a page.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait for the answer to a change; a daemon takes up to 15 s for a submission.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);

/// Why a daemon did not do what it was asked.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct DaemonProblem {
    /// Machine-readable kind.
    pub kind: String,
    /// What is wrong, and the remedy.
    pub detail: String,
    /// A generation, where one matters.
    pub generation: Option<u64>,
}

/// A daemon's answer.
pub enum AdminReply<T> {
    /// Done.
    Done(T),
    /// Not done.
    Problem(DaemonProblem),
}

/// Why there is no answer.
pub enum AdminFailure {
    /// Nothing was sent to any daemon.
    NotSent(String),
    /// The request was sent, so it may have been carried out.
    Lost(String),
}

/// A client of several daemons; the first that can be reached is asked.
pub struct AdminClient {
    daemons: Vec<Address>,
    client: HttpClient<Full<Bytes>>,
}

impl AdminClient {
    /// A client that tries `daemons` in order.
    ///
    /// # Errors
    /// [`CliError::Usage`] when there are none.
    pub fn new(daemons: Vec<Address>) -> Result<Self, CliError> {
        if daemons.is_empty() {
            let detail = "no daemon is given; set --daemon IP:PORT or SEAMHATCH_DAEMON".to_owned();
            return Err(CliError::Usage { detail });
        }
        Ok(Self { daemons, client: http_client() })
    }

    /// Reads a page from the first daemon that answers.
    ///
    /// # Errors
    /// [`CliError::Unreachable`] or [`CliError::Refused`].
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CliError> {
        let reply = self.try_each(Method::GET, path, Bytes::new()).await;
        into_result(reply)
    }

    /// Sends JSON to the first daemon that can be reached.
    ///
    /// # Errors
    /// [`CliError::Unreachable`] or [`CliError::Refused`].
    pub async fn post<Q: Serialize, T: DeserializeOwned>(&self, path: &str, body: &Q) -> Result<T, CliError> {
        into_result(self.try_post(path, body).await)
    }

    /// Sends JSON to the first daemon that can be reached, and tells failures apart.
    pub async fn try_post<Q: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &Q,
    ) -> Result<AdminReply<T>, AdminFailure> {
        let json = serde_json::to_vec(body).map_err(|error| AdminFailure::NotSent(error.to_string()))?;
        self.try_each(Method::POST, path, Bytes::from(json)).await
    }

    async fn try_each<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<AdminReply<T>, AdminFailure> {
        let mut reasons = Vec::new();
        for daemon in &self.daemons {
            match self.call(*daemon, method.clone(), path, body.clone()).await {
                Err(AdminFailure::NotSent(reason)) => reasons.push(format!("{daemon}: {reason}")),
                // A read may go to the next daemon; a write may have been carried out.
                Err(AdminFailure::Lost(reason)) if method == Method::GET => {
                    reasons.push(format!("{daemon}: {reason}"));
                }
                other => return other,
            }
        }
        Err(AdminFailure::NotSent(reasons.join("; ")))
    }

    async fn call<T: DeserializeOwned>(
        &self,
        daemon: Address,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<AdminReply<T>, AdminFailure> {
        let timeout = if method == Method::GET { READ_TIMEOUT } else { CHANGE_TIMEOUT };
        let exchange = self.exchange(daemon, method, path, body);
        tokio::time::timeout(timeout, exchange).await.unwrap_or_else(|_| {
            let detail = format!("no answer within {} s", timeout.as_secs());
            Err(AdminFailure::Lost(detail))
        })
    }

    async fn exchange<T: DeserializeOwned>(
        &self,
        daemon: Address,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<AdminReply<T>, AdminFailure> {
        let request = Request::builder()
            .method(method.clone())
            .uri(format!("http://{daemon}{path}"))
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|error| AdminFailure::NotSent(error.to_string()))?;
        let response = self.client.request(request).await.map_err(|error| {
            let detail = error.to_string();
            if error.is_connect() { AdminFailure::NotSent(detail) } else { AdminFailure::Lost(detail) }
        })?;
        check_response(&method, &response).map_err(|error| AdminFailure::Lost(error.to_string()))?;
        let status = response.status();
        let collected = response.into_body().collect().await;
        let bytes = collected.map_err(|error| AdminFailure::Lost(error.to_string()))?.to_bytes();
        decode(status, &bytes)
    }
}

fn decode<T: DeserializeOwned>(status: StatusCode, bytes: &[u8]) -> Result<AdminReply<T>, AdminFailure> {
    let unreadable =
        |error: serde_json::Error| AdminFailure::Lost(format!("status {status}, not readable: {error}"));
    if status.is_success() {
        serde_json::from_slice(bytes).map(AdminReply::Done).map_err(unreadable)
    } else {
        serde_json::from_slice(bytes).map(AdminReply::Problem).map_err(unreadable)
    }
}

fn into_result<T>(reply: Result<AdminReply<T>, AdminFailure>) -> Result<T, CliError> {
    match reply {
        Ok(AdminReply::Done(value)) => Ok(value),
        Ok(AdminReply::Problem(problem)) => Err(CliError::Refused { detail: problem.detail }),
        Err(AdminFailure::NotSent(detail) | AdminFailure::Lost(detail)) => {
            let detail = format!("no daemon answered ({detail}); check --daemon");
            Err(CliError::Unreachable { detail })
        }
    }
}
