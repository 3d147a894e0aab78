//! The configuration in force on one node.

use std::sync::Arc;

use crate::prelude::*;
use crate::route::Route;
use crate::table::{Table, Versioned};

/// Names one entry of the configuration, such as `profiles/default`.
pub type Key = Arc<str>;

/// The text of an entry with its revision, as nodes pass it on.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    /// Key.
    pub key: Key,
    /// Revision.
    pub revision: Revision,
    /// Text as stored.
    pub text: Arc<[u8]>,
}

/// First part of the keys of deployments.
pub const DEPLOYMENT: &str = "deployment";

impl Document {
    /// Tells whether the document holds a deployment.
    pub fn is_deployment(&self) -> bool {
        self.key.split('/').next() == Some(DEPLOYMENT)
    }
}

impl Versioned for Document {
    fn version(&self) -> (Version, u64) {
        // Two texts of one revision can only come from a store that lost a change; any fixed
        // order of the two keeps the nodes equal.
        (self.revision, crate::id::hash(&self.text))
    }
}

/// What callers may send.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Limits {
    /// Largest header section in bytes; the node's own limit when there is none.
    pub header_bytes: Option<usize>,
    /// Largest body in bytes.
    pub body_bytes: Option<u64>,
}

/// All routes and limits, which come into force together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Deployment {
    /// Routes.
    pub routes: Vec<Route>,
    /// What callers may send.
    pub limits: Limits,
}

/// A checked entry.
#[derive(Clone, Debug, PartialEq)]
pub enum Item {
    /// A profile.
    Profile(Profile),
    /// A service and the profile that it follows.
    Service(ServiceName, ProfileName),
    /// A route.
    Route(Route),
    /// An organisation and its limit of requests in flight at one entry; 0 sets no limit.
    Organisation(OrganisationName, u32),
    /// All routes at once.
    Deployment(Deployment),
}

/// What became of a document.
#[derive(Clone, Debug, PartialEq)]
pub enum Taken {
    /// It is in force now, instead of an older item if there was one.
    Applied(Box<Item>, Option<Box<Item>>),
    /// The same or a newer revision is in force.
    Known,
    /// It is malformed; what was in force stays.
    Rejected,
}

/// Keeps the newest good revision of each key.
#[derive(Debug, Default)]
pub struct Catalog {
    documents: Table<Key, Document>,
    items: IndexMap<Key, Item>,
    rejected: IndexMap<Key, (Revision, String)>,
    profiles: IndexMap<ProfileName, Profile>,
    fallback: Profile,
}

impl Catalog {
    /// Creates an empty catalog; services without a stored profile follow `fallback`.
    pub fn new(fallback: Profile) -> Self {
        Self { fallback, ..Self::default() }
    }

    /// Changes the profile of services without a stored one.
    pub fn set_fallback(&mut self, fallback: Profile) {
        self.fallback = fallback;
    }

    /// Takes in a document with the result of its check.
    ///
    /// A revision only rises: older documents change nothing.
    pub fn apply<E: std::error::Error>(
        &mut self,
        document: Document,
        checked: Result<Item, E>,
        source: Option<NodeId>,
    ) -> Taken {
        let (key, revision) = (document.key.clone(), document.revision);
        let item = match checked {
            Ok(item) => item,
            Err(error) => {
                self.rejected.insert(key, (revision, error.to_string()));
                return Taken::Rejected;
            }
        };
        if !self.documents.merge(key.clone(), document, source) {
            return Taken::Known;
        }
        self.rejected.swap_remove(&key);
        if let Item::Profile(profile) = &item {
            self.profiles.insert(profile.name.clone(), profile.clone());
        }
        let replaced = self.items.insert(key, item.clone());
        Taken::Applied(Box::new(item), replaced.map(Box::new))
    }

    /// Returns the documents, to pass them on.
    pub fn documents(&self) -> &Table<Key, Document> {
        &self.documents
    }

    /// Returns the profile that a service follows, or the fallback.
    pub fn profile(&self, service: &str) -> Profile {
        let name = match self.items.get(format!("services/{service}").as_str()) {
            Some(Item::Service(_, profile)) => profile.clone(),
            _ => ProfileName::from("default"),
        };
        self.profiles.get(&name).unwrap_or(&self.fallback).clone()
    }

    /// Returns the malformed documents: key, revision and fault.
    pub fn rejected(&self) -> impl Iterator<Item = (&Key, Revision, &str)> {
        self.rejected.iter().map(|(key, (revision, fault))| (key, *revision, fault.as_str()))
    }
}
