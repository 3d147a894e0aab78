//! The client of the platform's store.

use std::net::SocketAddr;

use serde::Deserialize;
use ureq::Agent;
use ureq::http::Response;

use crate::prelude::*;

/// Header with the store's revision of a value.
const REVISION: &str = "store-revision";
/// Longest time for a call, beyond the time that a watch waits.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Orders the changes of all keys in the store.
pub type StoreRevision = u64;

/// Why a call to the store failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Another value is stored than the one to replace.
    #[error("the value was changed meanwhile")]
    Conflict,
    /// There was no answer; a change may have taken effect.
    #[error("the store cannot be reached: {0}")]
    Unavailable(#[from] ureq::Error),
    /// The answer has an unexpected status.
    #[error("the store answered with status {0}")]
    Status(u16),
    /// The answer has no revision.
    #[error("the store's answer has no revision")]
    Revision,
}

/// A stored value.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Entry {
    /// Key.
    pub key: String,
    /// The store's revision of the value.
    pub revision: StoreRevision,
    /// Value.
    pub value: String,
}

/// The answer to a list or a watch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Page {
    /// The revision up to which changes are included.
    pub revision: StoreRevision,
    /// Values that have changed.
    pub entries: Vec<Entry>,
}

/// Calls the store.
#[derive(Clone, Debug)]
pub struct Store {
    address: SocketAddr,
    agent: Agent,
}

impl Store {
    /// Creates a client; nothing is sent yet.
    pub fn new(address: SocketAddr) -> Self {
        let config = Agent::config_builder().http_status_as_error(false).proxy(None);
        Self { address, agent: config.build().into() }
    }

    /// Reads a value.
    ///
    /// # Errors
    ///
    /// The store does not answer as expected.
    pub fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        let url = format!("http://{}/v1/kv/{key}", self.address);
        let call = self.agent.get(url).config().timeout_global(Some(TIMEOUT)).build();
        let mut response = call.call()?;
        match response.status().as_u16() {
            200 => {
                let revision = revision(&response)?;
                let value = response.body_mut().read_to_string()?;
                Ok(Some(Entry { key: key.to_owned(), revision, value }))
            }
            404 => Ok(None),
            status => Err(StoreError::Status(status)),
        }
    }

    /// Replaces the value of revision `base`, or creates it when `base` is 0.
    ///
    /// # Errors
    ///
    /// Another value is stored, or the store does not answer; then the change may have taken
    /// effect.
    pub fn put(
        &self,
        key: &str,
        value: &str,
        base: StoreRevision,
    ) -> Result<StoreRevision, StoreError> {
        let url = format!("http://{}/v1/kv/{key}?if={base}", self.address);
        let call = self.agent.put(url).config().timeout_global(Some(TIMEOUT)).build();
        let response = call.send(value)?;
        match response.status().as_u16() {
            200 => revision(&response),
            409 => Err(StoreError::Conflict),
            status => Err(StoreError::Status(status)),
        }
    }

    /// Returns the values below a prefix that have changed after a revision; waits up to `wait`
    /// for the first.
    ///
    /// # Errors
    ///
    /// The store does not answer as expected.
    pub fn list(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<Page, StoreError> {
        let wait_ms = wait.as_millis();
        let base = format!("http://{}/v1/kv", self.address);
        let url = format!("{base}?prefix={prefix}&after={after}&wait_ms={wait_ms}");
        let limit = Some(wait + TIMEOUT);
        let mut response = self.agent.get(url).config().timeout_global(limit).build().call()?;
        match response.status().as_u16() {
            200 => Ok(response.body_mut().with_config().limit(u64::MAX).read_json()?),
            status => Err(StoreError::Status(status)),
        }
    }
}

fn revision<B>(response: &Response<B>) -> Result<StoreRevision, StoreError> {
    let value = response.headers().get(REVISION).and_then(|value| value.to_str().ok());
    value.and_then(|text| text.parse().ok()).ok_or(StoreError::Revision)
}
