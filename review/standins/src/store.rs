//! The platform's metadata store, as PROTOCOL.md describes it.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use crate::{Head, give_up};

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    end: Instant,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision, key, and the item or none if the key was removed.
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn expire(&mut self, now: Instant) {
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, lease)| lease.end <= now).map(|(id, _)| *id).collect();
        ended.into_iter().for_each(|lease| self.end_lease(lease));
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        keys.iter().for_each(|key| self.remove(key));
    }
}

type Shared = Arc<(Mutex<State>, Condvar)>;

/// A running store.
pub struct Store {
    address: SocketAddr,
    shared: Shared,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .unwrap_or_else(|fault| give_up(&format!("store: {fault}")));
        let address = listener.local_addr().unwrap_or_else(|_| give_up("store"));
        let state = State { revision: 1, next_lease: 70_000, ..State::default() };
        let shared: Shared = Arc::new((Mutex::new(state), Condvar::new()));
        let own = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let shared = Arc::clone(&own);
                thread::spawn(move || serve(stream, &shared));
            }
        });
        Self { address, shared }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Writes as the operator does.
    pub fn write(&self, key: &str, text: &str) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("a store");
        state.revision += 1;
        state.put(key, STANDARD.encode(text), 0);
        changed.notify_all();
    }
}

fn serve(stream: TcpStream, shared: &Shared) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    while let Some(head) = Head::read(&mut reader).ok()? {
        let (body, _) = head.read_body(&mut reader);
        thread::sleep(Duration::from_millis(4));
        let mut words = head.first.split_whitespace();
        let (method, target) = (words.next()?, words.next()?);
        let (status, value) = call(shared, method, target, &body);
        let text = value.to_string();
        let answer = format!(
            "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        );
        writer.write_all(answer.as_bytes()).ok()?;
    }
    Some(())
}

fn call(shared: &Shared, method: &str, target: &str, body: &[u8]) -> (u16, Value) {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let Some(path) = path.strip_prefix("/lavenderflow/") else { return (404, json!({})) };
    let parameter = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| decode(value))
    };
    let (name, id) = path.split_once('/').unwrap_or((path, ""));
    let id: u64 = id.parse().unwrap_or(0);
    let (state, changed) = &**shared;
    let mut state = state.lock().expect("a store");
    state.expire(Instant::now());
    match (method, name) {
        ("GET", "kv-key") => {
            let key = parameter("key").unwrap_or_default();
            match state.items.get(&key) {
                Some(item) => {
                    let mut value = show(&key, item);
                    value["store_revision"] = json!(state.revision);
                    (200, value)
                }
                None => (404, json!({})),
            }
        }
        ("GET", "kv-range") => {
            let prefix = parameter("path_prefix").unwrap_or_default();
            let after = parameter("after");
            let items: Vec<Value> = state
                .items
                .iter()
                .filter(|(key, _)| key.starts_with(&prefix))
                .filter(|(key, _)| after.as_ref().is_none_or(|after| *key > after))
                .map(|(key, item)| show(key, item))
                .collect();
            (200, json!({"items": items, "more_pages": false, "store_revision": state.revision}))
        }
        ("GET", "kv-watch") => {
            let prefix = parameter("path_prefix").unwrap_or_default();
            let after: u64 = parameter("after").and_then(|v| v.parse().ok()).unwrap_or(0);
            let wait: u64 = parameter("wait_ms").and_then(|v| v.parse().ok()).unwrap_or(0);
            let end = Instant::now() + Duration::from_millis(wait);
            loop {
                state.expire(Instant::now());
                let events: Vec<Value> = state
                    .history
                    .iter()
                    .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                    .map(|(revision, key, item)| match item {
                        Some(item) => show(key, item),
                        None => json!({"key": key, "revision": revision, "deleted": true}),
                    })
                    .collect();
                let left = end.saturating_duration_since(Instant::now());
                if !events.is_empty() || left.is_zero() {
                    return (200, json!({"events": events, "store_revision": state.revision}));
                }
                let step = left.min(Duration::from_millis(200));
                state = changed.wait_timeout(state, step).expect("a store").0;
            }
        }
        ("POST", "kv-txn") => {
            let value: Value = serde_json::from_slice(body).unwrap_or_default();
            let rows = |name: &str| value[name].as_array().cloned().unwrap_or_default();
            let holds = rows("expect").iter().all(|row| {
                let known = state.items.get(row["key"].as_str().unwrap_or_default());
                known.map_or(0, |item| item.revision) == row["revision"].as_u64().unwrap_or(0)
            });
            if !holds {
                let items: Vec<Value> = rows("expect")
                    .iter()
                    .filter_map(|row| row["key"].as_str())
                    .filter_map(|key| state.items.get(key).map(|item| show(key, item)))
                    .collect();
                return (412, json!({"items": items}));
            }
            let writes = rows("writes");
            let lease = |row: &Value| row["lease"].as_u64().unwrap_or(0);
            if writes.iter().any(|row| lease(row) != 0 && !state.leases.contains_key(&lease(row))) {
                return (404, json!({}));
            }
            state.revision += 1;
            for row in &writes {
                let text = row["value"].as_str().unwrap_or_default().to_owned();
                state.put(row["key"].as_str().unwrap_or_default(), text, lease(row));
            }
            for key in rows("deletes").iter().filter_map(Value::as_str) {
                state.remove(key);
            }
            changed.notify_all();
            (200, json!({"revision": state.revision}))
        }
        ("POST", "kv-lease") => {
            let value: Value = serde_json::from_slice(body).unwrap_or_default();
            let ttl = value["ttl_s_time"].as_f64().unwrap_or(1.0).clamp(1.0, 600.0);
            let length = Duration::from_secs_f64(ttl);
            state.next_lease += 1;
            let lease = state.next_lease;
            state.leases.insert(lease, Lease { ttl: length, end: Instant::now() + length });
            (200, json!({"lease": lease, "ttl_s_time": ttl}))
        }
        ("POST", "kv-keep") => match state.leases.get_mut(&id) {
            Some(lease) => {
                lease.end = Instant::now() + lease.ttl;
                (200, json!({"ttl_s_time": lease.ttl.as_secs_f64()}))
            }
            None => (404, json!({})),
        },
        ("DELETE", "kv-lease-end") => {
            state.end_lease(id);
            changed.notify_all();
            (200, json!({}))
        }
        _ => (404, json!({})),
    }
}

fn show(key: &str, item: &Item) -> Value {
    json!({"key": key, "value": item.value, "revision": item.revision, "created": item.created,
        "lease": item.lease})
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut place = 0;
    while place < bytes.len() {
        let hex = bytes.get(place + 1..place + 3).filter(|_| bytes[place] == b'%');
        let hex = hex.and_then(|hex| std::str::from_utf8(hex).ok());
        if let Some(byte) = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            decoded.push(byte);
            place += 3;
        } else {
            decoded.push(bytes[place]);
            place += 1;
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
