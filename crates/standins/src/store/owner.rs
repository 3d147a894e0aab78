//! The thread that owns the values.

use std::net::IpAddr;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use indexmap::IndexMap;
use serde_json::{Value, json};

use super::protocol::{Call, Transaction};
use super::{Mode, Outage};

/// Longest sleep of the owner.
const MAX_SLEEP: Duration = Duration::from_secs(3600);
/// Most values on a page.
const PAGE: usize = 50;
/// Prefixes that the system may not write to.
const RESERVED: [&str; 2] = ["op/", "servers/"];

#[derive(Clone, Debug)]
struct Item {
    /// Base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

/// All values, to put a store back to an older copy.
#[derive(Clone, Debug, Default)]
pub struct Copy {
    revision: u64,
    values: IndexMap<String, Item>,
}

#[derive(Debug)]
pub(super) enum Command {
    Call { call: Call, from: IpAddr, reply: Sender<Delivery> },
    Calls(Sender<u64>),
    Compact,
    Keys(Sender<Vec<String>>),
    Mode(Mode),
    Outage(Outage),
    Restore(Copy),
    Snapshot(Sender<Copy>),
    Write(String, String),
}

/// What becomes of a call's answer.
#[derive(Debug)]
pub(super) enum Delivery {
    Answer(u16, String, Duration),
    Silence,
    Reset,
}

#[derive(Debug)]
struct Watch {
    prefix: String,
    after: u64,
    until: Instant,
    reply: Sender<Delivery>,
}

#[derive(Debug)]
struct Lease {
    time: Duration,
    end: Instant,
}

#[derive(Debug)]
struct Event {
    key: String,
    revision: u64,
    /// None when the key was removed.
    item: Option<Item>,
}

#[derive(Debug)]
pub(super) struct Owner {
    mode: Mode,
    outage: Outage,
    copy: Copy,
    calls: u64,
    watches: Vec<Watch>,
    leases: IndexMap<u64, Lease>,
    next_lease: u64,
    history: Vec<Event>,
    // Changes up to this revision are forgotten.
    forgotten: u64,
    down_since: Option<Instant>,
}

impl Default for Owner {
    fn default() -> Self {
        Self {
            mode: Mode::Up,
            outage: Outage::default(),
            copy: Copy { revision: 1, values: IndexMap::new() },
            calls: 0,
            watches: Vec::new(),
            leases: IndexMap::new(),
            next_lease: 1,
            history: Vec::new(),
            forgotten: 0,
            down_since: None,
        }
    }
}

impl Owner {
    pub(super) fn run(mut self, commands: &Receiver<Command>) {
        loop {
            let now = Instant::now();
            let watches = self.watches.iter().map(|watch| watch.until);
            let end = watches.chain(self.leases.values().map(|lease| lease.end)).min();
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
            Command::Call { call, from, reply } => {
                self.calls += 1;
                self.call(call, from, reply);
            }
            Command::Calls(reply) => drop(reply.send(self.calls)),
            Command::Compact => self.compact(),
            Command::Keys(reply) => {
                drop(reply.send(self.copy.values.keys().cloned().collect()));
            }
            Command::Mode(mode) => self.set_mode(mode),
            Command::Outage(outage) => self.outage = outage,
            Command::Restore(copy) => {
                self.copy = copy;
                self.history.clear();
                self.forgotten = self.copy.revision;
            }
            Command::Snapshot(reply) => drop(reply.send(self.copy.clone())),
            Command::Write(key, value) => {
                self.copy.revision += 1;
                self.set(key, STANDARD.encode(value), 0);
            }
        }
    }

    fn set_mode(&mut self, mode: Mode) {
        let now = Instant::now();
        let is_down = matches!(mode, Mode::Down | Mode::Silent | Mode::Resets);
        if let Some(since) = self.down_since.filter(|_| !is_down) {
            if self.outage == Outage::Pauses {
                self.leases.values_mut().for_each(|lease| lease.end += now - since);
            }
            self.down_since = None;
        }
        if is_down {
            self.down_since.get_or_insert(now);
        }
        self.mode = mode;
    }

    /// Returns what becomes of a call that is not answered as usual.
    fn fault(&self, from: IpAddr) -> Option<Delivery> {
        let answer = |status| Some(Delivery::Answer(status, String::new(), Duration::ZERO));
        match self.mode {
            Mode::Down => answer(503),
            Mode::Refuses(address) if address == from => answer(503),
            Mode::Limited => answer(429),
            Mode::Silent => Some(Delivery::Silence),
            Mode::Resets => Some(Delivery::Reset),
            _ => None,
        }
    }

    fn call(&mut self, call: Call, from: IpAddr, reply: Sender<Delivery>) {
        if let Some(fault) = self.fault(from) {
            let _ = reply.send(fault);
            return;
        }
        let delivery = match call {
            Call::Get(key) => match self.copy.values.get(&key) {
                Some(item) => self.answer(200, self.shown(&key, item)),
                None => self.answer(404, Value::Null),
            },
            Call::Range { prefix, after } => self.range(&prefix, &after),
            Call::Watch { prefix, after, until } => {
                self.watches.push(Watch { prefix, after, until, reply });
                return;
            }
            Call::Commit(transaction) => self.commit(transaction),
            Call::Grant(time) => {
                let lease = self.next_lease;
                self.next_lease += 1;
                self.leases.insert(lease, Lease { time, end: Instant::now() + time });
                self.answer(200, json!({"lease": lease, "ttl_s_time": time.as_secs_f64()}))
            }
            Call::Keep(lease) => match self.leases.get_mut(&lease) {
                Some(lease) => {
                    lease.end = Instant::now() + lease.time;
                    let time = lease.time.as_secs_f64();
                    self.answer(200, json!({"ttl_s_time": time}))
                }
                None => self.answer(404, Value::Null),
            },
            Call::End(lease) => {
                self.end_lease(lease);
                self.answer(200, json!({}))
            }
        };
        let _ = reply.send(delivery);
    }

