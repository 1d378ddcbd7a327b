//! Client of the platform's machine list. The list lags behind the real state, so it is only a hint and never the sole evidence.

use super::StoreError;
use crate::base::answer_head::check_response;
use crate::base::http_client::http_client;
use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full, Limited};
use log::warn;
use seamhatch_core::identity::Address;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::net::IpAddr;
use std::time::Duration;

/// Timeout for reading the list.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of the list.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// State of a machine in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// In use.
    Live,
    /// Will be stopped soon.
    Leaving,
}

/// One entry of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Its IP address.
    pub address: IpAddr,
    /// Its state.
    pub state: MachineState,
}

/// Reads the list with `GET /machines`, which returns a JSON array. Entries that can't be read are passed over.
///
/// # Errors
/// [`StoreError`], as for the key-value service.
pub async fn read_machines(address: Address) -> Result<Vec<ListedMachine>, StoreError> {
    let lost = |detail: String| StoreError::AnswerLost { detail };
    let request = Request::get(format!("http://{address}/machines"))
        .body(Full::new(Bytes::new()))
        .map_err(|error| StoreError::Malformed { detail: error.to_string() })?;
    let reading = async {
        let response = http_client().request(request).await.map_err(|error| lost(error.to_string()))?;
        check_response(&Method::GET, &response).map_err(|error| lost(error.to_string()))?;
        if !response.status().is_success() {
            return Err(lost(format!("status {}", response.status())));
        }
        let body = Limited::new(response.into_body(), MAX_LIST_BYTES).collect().await;
        body.map(http_body_util::Collected::to_bytes).map_err(|error| lost(error.to_string()))
    };
    let bytes =
        tokio::time::timeout(ANSWER_TIMEOUT, reading).await.map_err(|_| StoreError::timed_out())??;
    let text = String::from_utf8_lossy(&bytes);
    let entries: Vec<Box<RawValue>> =
        serde_json::from_str(&text).map_err(|error| StoreError::Malformed { detail: error.to_string() })?;
    Ok(readable(&entries))
}

/// The entries that can be read. The others are counted and logged: what is odd in one hides no other.
fn readable(entries: &[Box<RawValue>]) -> Vec<ListedMachine> {
    let texts = entries.iter().map(|entry| entry.get());
    let machines: Vec<ListedMachine> = texts.filter_map(|text| serde_json::from_str(text).ok()).collect();
    if machines.len() < entries.len() {
        warn!(entries = entries.len() - machines.len(); "entries of the machine list that can't be read are passed over");
    }
    machines
}
