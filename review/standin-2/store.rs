//! The platform's store, as PROTOCOL.md describes it, with the names of `deploy/wire.toml`.

use crate::http::{Message, Reader};
use crate::json::{Json, base64};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

pub const PORT: u16 = 8309;

#[derive(Clone)]
struct Item {
    /// In base64.
    value: String,
    revision: u64,
    made: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    revision: u64,
    /// Changes in order: key and revision.
    history: Vec<(u64, String)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
    /// Callers that the store turns away, by their number: no call of theirs is answered, nor done.
    turned_away: Vec<u8>,
}

#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn new() -> Self {
        let store = Self::default();
        store.state.0.lock().unwrap().revision = 100;
        store
    }

    /// Listens for the caller with this number. On a loopback network all callers come from one address, so each has an address of
    /// the store of its own.
    pub fn listen(&self, ip: Ipv4Addr, caller: u8) {
        let listener = TcpListener::bind((ip, PORT)).expect("the store's port is free");
        let serving = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream, caller));
            }
        });
    }

    /// An operator's write; it is acknowledged when this returns.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.put(key, base64(value.as_bytes()), 0);
        self.state.1.notify_all();
    }

    /// Turns these callers away from now on: it stays silent to them.
    pub fn turn_away(&self, callers: &[u8]) {
        self.state.0.lock().unwrap().turned_away = callers.to_vec();
        self.state.1.notify_all();
    }

    fn turns_away(&self, caller: u8) -> bool {
        self.state.0.lock().unwrap().turned_away.contains(&caller)
    }

    fn serve(&self, stream: TcpStream, caller: u8) {
        let mut out = stream.try_clone().expect("a handle");
        let mut reader = Reader::new(stream);
        while let Ok(Some(request)) = reader.message() {
            let answered = if self.turns_away(caller) { None } else { self.answer(&request, caller) };
            let Some((status, body)) = answered else {
                // Silent on this connection for good; a caller that leaves ends it.
                while let Ok(Some(_)) = reader.message() {}
                return;
            };
            let head = format!(
                "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                body.len()
            );
            if out.write_all(format!("{head}{body}").as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, caller: u8) -> Option<(u16, String)> {
        let target = request.target().to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let get = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(key, _)| *key == name).map(|(_, value)| value.to_owned()).next().unwrap_or_default()
        };
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let mut state = self.state.0.lock().unwrap();
        state.end_leases();
        let (call, rest) = path.strip_prefix("/-/").unwrap_or("").split_once('/').unwrap_or((
            path.strip_prefix("/-/").unwrap_or(""),
            "",
        ));
        Some(match call {
            "kv-key" => state.read(&get("key")),
            "kv-range" => {
                let (prefix, after) = (get("prefix"), get("after"));
                let wanted = |key: &&String| key.starts_with(&prefix) && (after.is_empty() || **key > after);
                let items: Vec<String> =
                    state.items.keys().filter(wanted).map(|key| state.item(key)).collect();
                (200, format!("{{\"items\":[{}],\"more\":false,\"at\":{}}}", items.join(","), state.revision))
            }
            "kv-watch" => {
                let after: u64 = get("after").parse().unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(get("wait_ms").parse().unwrap_or(0));
                let prefix = get("prefix");
                loop {
                    if state.turned_away.contains(&caller) {
                        return None;
                    }
                    let events = state.events(&prefix, after);
                    let left = end.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        return Some((200, format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), state.revision)));
                    }
                    state = self.state.1.wait_timeout(state, left.min(Duration::from_millis(200))).unwrap().0;
                    state.end_leases();
                }
            }
            "kv-txn" => {
                let answer = state.write(&body);
                self.state.1.notify_all();
                answer
            }
            "kv-lease" => {
                let span = body.get("ttl_ms").number();
                state.next_lease += 1;
                let lease = 7000 + state.next_lease;
                let span_time = Duration::from_millis(span);
                state.leases.insert(lease, (span_time, Instant::now() + span_time));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{span}}}"))
            }
            "kv-keep" => {
                let lease = rest.parse().unwrap_or(0);
                match state.leases.get_mut(&lease) {
                    Some((span, end)) => {
                        *end = Instant::now() + *span;
                        (200, format!("{{\"ttl_ms\":{}}}", span.as_millis()))
                    }
                    None => (404, "{}".into()),
                }
            }
            "kv-lease-end" => {
                let lease: u64 = rest.parse().unwrap_or(0);
                if let Some((_, end)) = state.leases.get_mut(&lease) {
                    *end = Instant::now();
                }
                state.end_leases();
                (200, "{}".into())
            }
            _ => (404, "{}".into()),
        })
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let made = self.items.get(key).map_or(revision, |item| item.made);
        self.items.insert(key.to_owned(), Item { value, revision, made, lease });
        self.history.push((revision, key.to_owned()));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned()));
        }
    }

    fn end_leases(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> =
            self.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(lease, _)| *lease).collect();
        for lease in over {
            self.leases.remove(&lease);
            let keys: Vec<String> =
                self.items.iter().filter(|(_, item)| item.lease == lease).map(|(key, _)| key.clone()).collect();
            keys.iter().for_each(|key| self.remove(key));
        }
    }

    fn fields(&self, key: &str) -> String {
        let item = &self.items[key];
        format!(
            "\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"made\":{},\"lease\":{}",
            item.value, item.revision, item.made, item.lease
        )
    }

    fn item(&self, key: &str) -> String {
        format!("{{{}}}", self.fields(key))
    }

    fn read(&self, key: &str) -> (u16, String) {
        match self.items.contains_key(key) {
            true => (200, format!("{{{},\"at\":{}}}", self.fields(key), self.revision)),
            false => (404, format!("{{\"at\":{}}}", self.revision)),
        }
    }

    fn events(&self, prefix: &str, after: u64) -> Vec<String> {
        let mut events = Vec::new();
        for (revision, key) in self.history.iter().filter(|(revision, key)| *revision > after && key.starts_with(prefix)) {
            match self.items.get(key) {
                Some(item) if item.revision == *revision => events.push(self.item(key)),
                Some(_) => {}
                None => events.push(format!("{{\"key\":\"{key}\",\"revision\":{revision},\"gone\":true}}")),
            }
        }
        events
    }

    fn write(&mut self, body: &Json) -> (u16, String) {
        let revision_of = |key: &str| self.items.get(key).map_or(0, |item| item.revision);
        let rows = body.get("expect").list();
        if rows.iter().any(|row| revision_of(row.get("key").text()) != row.get("revision").number()) {
            let known = rows.iter().filter(|row| self.items.contains_key(row.get("key").text()));
            let items: Vec<String> = known.map(|row| self.item(row.get("key").text())).collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let puts = body.get("put").list();
        if puts.iter().any(|put| put.get("lease").number() != 0 && !self.leases.contains_key(&put.get("lease").number())) {
            return (404, "{}".into());
        }
        for put in puts {
            self.put(put.get("key").text(), put.get("value").text().to_owned(), put.get("lease").number());
        }
        for key in body.get("remove").list() {
            self.remove(key.text());
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }
}
