//! Client for the operators' commands: reads and changes the configuration in the store, and calls
//! nodes.

use std::net::SocketAddr;
use std::thread;

use lavenderflow_core::catalog::Document;
use lavenderflow_core::change::{Accepted, Change, Proposed, Resolution, StoredState};
use lavenderflow_schema::configuration::{Organisation, Profile, Route, Service, Stored};
use lavenderflow_schema::convert::{ConvertError, configuration};
use rand::random;
use serde_json::{Map, Value};

use crate::prelude::*;
use crate::status::Status;
use crate::store::{CONFIG_KEY_PREFIX, Consistency, Store, StoreError, StoreRevision};

/// Interval between attempts to read back a change after a failed call to the store.
const READ_BACK_INTERVAL: Duration = Duration::from_millis(250);

/// An error of an operator's command.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// Another operator changed the value in the meantime.
    #[error("{key}: {author} changed it meanwhile; revision {revision} is stored")]
    Conflict {
        /// Key.
        key: String,
        /// Author of the other change.
        author: String,
        /// Revision of the other change.
        revision: Revision,
    },
    /// An argument is not a field name and a valid value.
    #[error("{0:?} is not of the form FIELD=VALUE")]
    Assignment(String),
    /// The field does not exist.
    #[error("there is no field {0}")]
    Field(String),
    /// The changed value is malformed.
    #[error(transparent)]
    Value(#[from] ConvertError),
    /// The stored value is malformed.
    #[error("{0} is malformed in the store")]
    MalformedEntry(String),
    /// The entry does not exist.
    #[error("there is no {0}")]
    Missing(String),
    /// A call to the store failed before the change was sent.
    #[error("nothing was changed: {0}")]
    Store(#[from] StoreError),
    /// The response to the change was lost, and reading it back failed too.
    #[error("the change {change} of {key} may have taken effect: {fault}")]
    Unresolved {
        /// Id of the change.
        change: String,
        /// Key.
        key: String,
        /// The last error of the store.
        fault: StoreError,
    },
    /// A request to the node failed.
    #[error("the node at {address} cannot be reached: {fault}")]
    NodeUnreachable {
        /// The node's address for operators.
        address: SocketAddr,
        /// The HTTP client's error.
        fault: ureq::Error,
    },
}

/// A kind of configuration entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfigKind {
    /// Organisations.
    Organisation,
    /// Profiles.
    Profile,
    /// Routes.
    Route,
    /// Services.
    Service,
}

impl ConfigKind {
    /// Returns the first segment of the keys.
    pub fn prefix(self) -> &'static str {
        match self {
            Self::Organisation => "organisations",
            Self::Profile => "profiles",
            Self::Route => "routes",
            Self::Service => "services",
        }
    }

    /// Returns the initial value of a new entry.
    fn template(self, name: &str) -> Stored {
        let name = name.to_owned();
        let mut stored = Stored::default();
        match self {
            Self::Organisation => {
                stored.organisation = Some(Organisation { name, ..Organisation::default() });
            }
            Self::Profile => {
                let profile = lavenderflow_core::profile::Profile::default();
                stored.profile = Some(Profile { name, ..configuration::stored_profile(&profile) });
            }
            Self::Route => stored.route = Some(Route { name, ..Route::default() }),
            Self::Service => {
                let profile = "default".to_owned();
                stored.service = Some(Service { name, profile });
            }
        }
        stored
    }

    /// Changes the value of this kind in its JSON form.
    fn update(
        self,
        stored: &mut Stored,
        change: impl FnOnce(&mut Value) -> Result<(), OperatorError>,
    ) -> Result<(), OperatorError> {
        let json_error = |fault: serde_json::Error| ConvertError::Json(fault.to_string());
        match self {
            Self::Organisation => update_field(&mut stored.organisation, change, json_error),
            Self::Profile => update_field(&mut stored.profile, change, json_error),
            Self::Route => update_field(&mut stored.route, change, json_error),
            Self::Service => update_field(&mut stored.service, change, json_error),
        }
    }
}

fn update_field<T: serde::Serialize + serde::de::DeserializeOwned>(
    field: &mut Option<T>,
    change: impl FnOnce(&mut Value) -> Result<(), OperatorError>,
    json_error: impl Fn(serde_json::Error) -> ConvertError,
) -> Result<(), OperatorError> {
    let mut value = serde_json::to_value(&*field).map_err(&json_error)?;
    change(&mut value)?;
    *field = Some(serde_json::from_value(value).map_err(&json_error)?);
    Ok(())
}