    fn range(&self, prefix: &str, after: &str) -> Delivery {
        let mut keys: Vec<&String> = self.copy.values.keys().collect();
        keys.retain(|key| key.starts_with(prefix) && key.as_str() > after);
        keys.sort_unstable();
        let is_more = keys.len() > PAGE;
        let items: Vec<Value> =
            keys.iter().take(PAGE).map(|key| self.shown(key, &self.copy.values[*key])).collect();
        let revision = self.copy.revision;
        self.answer(200, json!({"items": items, "more_pages": is_more, "store_revision": revision}))
    }

    fn commit(&mut self, transaction: Transaction) -> Delivery {
        let Transaction { expect, writes, deletes } = transaction;
        let is_reserved = |key: &str| RESERVED.iter().any(|prefix| key.starts_with(prefix));
        if writes.iter().map(|w| &w.key).chain(&deletes).any(|key| is_reserved(key)) {
            return self.answer(403, Value::Null);
        }
        let current = |key: &str| self.copy.values.get(key).map_or(0, |item| item.revision);
        if expect.iter().any(|row| current(&row.key) != row.revision) {
            let known = expect
                .iter()
                .filter_map(|row| Some(self.shown(&row.key, self.copy.values.get(&row.key)?)));
            return self.answer(412, json!({"items": known.collect::<Vec<_>>()}));
        }
        if writes.iter().any(|write| write.lease != 0 && !self.leases.contains_key(&write.lease)) {
            return self.answer(404, Value::Null);
        }
        self.copy.revision += 1;
        for write in writes {
            self.set(write.key, write.value, write.lease);
        }
        for key in deletes {
            self.remove(&key);
        }
        if self.mode == Mode::LosesAnswers {
            return Delivery::Silence;
        }
        self.answer(200, json!({"revision": self.copy.revision}))
    }

    /// Writes a value at the current revision.
    fn set(&mut self, key: String, value: String, lease: u64) {
        let revision = self.copy.revision;
        let created = self.copy.values.get(&key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.history.push(Event { key: key.clone(), revision, item: Some(item.clone()) });
        self.copy.values.insert(key, item);
    }

    fn remove(&mut self, key: &str) {
        if self.copy.values.shift_remove(key).is_some() {
            let revision = self.copy.revision;
            self.history.push(Event { key: key.to_owned(), revision, item: None });
        }
    }

    fn compact(&mut self) {
        self.history.clear();
        self.forgotten = self.copy.revision;
        for watch in std::mem::take(&mut self.watches) {
            let _ = watch.reply.send(Delivery::Reset);
        }
    }

    fn expire_leases(&mut self) {
        if self.down_since.is_some() && self.outage == Outage::Pauses {
            return;
        }
        let now = Instant::now();
        let over: Vec<u64> =
            self.leases.iter().filter(|(_, lease)| now >= lease.end).map(|(id, _)| *id).collect();
        for lease in over {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.shift_remove(&lease);
        let values = self.copy.values.iter();
        let keys: Vec<String> =
            values.filter(|(_, item)| item.lease == lease).map(|(key, _)| key.clone()).collect();
        if keys.is_empty() {
            return;
        }
        self.copy.revision += 1;
        for key in keys {
            self.remove(&key);
        }
    }

    fn answer_watches(&mut self) {
        let now = Instant::now();
        for watch in std::mem::take(&mut self.watches) {
            let is_forgotten = watch.after < self.forgotten || watch.after > self.copy.revision;
            let news = self.history.iter().filter(|event| {
                event.key.starts_with(&watch.prefix) && event.revision > watch.after
            });
            let events: Vec<Value> = news.map(|event| self.event(event)).collect();
            let delivery = match self.mode {
                Mode::Down => Delivery::Answer(503, String::new(), Duration::ZERO),
                Mode::Silent => Delivery::Silence,
                Mode::Resets => Delivery::Reset,
                _ if is_forgotten => self.answer(410, Value::Null),
                _ if events.is_empty() && now < watch.until => {
                    self.watches.push(watch);
                    continue;
                }
                _ => {
                    let revision = self.copy.revision;
                    self.answer(200, json!({"events": events, "store_revision": revision}))
                }
            };
            let _ = watch.reply.send(delivery);
        }
    }

    fn event(&self, event: &Event) -> Value {
        let Event { key, revision, item } = event;
        match item {
            Some(item) => self.shown(key, item),
            None => json!({"key": key, "revision": revision, "deleted": true}),
        }
    }

    fn shown(&self, key: &str, item: &Item) -> Value {
        let Item { value, revision, created, lease } = item;
        let store = self.copy.revision;
        json!({
            "key": key,
            "value": value,
            "revision": revision,
            "created": created,
            "lease": lease,
            "store_revision": store
        })
    }

    fn answer(&self, status: u16, body: Value) -> Delivery {
        let delay = if let Mode::Slow(delay) = self.mode { delay } else { Duration::ZERO };
        let text = if body.is_null() { String::new() } else { body.to_string() };
        Delivery::Answer(status, text, delay)
    }
}
