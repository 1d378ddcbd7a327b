//! Stand-in for the platform: a key-value store that speaks the JSON form of the etcd v3 protocol as far as daemons use it,
//! and a machine list.
//!
//! Owns the content of both, in memory, and the faults that are active. Daemons read and write it over HTTP; tests and the
//! soak change the faults, the machines and, as after a restored backup, the content.

use crate::http_stand_in::{HttpStandIn, StandInRequest, text_response};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use http::StatusCode;
use seamhatch_core::identity::Address;
use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use xitca_web::http::WebResponse;

/// Port of the key-value store, as etcd has it.
const STORE_PORT: u16 = 2379;

/// Faults of the platform that are active.
#[derive(Debug, Clone, Default)]
pub struct PlatformFaults {
    /// Every request to the store is answered 503.
    pub store_out: bool,
    /// The next so many writes are carried out and answered 504.
    pub lose_write_answers: u32,
    /// Each answer comes this much later.
    pub delay: Duration,
    /// Requests a second that the store answers, none for no limit; those beyond get 429.
    pub rate_limit: Option<u32>,
    /// The machine list is answered 503.
    pub machines_out: bool,
}

#[derive(Debug, Clone, Default)]
struct StoredValue {
    value: Vec<u8>,
    revision: u64,
}

/// A copy of the store's content, as a backup holds it.
#[derive(Debug, Clone, Default)]
pub struct StoreCopy {
    values: BTreeMap<Vec<u8>, StoredValue>,
}

#[derive(Debug, Default)]
struct State {
    values: BTreeMap<Vec<u8>, StoredValue>,
    revision: u64,
    faults: PlatformFaults,
    machines: BTreeMap<Ipv4Addr, &'static str>,
    window_start: Option<Instant>,
    window_requests: u32,
}

/// The stand-in platform.
pub struct Platform {
    address: Address,
    state: Arc<Mutex<State>>,
    _server: HttpStandIn,
}

type Shared = Arc<Mutex<State>>;

impl Platform {
    /// Starts it at this machine's address.
    ///
    /// # Errors
    /// The address can't be bound.
    pub fn start(ip: Ipv4Addr) -> std::io::Result<Self> {
        let state: Shared = Arc::default();
        let address = Address::from(SocketAddr::new(ip.into(), STORE_PORT));
        let serving = state.clone();
        let answering = move |request| handle(serving.clone(), request);
        let server = HttpStandIn::start("platform", std::iter::once(address), 1, answering)?;
        Ok(Self { address, state, _server: server })
    }

    /// Address of the store and of the machine list.
    #[must_use]
    pub fn address(&self) -> Address {
        self.address
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut PlatformFaults)) {
        change(&mut self.lock().faults);
    }

    /// Lists a machine as live.
    pub fn list_machine(&self, ip: Ipv4Addr) {
        self.lock().machines.insert(ip, "live");
    }

    /// Lists a machine as leaving.
    pub fn list_leaving_machine(&self, ip: Ipv4Addr) {
        self.lock().machines.insert(ip, "leaving");
    }

    /// A copy of the store's content.
    #[must_use]
    pub fn copy(&self) -> StoreCopy {
        StoreCopy { values: self.lock().values.clone() }
    }

    /// Replaces the store's content by an earlier copy; revisions go on from the present one.
    pub fn restore(&self, copy: StoreCopy) {
        let mut state = self.lock();
        state.revision += 1;
        let revision = state.revision;
        state.values = copy.values;
        for value in state.values.values_mut() {
            value.revision = revision;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

fn lock(state: &Shared) -> MutexGuard<'_, State> {
    state.lock().expect("platform lock")
}

#[derive(Deserialize)]
struct RangeRequest {
    key: String,
}

#[derive(Deserialize)]
struct TxnRequest {
    compare: Vec<Compare>,
    success: Vec<Operation>,
}

#[derive(Deserialize)]
struct Compare {
    key: String,
    mod_revision: String,
}

#[derive(Deserialize)]
struct Operation {
    #[serde(rename = "requestPut")]
    request_put: Put,
}

#[derive(Deserialize)]
struct Put {
    key: String,
    value: String,
}

enum Answer {
    Json(Value),
    Status(StatusCode),
}

async fn handle(state: Shared, request: StandInRequest) -> WebResponse {
    let delay = lock(&state).faults.delay;
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    match answer(&state, request.uri().path(), request.body()) {
        Answer::Json(value) => text_response(StatusCode::OK, value.to_string()),
        Answer::Status(status) => text_response(status, String::new()),
    }
}

fn answer(state: &Shared, path: &str, body: &[u8]) -> Answer {
    let mut state = lock(state);
    if path == "/machines" {
        return state.machine_list();
    }
    if state.faults.store_out {
        return Answer::Status(StatusCode::SERVICE_UNAVAILABLE);
    }
    if !state.within_rate() {
        return Answer::Status(StatusCode::TOO_MANY_REQUESTS);
    }
    let answer = match path {
        "/v3/kv/range" => state.range(body),
        "/v3/kv/txn" => state.transaction(body),
        _ => None,
    };
    answer.unwrap_or(Answer::Status(StatusCode::BAD_REQUEST))
}

impl State {
    fn machine_list(&self) -> Answer {
        if self.faults.machines_out {
            return Answer::Status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let machines = self.machines.iter();
        let list = machines.map(|(ip, state)| json!({ "address": IpAddr::V4(*ip), "state": state }));
        Answer::Json(list.collect())
    }

    /// Counts a request against the rate limit, in windows of a second.
    fn within_rate(&mut self) -> bool {
        let Some(limit) = self.faults.rate_limit else { return true };
        let now = Instant::now();
        let expired = self.window_start.is_none_or(|start| now - start >= Duration::from_secs(1));
        if expired {
            self.window_start = Some(now);
            self.window_requests = 0;
        }
        self.window_requests += 1;
        self.window_requests <= limit
    }

    /// Reads one key; none when the request can't be read.
    fn range(&self, body: &[u8]) -> Option<Answer> {
        let request: RangeRequest = serde_json::from_slice(body).ok()?;
        let key = STANDARD.decode(&request.key).ok()?;
        let found = self.values.get(&key).map(|stored| {
            json!({
                "key": request.key,
                "value": STANDARD.encode(&stored.value),
                "mod_revision": stored.revision.to_string(),
            })
        });
        let kvs: Vec<Value> = found.into_iter().collect();
        Some(Answer::Json(json!({ "kvs": kvs, "count": kvs.len().to_string() })))
    }

    /// Writes all keys if all comparisons hold; none when the request can't be read.
    fn transaction(&mut self, body: &[u8]) -> Option<Answer> {
        let request: TxnRequest = serde_json::from_slice(body).ok()?;
        for compare in &request.compare {
            let key = STANDARD.decode(&compare.key).ok()?;
            let revision = self.values.get(&key).map_or(0, |stored| stored.revision);
            if compare.mod_revision != revision.to_string() {
                return Some(Answer::Json(json!({ "succeeded": false })));
            }
        }
        self.revision += 1;
        for operation in &request.success {
            let key = STANDARD.decode(&operation.request_put.key).ok()?;
            let value = STANDARD.decode(&operation.request_put.value).ok()?;
            self.values.insert(key, StoredValue { value, revision: self.revision });
        }
        if self.faults.lose_write_answers > 0 {
            self.faults.lose_write_answers -= 1;
            return Some(Answer::Status(StatusCode::GATEWAY_TIMEOUT));
        }
        Some(Answer::Json(json!({ "succeeded": true })))
    }
}
