//! HTTP requests to the daemons' admin listeners.
//!
//! The first daemon that can be reached is asked. The next one is tried only where nothing was sent, or for a read: a
//! write whose answer is lost may have been carried out.

use crate::error::CliError;
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use seamhatch_core::identity::Address;
use seamhatchd::server::backend::{HttpClient, http_client};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Why a daemon did not do what it was asked.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Problem {
    /// Machine-readable kind.
    pub kind: String,
    /// What is wrong, and the remedy.
    pub detail: String,
    /// A generation, where one matters.
    pub generation: Option<u64>,
}

/// A daemon's answer.
pub enum Reply<T> {
    /// Done.
    Done(T),
    /// Not done.
    Problem(Problem),
}

/// Why there is no answer.
pub enum Failure {
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
    ) -> Result<Reply<T>, Failure> {
        let json = serde_json::to_vec(body).map_err(|error| Failure::NotSent(error.to_string()))?;
        self.try_each(Method::POST, path, Bytes::from(json)).await
    }

    async fn try_each<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Reply<T>, Failure> {
        let mut reasons = Vec::new();
        for daemon in &self.daemons {
            match self.call(*daemon, method.clone(), path, body.clone()).await {
                Err(Failure::NotSent(reason)) => reasons.push(format!("{daemon}: {reason}")),
                // A read may go to the next daemon; a write may have been carried out.
                Err(Failure::Lost(reason)) if method == Method::GET => {
                    reasons.push(format!("{daemon}: {reason}"));
                }
                other => return other,
            }
        }
        Err(Failure::NotSent(reasons.join("; ")))
    }

    async fn call<T: DeserializeOwned>(
        &self,
        daemon: Address,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Reply<T>, Failure> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{daemon}{path}"))
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|error| Failure::NotSent(error.to_string()))?;
        let response = self.client.request(request).await.map_err(|error| {
            let detail = error.to_string();
            if error.is_connect() { Failure::NotSent(detail) } else { Failure::Lost(detail) }
        })?;
        let status = response.status();
        let collected = response.into_body().collect().await;
        let bytes = collected.map_err(|error| Failure::Lost(error.to_string()))?.to_bytes();
        decode(status, &bytes)
    }
}

fn decode<T: DeserializeOwned>(status: StatusCode, bytes: &[u8]) -> Result<Reply<T>, Failure> {
    let unreadable =
        |error: serde_json::Error| Failure::Lost(format!("status {status}, not readable: {error}"));
    if status.is_success() {
        serde_json::from_slice(bytes).map(Reply::Done).map_err(unreadable)
    } else {
        serde_json::from_slice(bytes).map(Reply::Problem).map_err(unreadable)
    }
}

fn into_result<T>(reply: Result<Reply<T>, Failure>) -> Result<T, CliError> {
    match reply {
        Ok(Reply::Done(value)) => Ok(value),
        Ok(Reply::Problem(problem)) => Err(CliError::Refused { detail: problem.detail }),
        Err(Failure::NotSent(detail) | Failure::Lost(detail)) => {
            let detail = format!("no daemon answered ({detail}); check --daemon");
            Err(CliError::Unreachable { detail })
        }
    }
}
