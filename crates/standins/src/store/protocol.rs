//! Decoding of the store's calls from HTTP requests.

use std::time::{Duration, Instant};

use serde::Deserialize;

use crate::http::RequestHead;

const PATH_PREFIX: &str = "/lavenderflow/";

/// A call to the store.
#[derive(Debug)]
pub(super) enum Call {
    Get(String),
    Range { prefix: String, after: String },
    Watch { prefix: String, after: u64, deadline: Instant },
    Commit(Transaction),
    GrantLease(Duration),
    RenewLease(u64),
    RevokeLease(u64),
}

#[derive(Debug, Deserialize)]
pub(super) struct Transaction {
    #[serde(default)]
    pub(super) expect: Vec<Precondition>,
    #[serde(default)]
    pub(super) writes: Vec<Write>,
    #[serde(default)]
    pub(super) deletes: Vec<String>,
}

#[derive(Debug, Deserialize)]
pub(super) struct Precondition {
    pub(super) key: String,
    pub(super) revision: u64,
}

#[derive(Debug, Deserialize)]
pub(super) struct Write {
    pub(super) key: String,
    /// Encoded as Base64.
    pub(super) value: String,
    #[serde(default)]
    pub(super) lease: u64,
}

#[derive(Debug, Deserialize)]
struct LeaseRequest {
    ttl_s_time: f64,
}

/// Decodes a call; `None` if the call is unknown or malformed.
pub(super) fn parse_call(head: &RequestHead, text: &str) -> Option<Call> {
    let path = head.target.split('?').next()?.strip_prefix(PATH_PREFIX)?;
    match (head.method.as_str(), path) {
        ("GET", "kv-key") => Some(Call::Get(percent_decode(head.query_value("key")?)?)),
        ("GET", "kv-range") => Some(Call::Range {
            prefix: percent_decode(head.query_value("path_prefix")?)?,
            after: head.query_value("after").map_or(Some(String::new()), percent_decode)?,
        }),
        ("GET", "kv-watch") => Some(Call::Watch {
            prefix: percent_decode(head.query_value("path_prefix")?)?,
            after: head.query_number("after")?,
            deadline: Instant::now() + Duration::from_millis(head.query_number("wait_ms")?),
        }),
        ("POST", "kv-txn") => serde_json::from_str(text).ok().map(Call::Commit),
        ("POST", "kv-lease") => {
            let request: LeaseRequest = serde_json::from_str(text).ok()?;
            Duration::try_from_secs_f64(request.ttl_s_time).ok().map(Call::GrantLease)
        }
        ("POST", path) => path.strip_prefix("kv-keep/")?.parse().ok().map(Call::RenewLease),
        ("DELETE", path) => path.strip_prefix("kv-lease-end/")?.parse().ok().map(Call::RevokeLease),
        _ => None,
    }
}

fn percent_decode(text: &str) -> Option<String> {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((byte, tail)) = rest.split_first() {
        if *byte == b'%' {
            let digits = std::str::from_utf8(tail.get(..2)?).ok()?;
            bytes.push(u8::from_str_radix(digits, 16).ok()?);
            rest = &tail[2..];
        } else {
            bytes.push(*byte);
            rest = tail;
        }
    }
    String::from_utf8(bytes).ok()
}
