//! The active configuration of one node: the newest valid revision of each document.

use std::sync::Arc;

use crate::organisation::Organisation;
use crate::prelude::*;
use crate::route::Route;
use crate::table::{Table, Versioned};

/// Key of a configuration document, such as `profiles/default`.
pub type DocumentKey = Arc<str>;

/// The text of a configuration item with its revision, as nodes exchange it.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    /// Key.
    pub key: DocumentKey,
    /// Revision.
    pub revision: Revision,
    /// Text as in the store.
    pub text: Arc<[u8]>,
}

/// First segment of the keys of deployments.
pub const DEPLOYMENT_KEY_PREFIX: &str = "deployment";

impl Document {
    /// Returns whether the document holds a deployment.
    pub fn is_deployment(&self) -> bool {
        self.key.split('/').next() == Some(DEPLOYMENT_KEY_PREFIX)
    }
}

impl Versioned for Document {
    fn version(&self) -> (Version, u64) {
        // One revision has two texts only if the store lost a change. Any fixed order of the two
        // makes all nodes keep the same one.
        (self.revision, crate::id::hash(&self.text))
    }
}

/// Limits for the requests of callers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RequestLimits {
    /// Largest header section in bytes; `None` leaves the node's built-in limit.
    pub header_bytes: Option<usize>,
    /// Largest body in bytes; `None` sets no limit.
    pub body_bytes: Option<u64>,
    /// Time within which callers send the head of a request.
    pub header_timeout: Option<Duration>,
    /// Longest pause of a caller in the middle of a request or a response, and of an idle
    /// connection.
    pub idle_timeout: Option<Duration>,
}

/// All routes, limits and organisations, which take effect together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Deployment {
    /// Routes.
    pub routes: Vec<Route>,
    /// Organisations.
    pub organisations: Vec<Organisation>,
    /// Size limits for the requests of callers.
    pub limits: RequestLimits,
    /// Organisations whose entries could not be read.
    pub unreadable: Vec<UnreadableOrganisation>,
}

/// An organisation whose entry in a deployment could not be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnreadableOrganisation {
    /// Name.
    pub name: OrganisationName,
    /// The error.
    pub fault: String,
}

impl Deployment {
    /// Keeps the organisations that could not be read as they were in the previous version.
    ///
    /// An organisation that was not in it has no keys, so that its requests are refused. It still
    /// counts as an organisation: otherwise requests of a deployment with no readable organisation
    /// would need no key.
    pub fn keep_unreadable(&mut self, previous: Option<&Self>) {
        for unreadable in &self.unreadable {
            let name = &unreadable.name;
            if self.organisations.iter().any(|organisation| organisation.name == *name) {
                continue;
            }
            let known = previous.and_then(|previous| {
                previous.organisations.iter().find(|organisation| organisation.name == *name)
            });
            let kept = known
                .cloned()
                .unwrap_or_else(|| Organisation { name: name.clone(), ..Organisation::default() });
            // Behind the readable ones, which go first if one of them has the same key.
            self.organisations.push(kept);
        }
    }
}

/// A configuration that is not in force, or an entry of one, and why.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Rejection {
    /// Key of the document, and of the entry if the others are in force.
    pub key: String,
    /// Revision of the document; 0 if it cannot be read.
    pub revision: Revision,
    /// The error.
    pub fault: String,
}

/// A validated configuration item.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigItem {
    /// A profile.
    Profile(Profile),
    /// A service and the name of its profile.
    Service(ServiceName, ProfileName),
    /// A route.
    Route(Route),
    /// An organisation.
    Organisation(Organisation),
    /// All routes and limits together.
    Deployment(Deployment),
}

/// The result of [`Catalog::apply`].
#[derive(Clone, Debug, PartialEq)]
pub enum ApplyResult {
    /// The new item is active; the second value is the item that it replaced, if any.
    Applied(Box<ConfigItem>, Option<Box<ConfigItem>>),
    /// The same or a newer revision was active already.
    Unchanged,
    /// The document is malformed; the previous item stays active.
    Rejected,
}

