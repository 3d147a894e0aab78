//! The actor that owns the values, leases and pending watches.

use std::net::{IpAddr, SocketAddr};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use indexmap::{IndexMap, IndexSet};
use serde_json::{Value, json};

use super::protocol::{Call, Transaction};
use super::{LeasePolicy, Mode};

/// Longest wait for a command when no watch or lease is due.
const MAX_SLEEP: Duration = Duration::from_secs(3600);
/// Largest number of values on a page.
const MAX_PAGE_ITEMS: usize = 50;
/// Prefixes of keys that only the platform may write.
const RESERVED_PREFIXES: [&str; 2] = ["op/", "servers/"];

#[derive(Clone, Debug)]
struct Item {
    /// Encoded as Base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

/// All values at one revision.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    revision: u64,
    values: IndexMap<String, Item>,
}

#[derive(Debug)]
pub(super) enum Command {
    Call { call: Call, from: IpAddr, at: SocketAddr, reply: Sender<ResponseAction> },
    CallCount(Sender<u64>),
    Compact,
    Keys(Sender<Vec<String>>),
    Mode(Mode),
    LeasePolicy(LeasePolicy),
    Restore(Snapshot),
    Silence(Vec<SocketAddr>),
    Snapshot(Sender<Snapshot>),
    WatchedAddresses(String, Sender<IndexSet<SocketAddr>>),
    Write(String, String),
}

/// How to respond to a call.
#[derive(Debug)]
pub(super) enum ResponseAction {
    Respond(u16, String, Duration),
    Silence,
    Reset,
}

#[derive(Debug)]
struct Watch {
    prefix: String,
    after: u64,
    deadline: Instant,
    at: SocketAddr,
    reply: Sender<ResponseAction>,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

#[derive(Debug)]
struct Event {
    key: String,
    revision: u64,
    /// `None` when the key was removed.
    item: Option<Item>,
}

#[derive(Debug)]
pub(super) struct Actor {
    mode: Mode,
    silenced: IndexSet<SocketAddr>,
    lease_policy: LeasePolicy,
    contents: Snapshot,
    call_count: u64,
    watches: Vec<Watch>,
    leases: IndexMap<u64, Lease>,
    next_lease: u64,
    history: Vec<Event>,
    // The history up to this revision has been discarded.
    compacted_revision: u64,
    down_since: Option<Instant>,
}

impl Default for Actor {
    fn default() -> Self {
        Self {
            mode: Mode::Up,
            silenced: IndexSet::new(),
            lease_policy: LeasePolicy::default(),
            contents: Snapshot { revision: 1, values: IndexMap::new() },
            call_count: 0,
            watches: Vec::new(),
            leases: IndexMap::new(),
            next_lease: 1,
            history: Vec::new(),
            compacted_revision: 0,
            down_since: None,
        }
    }
}

impl Actor {
    pub(super) fn run(mut self, commands: &Receiver<Command>) {
        loop {
            let now = Instant::now();
            let watches = self.watches.iter().map(|watch| watch.deadline);
            let end = watches.chain(self.leases.values().map(|lease| lease.expires_at)).min();
            let wait = end.map_or(MAX_SLEEP, |end| end.saturating_duration_since(now));
            match commands.recv_timeout(wait) {
                Ok(command) => self.handle(command),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.expire_leases();
            self.answer_watches();
        }
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Call { call, from, at, reply } => {
                self.call_count += 1;
                match self.fault_response(from, at) {
                    Some(fault) => drop(reply.send(fault)),
                    None => self.call(call, at, reply),
                }
            }
            Command::CallCount(reply) => drop(reply.send(self.call_count)),
            Command::Compact => self.compact(),
            Command::Keys(reply) => {
                drop(reply.send(self.contents.values.keys().cloned().collect()));
            }
            Command::Mode(mode) => self.set_mode(mode),
            Command::LeasePolicy(policy) => self.lease_policy = policy,
            Command::Restore(snapshot) => {
                self.contents = snapshot;
                self.history.clear();
                self.compacted_revision = self.contents.revision;
            }
            Command::Silence(addresses) => self.silenced.extend(addresses),
            Command::Snapshot(reply) => drop(reply.send(self.contents.clone())),
            Command::WatchedAddresses(prefix, reply) => {
                let watches = self.watches.iter().filter(|watch| watch.prefix == prefix);
                drop(reply.send(watches.map(|watch| watch.at).collect()));
            }
            Command::Write(key, value) => {
                self.contents.revision += 1;
                self.set(key, STANDARD.encode(value), 0);
            }
        }
    }

