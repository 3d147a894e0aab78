//! Access of nodes and operators to the platform's store.

mod lifetimes;
mod registration;
mod watcher;

use lavenderflow_core::catalog::{Document, Rejection};
use lavenderflow_schema::convert::configuration;

pub use self::lifetimes::{LifetimeSetup, LifetimeStore};
pub use self::registration::{Registration, RegistrationSetup, StoreRole};
pub use self::watcher::{ConfigWatcher, WatcherSetup};
pub use lavenderflow_platform::store::{
    Changes, Consistency, Entry, Store, StoreError, StoreRevision,
};

use crate::prelude::Duration;

/// Prefix of configuration keys.
pub const CONFIG_KEY_PREFIX: &str = "config/";
/// Time within which an operator's change must be in force on all nodes.
const OPERATOR_APPLY_LIMIT: Duration = Duration::from_secs(10);
/// Backoff after the first failed call, doubled with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Longest backoff; entries must be back in the store within 2 s after an outage.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// A source of configuration in the store.
#[derive(Clone, Copy, Debug)]
pub struct ConfigSource {
    /// Prefix of the keys.
    pub prefix: &'static str,
    /// Decodes an entry; returns why it is rejected if it cannot be read.
    pub decode: fn(&Entry) -> Result<Document, Rejection>,
    /// Whether a node reads the entries when it starts. Otherwise only delegates read them, and the
    /// others receive them from their peers.
    pub is_read_early: bool,
    /// Whether nodes may restore values that the store has lost.
    pub is_restorable: bool,
    /// Time within which a change must be in force on all nodes that reach the store.
    pub apply_limit: Duration,
}

impl ConfigSource {
    /// Returns the timeout of a watch, after which the source is confirmed to be unchanged.
    pub fn watch_timeout(&self) -> Duration {
        self.apply_limit / 2
    }

    /// Returns the age of the last confirmation at which a node reads the source itself. The rest
    /// of the limit is for the read and for applying the change.
    pub fn max_age(&self) -> Duration {
        self.apply_limit * 13 / 20
    }
}

/// The configuration that operators change with the commands of this binary.
pub const OPERATOR_SOURCE: ConfigSource = ConfigSource {
    prefix: CONFIG_KEY_PREFIX,
    decode: decode_operator_value,
    is_read_early: true,
    is_restorable: true,
    apply_limit: OPERATOR_APPLY_LIMIT,
};

fn decode_operator_value(entry: &Entry) -> Result<Document, Rejection> {
    // A value that cannot be parsed gets revision 0 and is rejected by the validation.
    let revision = configuration::parse(entry.value.as_bytes()).map_or(0, |stored| stored.revision);
    let key = entry.key.strip_prefix(CONFIG_KEY_PREFIX).unwrap_or(&entry.key);
    Ok(Document { key: key.into(), revision, text: entry.value.as_bytes().into() })
}

/// Exponential backoff after failed calls.
#[derive(Debug)]
struct Backoff(Duration);

impl Backoff {
    fn new() -> Self {
        Self(INITIAL_BACKOFF)
    }

    /// Returns the time to wait after another failure, with jitter so that nodes do not retry at
    /// the same time.
    fn next(&mut self) -> Duration {
        let wait = self.0.mul_f64(rand::random_range(0.5..1.0));
        self.0 = (self.0 * 2).min(MAX_BACKOFF);
        wait
    }

    fn reset(&mut self) {
        self.0 = INITIAL_BACKOFF;
    }
}