/// Holds the newest valid revision of each key.
#[derive(Debug, Default)]
pub struct Catalog {
    documents: Table<DocumentKey, Document>,
    items: IndexMap<DocumentKey, ConfigItem>,
    rejected: IndexMap<DocumentKey, (Revision, String)>,
    profiles: IndexMap<ProfileName, Profile>,
    fallback: Profile,
}

impl Catalog {
    /// Creates an empty catalog; services without a stored profile use `fallback`.
    pub fn new(fallback: Profile) -> Self {
        Self { fallback, ..Self::default() }
    }

    /// Sets the profile of services without a stored one.
    pub fn set_fallback_profile(&mut self, fallback: Profile) {
        self.fallback = fallback;
    }

    /// Applies a document; `checked` is the result of its validation.
    ///
    /// The revision of a key never decreases: older documents are ignored.
    pub fn apply<E: std::error::Error>(
        &mut self,
        document: Document,
        checked: Result<ConfigItem, E>,
        source: Option<NodeId>,
    ) -> ApplyResult {
        let (key, revision) = (document.key.clone(), document.revision);
        let mut item = match checked {
            Ok(item) => item,
            Err(error) => {
                self.rejected.insert(key, (revision, error.to_string()));
                return ApplyResult::Rejected;
            }
        };
        // A peer may still send the last good version of a document that cannot be read.
        let is_current = |rejected: &(Revision, String)| source.is_none() || revision >= rejected.0;
        if self.rejected.get(&key).is_some_and(is_current) {
            self.rejected.swap_remove(&key);
        }
        if !self.documents.merge(key.clone(), document, source) {
            return ApplyResult::Unchanged;
        }
        if let ConfigItem::Deployment(deployment) = &mut item {
            let previous = match self.items.get(&key) {
                Some(ConfigItem::Deployment(previous)) => Some(previous),
                _ => None,
            };
            deployment.keep_unreadable(previous);
        }
        if let ConfigItem::Profile(profile) = &item {
            self.profiles.insert(profile.name.clone(), profile.clone());
        }
        let replaced = self.items.insert(key, item.clone());
        ApplyResult::Applied(Box::new(item), replaced.map(Box::new))
    }

    /// Returns the documents, for gossip.
    pub fn documents(&self) -> &Table<DocumentKey, Document> {
        &self.documents
    }

    /// Returns the profile of a service, or the fallback profile.
    pub fn profile(&self, service: &str) -> Profile {
        let name = match self.items.get(format!("services/{service}").as_str()) {
            Some(ConfigItem::Service(_, profile)) => profile.clone(),
            _ => ProfileName::from("default"),
        };
        self.profiles.get(&name).unwrap_or(&self.fallback).clone()
    }

    /// Records a document that cannot be read; the last good version stays in force.
    pub fn reject(&mut self, rejection: Rejection) {
        let Rejection { key, revision, fault } = rejection;
        self.rejected.insert(key.into(), (revision, fault));
    }

    /// Returns the documents that are not in force, and the organisations whose entries are not.
    pub fn rejected(&self) -> Vec<Rejection> {
        let documents = self.rejected.iter().map(|(key, (revision, fault))| Rejection {
            key: key.to_string(),
            revision: *revision,
            fault: fault.clone(),
        });
        let entries = self.items.iter().flat_map(|(key, item)| {
            let unreadable = match item {
                ConfigItem::Deployment(deployment) => deployment.unreadable.as_slice(),
                _ => &[],
            };
            let revision = self.documents.get(key).map_or(0, |document| document.revision);
            unreadable.iter().map(move |entry| Rejection {
                key: format!("{key}/organisations/{}", entry.name),
                revision,
                fault: entry.fault.clone(),
            })
        });
        documents.chain(entries).collect()
    }
}
