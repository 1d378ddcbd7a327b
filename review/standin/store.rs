//! The platform's store, as PROTOCOL.md describes it: items with revisions, pages, watches, conditional writes and leases. Each
//! answer takes 4 ms, as on the small sites. Nothing that it has acknowledged is lost.

use crate::http::{Head, Wire};
use crate::json::{Json, quoted};
use std::collections::{BTreeMap, HashMap};
use std::net::{Ipv4Addr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    made: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct State {
    items: BTreeMap<String, Item>,
    /// Revision and key of each change.
    history: Vec<(u64, String)>,
    revision: u64,
    leases: u64,
}

/// A running store.
#[derive(Debug, Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(ip: Ipv4Addr, port: u16) -> Self {
        let store = Self { state: Arc::default() };
        let listener = TcpListener::bind((ip, port)).expect("the store's address is free");
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(Wire::new(stream)));
            }
        });
        store
    }

    /// A write of the operator.
    pub fn put(&self, key: &str, value: &str) {
        let (state, changed) = &*self.state;
        state.lock().unwrap().put(key, base64(value.as_bytes()), 0);
        changed.notify_all();
    }

    /// What it holds under a key.
    pub fn text(&self, key: &str) -> String {
        let state = self.state.0.lock().unwrap();
        let value = state.items.get(key).map(|item| from_base64(&item.value)).unwrap_or_default();
        String::from_utf8_lossy(&value).into_owned()
    }

    fn serve(&self, mut wire: Wire) {
        while let Ok(Some(head)) = wire.read_head() {
            let Ok(body) = wire.read_body(&head, false) else { return };
            std::thread::sleep(ANSWER_TIME);
            let (status, answer) = self.answer(&head, &String::from_utf8_lossy(&body));
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{answer}",
                answer.len()
            );
            if wire.write(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &str) -> (u16, String) {
        let (path, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
        let query: HashMap<&str, &str> = query.split('&').filter_map(|part| part.split_once('=')).collect();
        let asked = |name: &str| query.get(name).copied().unwrap_or_default();
        let (state, changed) = &*self.state;
        match (head.method(), path) {
            ("GET", "/-/kv-key") => state.lock().unwrap().read_key(asked("key")),
            ("GET", "/-/kv-range") => state.lock().unwrap().read_range(asked("prefix"), asked("after")),
            ("GET", "/-/kv-watch") => self.watch(
                asked("prefix"),
                asked("after").parse().unwrap_or_default(),
                Duration::from_millis(asked("wait_ms").parse().unwrap_or_default()),
            ),
            ("POST", "/-/kv-txn") => {
                let answer = state.lock().unwrap().write(&Json::parse(body).unwrap_or(Json::Null));
                changed.notify_all();
                answer
            }
            ("POST", "/-/kv-lease") => {
                let mut state = state.lock().unwrap();
                state.leases += 1;
                let span = Json::parse(body).unwrap_or(Json::Null).number("ttl_ms");
                (200, format!("{{\"lease\":{},\"ttl_ms\":{span}}}", state.leases))
            }
            ("POST", path) if path.starts_with("/-/kv-keep/") => (200, "{\"ttl_ms\":8000}".to_owned()),
            _ => (404, "{}".to_owned()),
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let (state, changed) = &*self.state;
        let end = Instant::now() + wait;
        let mut state = state.lock().unwrap();
        loop {
            let events = state.events(prefix, after);
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (200, format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), state.revision));
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let made = self.items.get(key).map_or(self.revision, |item| item.made);
        self.items.insert(key.to_owned(), Item { value, revision: self.revision, made, lease });
        self.history.push((self.revision, key.to_owned()));
    }

    fn row(&self, key: &str, item: &Item) -> String {
        format!(
            "\"key\":{},\"value\":{},\"revision\":{},\"made\":{},\"lease\":{}",
            quoted(key),
            quoted(&item.value),
            item.revision,
            item.made,
            item.lease
        )
    }

    fn read_key(&self, key: &str) -> (u16, String) {
        match self.items.get(key) {
            Some(item) => (200, format!("{{{},\"at\":{}}}", self.row(key, item), self.revision)),
            None => (404, format!("{{\"at\":{}}}", self.revision)),
        }
    }

    fn read_range(&self, prefix: &str, after: &str) -> (u16, String) {
        let rows: Vec<String> = self
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .map(|(key, item)| format!("{{{}}}", self.row(key, item)))
            .collect();
        (200, format!("{{\"items\":[{}],\"more\":false,\"at\":{}}}", rows.join(","), self.revision))
    }

    fn events(&self, prefix: &str, after: u64) -> Vec<String> {
        let new = self.history.iter().filter(|(at, key)| *at > after && key.starts_with(prefix));
        new.map(|(at, key)| match self.items.get(key) {
            Some(item) => format!("{{{}}}", self.row(key, item)),
            None => format!("{{\"key\":{},\"revision\":{at},\"gone\":true}}", quoted(key)),
        })
        .collect()
    }

    fn write(&mut self, write: &Json) -> (u16, String) {
        let stale: Vec<String> = write
            .list("expect")
            .iter()
            .filter(|row| {
                let now = self.items.get(&row.text("key")).map_or(0, |item| item.revision);
                now != row.number("revision")
            })
            .filter_map(|row| {
                let key = row.text("key");
                self.items.get(&key).map(|item| format!("{{{}}}", self.row(&key, item)))
            })
            .collect();
        let holds = write.list("expect").iter().all(|row| {
            let now = self.items.get(&row.text("key")).map_or(0, |item| item.revision);
            now == row.number("revision")
        });
        if !holds {
            return (412, format!("{{\"items\":[{}]}}", stale.join(",")));
        }
        for row in write.list("put") {
            self.put(&row.text("key"), row.text("value"), row.number("lease"));
        }
        for key in write.list("remove") {
            if let Json::Text(key) = key {
                self.revision += 1;
                self.items.remove(key);
                self.history.push((self.revision, key.clone()));
            }
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }
}

/// Standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let number =
            three.iter().fold(0u32, |number, byte| number << 8 | u32::from(*byte)) << (8 * (3 - three.len()));
        for place in 0..4 {
            let sign = SIGNS[(number >> (18 - 6 * place)) as usize & 63];
            text.push(if place <= three.len() { sign as char } else { '=' });
        }
    }
    text
}

/// Reads standard base64.
fn from_base64(text: &str) -> Vec<u8> {
    let value = |sign: u8| match sign {
        b'A'..=b'Z' => u32::from(sign - b'A'),
        b'a'..=b'z' => u32::from(sign - b'a') + 26,
        b'0'..=b'9' => u32::from(sign - b'0') + 52,
        b'+' => 62,
        _ => 63,
    };
    let mut bytes = Vec::new();
    for four in text.trim_end_matches('=').as_bytes().chunks(4) {
        let number =
            four.iter().fold(0u32, |number, sign| number << 6 | value(*sign)) << (6 * (4 - four.len()));
        bytes.extend_from_slice(&number.to_be_bytes()[1..four.len()]);
    }
    bytes
}
