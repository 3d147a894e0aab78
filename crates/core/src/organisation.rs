//! The organisations that callers belong to, and how a key identifies one.

use crate::prelude::*;

/// Requests that an organisation may make over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Requests per second, on average; above 0.
    pub rate: f64,
    /// Requests that can be saved up; at least 1.
    pub burst: f64,
}

/// An organisation as configured.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Organisation {
    /// Name.
    pub name: OrganisationName,
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// Priority, which goes before that of the route; 0 is the highest.
    pub rank: Option<u32>,
    /// Requests that it may make; `None` sets no limit.
    pub allowance: Option<Allowance>,
    /// Most requests in flight at one entry; `None` sets no limit.
    pub concurrency: Option<u32>,
}

/// Why a request belongs to no organisation although it must.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the request has no key, or one of no organisation")]
pub struct UnknownKeyError;

/// All organisations, by name and by key.
///
/// # Examples
///
/// ```
/// use lavenderflow_core::organisation::{Directory, Organisation};
///
/// let one = Organisation { name: "one".into(), keys: vec![[1; 32]], ..Organisation::default() };
/// let directory = Directory::new([one]);
/// assert_eq!(directory.identify(Some([1; 32]), false).map(|o| o.map(|o| &*o.name)), Ok(Some("one")));
/// assert!(directory.identify(Some([2; 32]), false).is_err());
/// // Public routes need no key.
/// assert_eq!(directory.identify(None, true), Ok(None));
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Directory {
    organisations: IndexMap<OrganisationName, Organisation>,
    names: IndexMap<KeyDigest, OrganisationName>,
    needs_keys: bool,
}

impl Directory {
    /// Creates the directory of a deployment, in which requests need keys as soon as there is an
    /// organisation. A key that several organisations have belongs to the first one.
    pub fn new(organisations: impl IntoIterator<Item = Organisation>) -> Self {
        let mut directory = Self::default();
        organisations.into_iter().for_each(|organisation| directory.insert(organisation));
        directory.needs_keys = !directory.organisations.is_empty();
        directory
    }

    /// Adds or replaces an organisation. From the first key on, requests need keys, also after all
    /// keys have been withdrawn.
    pub fn insert(&mut self, organisation: Organisation) {
        let name = &organisation.name;
        self.names.retain(|_, holder| holder != name);
        self.needs_keys |= !organisation.keys.is_empty();
        for key in &organisation.keys {
            self.names.entry(*key).or_insert_with(|| name.clone());
        }
        self.organisations.insert(name.clone(), organisation);
    }

    /// Returns whether requests on routes that are not public need a key.
    pub fn needs_keys(&self) -> bool {
        self.needs_keys
    }

    /// Returns the organisation with this name.
    pub fn get(&self, name: &str) -> Option<&Organisation> {
        self.organisations.get(name)
    }

    /// Returns all organisations.
    pub fn iter(&self) -> impl Iterator<Item = &Organisation> {
        self.organisations.values()
    }

    /// Returns the organisation that a request belongs to; `None` on a public route without a known
    /// key.
    ///
    /// # Errors
    ///
    /// The route is not public, and the key is missing or unknown.
    pub fn identify(
        &self,
        key: Option<KeyDigest>,
        is_public: bool,
    ) -> Result<Option<&Organisation>, UnknownKeyError> {
        let name = key.and_then(|key| self.names.get(&key));
        match name.and_then(|name| self.organisations.get(name)) {
            None if !is_public => Err(UnknownKeyError),
            known => Ok(known),
        }
    }
}
