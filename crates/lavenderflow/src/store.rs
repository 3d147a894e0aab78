//! What nodes and operators keep in the platform's store.

mod introducer;
mod watcher;

use lavenderflow_core::catalog::Document;
use lavenderflow_schema::convert::{ConvertError, configuration};

pub use self::introducer::{Introducer, Setup as IntroducerSetup, Standing};
pub use self::watcher::{Setup as WatcherSetup, Watcher};
pub use lavenderflow_platform::store::{
    Changes, Consistency, Entry, Store, StoreError, StoreRevision,
};

use crate::prelude::Duration;

/// Prefix of the configuration's keys.
pub const CONFIGURATION: &str = "config/";
/// First time to wait after a failed call, doubled with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Longest time to wait after a failed call; entries must be back two seconds after an outage.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// A part of the store that holds configuration.
#[derive(Clone, Copy, Debug)]
pub struct Source {
    /// Prefix of its keys.
    pub prefix: &'static str,
    /// Decodes a value; `Err` for what is not configuration at all.
    pub decode: fn(&Entry) -> Result<Document, ConvertError>,
    /// Whether nodes may put back values that the store has lost.
    pub restores: bool,
    /// Time for which a watch waits: a connection that has gone silent is noticed after it, and
    /// each watch is a call that the platform counts.
    pub watch: Duration,
}

/// The configuration that operators write by this product's commands.
pub const OWN_SOURCE: Source = Source {
    prefix: CONFIGURATION,
    decode: decode_operator_value,
    restores: true,
    watch: Duration::from_secs(5),
};

fn decode_operator_value(entry: &Entry) -> Result<Document, ConvertError> {
    // One that cannot be parsed has revision 0 and is rejected where it is checked.
    let revision = configuration::parse(entry.value.as_bytes()).map_or(0, |stored| stored.revision);
    let key = entry.key.strip_prefix(CONFIGURATION).unwrap_or(&entry.key);
    Ok(Document { key: key.into(), revision, text: entry.value.as_bytes().into() })
}

/// Time to wait after failed calls.
#[derive(Debug)]
struct Backoff(Duration);

impl Backoff {
    fn new() -> Self {
        Self(INITIAL_BACKOFF)
    }

    /// Returns the time to wait after another failure, spread so that nodes do not come together.
    fn next(&mut self) -> Duration {
        let wait = self.0.mul_f64(rand::random_range(0.5..1.0));
        self.0 = (self.0 * 2).min(MAX_BACKOFF);
        wait
    }

    fn reset(&mut self) {
        self.0 = INITIAL_BACKOFF;
    }
}