    fn set_mode(&mut self, mode: Mode) {
        let now = Instant::now();
        let is_down = matches!(mode, Mode::Down | Mode::Silent | Mode::Resets);
        if let Some(since) = self.down_since.filter(|_| !is_down) {
            if self.lease_policy == LeasePolicy::Pauses {
                self.leases.values_mut().for_each(|lease| lease.expires_at += now - since);
            }
            self.down_since = None;
        }
        if is_down {
            self.down_since.get_or_insert(now);
        }
        self.mode = mode;
    }

    /// Returns the response that the mode injects, if any.
    fn fault_response(&self, from: IpAddr, at: SocketAddr) -> Option<ResponseAction> {
        if self.silenced.contains(&at) {
            return Some(ResponseAction::Silence);
        }
        let respond = |status| Some(ResponseAction::Respond(status, String::new(), Duration::ZERO));
        match self.mode {
            Mode::Down => respond(503),
            Mode::DownFor(address) if address == from => respond(503),
            Mode::RateLimited => respond(429),
            Mode::Silent => Some(ResponseAction::Silence),
            Mode::Resets => Some(ResponseAction::Reset),
            _ => None,
        }
    }

    fn call(&mut self, call: Call, at: SocketAddr, reply: Sender<ResponseAction>) {
        let action = match call {
            Call::Get(key) => match self.contents.values.get(&key) {
                Some(item) => self.respond(200, self.item_json(&key, item)),
                None => self.respond(404, Value::Null),
            },
            Call::Range { prefix, after } => self.range(&prefix, &after),
            Call::Watch { prefix, after, deadline } => {
                self.watches.push(Watch { prefix, after, deadline, at, reply });
                return;
            }
            Call::Commit(transaction) => self.commit(transaction),
            Call::GrantLease(ttl) => {
                let lease = self.next_lease;
                self.next_lease += 1;
                self.leases.insert(lease, Lease { ttl, expires_at: Instant::now() + ttl });
                self.respond(200, json!({"lease": lease, "ttl_s_time": ttl.as_secs_f64()}))
            }
            Call::RenewLease(lease) => match self.leases.get_mut(&lease) {
                Some(lease) => {
                    lease.expires_at = Instant::now() + lease.ttl;
                    let ttl = lease.ttl.as_secs_f64();
                    self.respond(200, json!({"ttl_s_time": ttl}))
                }
                None => self.respond(404, Value::Null),
            },
            Call::RevokeLease(lease) => {
                self.revoke_lease(lease);
                self.respond(200, json!({}))
            }
        };
        let _ = reply.send(action);
    }

    fn range(&self, prefix: &str, after: &str) -> ResponseAction {
        let mut keys: Vec<&String> = self.contents.values.keys().collect();
        keys.retain(|key| key.starts_with(prefix) && key.as_str() > after);
        keys.sort_unstable();
        let is_more = keys.len() > MAX_PAGE_ITEMS;
        let items: Vec<Value> = keys
            .iter()
            .take(MAX_PAGE_ITEMS)
            .map(|key| self.item_json(key, &self.contents.values[*key]))
            .collect();
        let revision = self.contents.revision;
        self.respond(
            200,
            json!({"items": items, "more_pages": is_more, "store_revision": revision}),
        )
    }