/// An assignment of a value to a field.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Assignment {
    /// Field names, outermost first.
    pub path: Vec<String>,
    /// Value.
    pub value: String,
}

impl Assignment {
    /// Parses `FIELD=VALUE`, where the names of nested fields are joined by dots.
    ///
    /// # Errors
    ///
    /// The text does not have this form.
    ///
    /// # Examples
    ///
    /// ```
    /// use lavenderflow::operator::Assignment;
    ///
    /// let assignment = Assignment::parse("patience.queue_ms=300")?;
    /// assert_eq!(assignment.path, ["patience", "queue_ms"]);
    /// # Ok::<(), lavenderflow::operator::OperatorError>(())
    /// ```
    pub fn parse(text: &str) -> Result<Self, OperatorError> {
        let (path, value) =
            text.split_once('=').ok_or_else(|| OperatorError::Assignment(text.to_owned()))?;
        let path = path.split('.').map(str::to_owned).collect();
        Ok(Self { path, value: value.to_owned() })
    }

    /// Sets the field in a JSON value. The field must exist; a string stays a string, and any other
    /// value is parsed as JSON.
    fn apply(&self, target: &mut Value) -> Result<(), OperatorError> {
        let missing = || OperatorError::Field(self.path.join("."));
        let mut field = target;
        for name in &self.path {
            field = field
                .as_object_mut()
                .and_then(|map: &mut Map<_, _>| map.get_mut(name))
                .ok_or_else(missing)?;
        }
        *field = match field {
            Value::String(_) => Value::String(self.value.clone()),
            _ => serde_json::from_str(&self.value).map_err(|_| {
                OperatorError::Assignment(format!("{}={}", self.path.join("."), self.value))
            })?,
        };
        Ok(())
    }
}

/// Reads and changes configuration in the store, and calls nodes.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    /// The store.
    pub store: Store,
    /// A node's address for operators, to read the active configuration.
    pub node: Option<SocketAddr>,
    /// Name of the operator, stored with each change.
    pub author: String,
    /// How long to retry reading back a change after a failed call to the store.
    pub resolve_timeout: Duration,
    /// The clock.
    pub clock: SharedClock,
}

/// An entry as read from the store; `value` is `None` if there is none.
#[derive(Clone, Debug, Default)]
struct StoredEntry {
    revision: StoreRevision,
    value: Option<Stored>,
}

impl StoredEntry {
    fn state(&self) -> StoredState {
        let value = self.value.clone().unwrap_or_default();
        StoredState { revision: value.revision, changes: value.changes, author: value.author }
    }
}

impl OperatorClient {
    /// Lists the entries of a kind by name, without malformed ones.
    ///
    /// # Errors
    ///
    /// The call to the store failed.
    pub fn list(&self, kind: ConfigKind) -> Result<IndexMap<String, Stored>, OperatorError> {
        let prefix = format!("{CONFIG_KEY_PREFIX}{}/", kind.prefix());
        let listing = self.store.list(&prefix, Consistency::Linearizable)?;
        let entries = listing.entries.iter().filter_map(|entry| {
            let name = entry.key.strip_prefix(&prefix)?.to_owned();
            Some((name, configuration::parse(entry.value.as_bytes()).ok()?))
        });
        Ok(entries.collect())
    }

    /// Returns an entry.
    ///
    /// # Errors
    ///
    /// The entry does not exist or is malformed, or the call to the store failed.
    pub fn show(&self, kind: ConfigKind, name: &str) -> Result<Stored, OperatorError> {
        let key = format!("{}/{name}", kind.prefix());
        self.read(&key)?.value.ok_or(OperatorError::Missing(key))
    }

    /// Changes fields of an entry, or creates the entry if it does not exist.
    ///
    /// # Errors
    ///
    /// The value is malformed, another operator changed it in the meantime, or a call to the store
    /// or the node failed.
    pub fn set(
        &self,
        kind: ConfigKind,
        name: &str,
        assignments: &[Assignment],
    ) -> Result<Change<Accepted>, OperatorError> {
        let key = format!("{}/{name}", kind.prefix());
        let read = self.read(&key)?;
        let active = self.active_value(&key)?;
        let stored = read.value.clone();
        let newest = [stored, active].into_iter().flatten().max_by_key(|value| value.revision);
        let base = newest.unwrap_or_else(|| kind.template(name));
        let revision = read.state().revision;
        let change = Change::propose(format!("{:016x}", random::<u64>()), revision, base.revision);
        let mut value = base.clone();
        for assignment in assignments {
            kind.update(&mut value, |json| assignment.apply(json))?;
        }
        value.revision = change.revision();
        value.changes =
            change.history(&StoredState { changes: base.changes, ..StoredState::default() });
        value.author.clone_from(&self.author);
        let text = serde_json::to_string(&value).map_err(|f| ConvertError::Json(f.to_string()))?;
        let document = Document {
            key: key.as_str().into(),
            revision: value.revision,
            text: text.as_bytes().into(),
        };
        configuration::validate(&document)?;
        self.commit(&key, &text, &read, change)
    }

    /// Returns a node's status.
    ///
    /// # Errors
    ///
    /// The request to the node failed.
    pub fn status(address: SocketAddr) -> Result<Status, OperatorError> {
        let node_error = |fault| OperatorError::NodeUnreachable { address, fault };
        let url = format!("http://{address}/v1/status");
        ureq::get(url)
            .call()
            .map_err(node_error)?
            .body_mut()
            .with_config()
            .limit(u64::MAX)
            .read_json()
            .map_err(node_error)
    }

    /// Starts a graceful stop of a node.
    ///
    /// # Errors
    ///
    /// The request to the node failed.
    pub fn drain(address: SocketAddr) -> Result<(), OperatorError> {
        let node_error = |fault| OperatorError::NodeUnreachable { address, fault };
        ureq::post(format!("http://{address}/v1/drain"))
            .send_empty()
            .map(|_| ())
            .map_err(node_error)
    }

    fn read(&self, key: &str) -> Result<StoredEntry, OperatorError> {
        let entry = self.store.get(&format!("{CONFIG_KEY_PREFIX}{key}"))?;
        let Some(entry) = entry else { return Ok(StoredEntry::default()) };
        let value = configuration::parse(entry.value.as_bytes())
            .map_err(|_| OperatorError::MalformedEntry(key.to_owned()))?;
        Ok(StoredEntry { revision: entry.revision, value: Some(value) })
    }

    /// Returns the value that is active on the node. It is newer than the stored value after the
    /// store was restored from an older backup.
    fn active_value(&self, key: &str) -> Result<Option<Stored>, OperatorError> {
        let Some(address) = self.node else { return Ok(None) };
        let node_error = |fault| OperatorError::NodeUnreachable { address, fault };
        let url = format!("http://{address}/v1/documents");
        let mut response = ureq::get(url).call().map_err(node_error)?;
        let documents: IndexMap<String, Stored> =
            response.body_mut().with_config().limit(u64::MAX).read_json().map_err(node_error)?;
        Ok(documents.get(key).cloned())
    }

    /// Sends the compare-and-swap, again if necessary, until it is known whether it took effect.
    fn commit(
        &self,
        key: &str,
        text: &str,
        base: &StoredEntry,
        mut change: Change<Proposed>,
    ) -> Result<Change<Accepted>, OperatorError> {
        let path = format!("{CONFIG_KEY_PREFIX}{key}");
        let deadline = self.clock.now() + self.resolve_timeout;
        loop {
            match self.store.compare_and_swap(&path, text, base.revision) {
                Ok(_) => return Ok(change.accept()),
                Err(fault) => log::info!("event=change-unanswered key={key} fault={fault}"),
            }
            let read = self.read_back(key, &change, deadline)?;
            change = match change.resolve(&base.state(), read.state()) {
                Resolution::Accepted(change) => return Ok(change),
                Resolution::Pending(change) => change,
                Resolution::Conflict(StoredState { author, revision, .. }) => {
                    return Err(OperatorError::Conflict { key: key.to_owned(), author, revision });
                }
            };
        }
    }

    fn read_back(
        &self,
        key: &str,
        change: &Change<Proposed>,
        deadline: Instant,
    ) -> Result<StoredEntry, OperatorError> {
        loop {
            let fault = match self.read(key) {
                Err(OperatorError::Store(fault)) => fault,
                other => return other,
            };
            if self.clock.now() >= deadline {
                let (change, key) = (change.id().to_owned(), key.to_owned());
                return Err(OperatorError::Unresolved { change, key, fault });
            }
            thread::sleep(READ_BACK_INTERVAL);
        }
    }
}