    fn commit(&mut self, transaction: Transaction) -> ResponseAction {
        let Transaction { expect, writes, deletes } = transaction;
        let is_reserved =
            |key: &str| RESERVED_PREFIXES.iter().any(|prefix| key.starts_with(prefix));
        if writes.iter().map(|w| &w.key).chain(&deletes).any(|key| is_reserved(key)) {
            return self.respond(403, Value::Null);
        }
        let current = |key: &str| self.contents.values.get(key).map_or(0, |item| item.revision);
        if expect.iter().any(|row| current(&row.key) != row.revision) {
            let current_items = expect.iter().filter_map(|row| {
                Some(self.item_json(&row.key, self.contents.values.get(&row.key)?))
            });
            return self.respond(412, json!({"items": current_items.collect::<Vec<_>>()}));
        }
        if writes.iter().any(|write| write.lease != 0 && !self.leases.contains_key(&write.lease)) {
            return self.respond(404, Value::Null);
        }
        self.contents.revision += 1;
        for write in writes {
            self.set(write.key, write.value, write.lease);
        }
        for key in deletes {
            self.remove(&key);
        }
        if self.mode == Mode::LosesResponses {
            return ResponseAction::Silence;
        }
        self.respond(200, json!({"revision": self.contents.revision}))
    }

    /// Writes a value at the current revision.
    fn set(&mut self, key: String, value: String, lease: u64) {
        let revision = self.contents.revision;
        let created = self.contents.values.get(&key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.history.push(Event { key: key.clone(), revision, item: Some(item.clone()) });
        self.contents.values.insert(key, item);
    }

    fn remove(&mut self, key: &str) {
        if self.contents.values.shift_remove(key).is_some() {
            let revision = self.contents.revision;
            self.history.push(Event { key: key.to_owned(), revision, item: None });
        }
    }

    fn compact(&mut self) {
        self.history.clear();
        self.compacted_revision = self.contents.revision;
        for watch in std::mem::take(&mut self.watches) {
            let _ = watch.reply.send(ResponseAction::Reset);
        }
    }

    fn expire_leases(&mut self) {
        if self.down_since.is_some() && self.lease_policy == LeasePolicy::Pauses {
            return;
        }
        let now = Instant::now();
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| now >= lease.expires_at)
            .map(|(id, _)| *id)
            .collect();
        for lease in expired {
            self.revoke_lease(lease);
        }
    }

    fn revoke_lease(&mut self, lease: u64) {
        self.leases.shift_remove(&lease);
        let values = self.contents.values.iter();
        let keys: Vec<String> =
            values.filter(|(_, item)| item.lease == lease).map(|(key, _)| key.clone()).collect();
        if keys.is_empty() {
            return;
        }
        self.contents.revision += 1;
        for key in keys {
            self.remove(&key);
        }
    }

    fn answer_watches(&mut self) {
        let now = Instant::now();
        for watch in std::mem::take(&mut self.watches) {
            let is_compacted =
                watch.after < self.compacted_revision || watch.after > self.contents.revision;
            let changes = self.history.iter().filter(|event| {
                event.key.starts_with(&watch.prefix) && event.revision > watch.after
            });
            let events: Vec<Value> = changes.map(|event| self.event_json(event)).collect();
            let action = match self.mode {
                _ if self.silenced.contains(&watch.at) => ResponseAction::Silence,
                Mode::Down => ResponseAction::Respond(503, String::new(), Duration::ZERO),
                Mode::Silent => ResponseAction::Silence,
                Mode::Resets => ResponseAction::Reset,
                _ if is_compacted => self.respond(410, Value::Null),
                _ if events.is_empty() && now < watch.deadline => {
                    self.watches.push(watch);
                    continue;
                }
                _ => {
                    let revision = self.contents.revision;
                    self.respond(200, json!({"events": events, "store_revision": revision}))
                }
            };
            let _ = watch.reply.send(action);
        }
    }

    fn event_json(&self, event: &Event) -> Value {
        let Event { key, revision, item } = event;
        match item {
            Some(item) => self.item_json(key, item),
            None => json!({"key": key, "revision": revision, "deleted": true}),
        }
    }

    fn item_json(&self, key: &str, item: &Item) -> Value {
        let Item { value, revision, created, lease } = item;
        let store_revision = self.contents.revision;
        json!({
            "key": key,
            "value": value,
            "revision": revision,
            "created": created,
            "lease": lease,
            "store_revision": store_revision
        })
    }

    fn respond(&self, status: u16, body: Value) -> ResponseAction {
        let delay = if let Mode::Slow(delay) = self.mode { delay } else { Duration::ZERO };
        let text = if body.is_null() { String::new() } else { body.to_string() };
        ResponseAction::Respond(status, text, delay)
    }
}
