//! The life cycle of a configuration change, as a typestate.
//!
//! ```text
//! Proposed --compare-and-swap took effect--> Accepted
//! ```
//!
//! The store's response to a compare-and-swap can be lost after the change took effect. Each change
//! has an id that is stored with the value, so a later read shows what happened.

use std::marker::PhantomData;

use crate::id::Revision;

/// Identifies a change.
pub type ChangeId = String;

/// Most change ids stored with a value.
pub const MAX_CHANGE_IDS: usize = 16;

/// The change is not known to have taken effect.
#[derive(Debug)]
pub enum Proposed {}

/// The change took effect.
#[derive(Debug)]
pub enum Accepted {}

/// A change of one configuration key.
#[derive(Debug)]
pub struct Change<S> {
    id: ChangeId,
    revision: Revision,
    state: PhantomData<S>,
}

/// The stored state of a key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredState {
    /// The revision of the value; 0 when there is none.
    pub revision: Revision,
    /// Ids of the latest changes of the value, newest first.
    pub changes: Vec<ChangeId>,
    /// The author of the latest change.
    pub author: String,
}

/// What a read after a compare-and-swap without a response shows.
#[derive(Debug)]
pub enum Resolution {
    /// The change took effect.
    Accepted(Change<Accepted>),
    /// Another change was made instead.
    Conflict(StoredState),
    /// The value is unchanged: the same compare-and-swap may be sent again.
    Pending(Change<Proposed>),
}

impl Change<Proposed> {
    /// Proposes a change.
    ///
    /// `stored` is the revision in the store and `active` the one that the nodes use. `active` is
    /// higher after the store was restored from an older backup; the revision of the change is
    /// above both.
    pub fn propose(id: impl Into<ChangeId>, stored: Revision, active: Revision) -> Self {
        Self { id: id.into(), revision: stored.max(active) + 1, state: PhantomData }
    }

    /// Records the store's response that the change took effect.
    pub fn accept(self) -> Change<Accepted> {
        Change { id: self.id, revision: self.revision, state: PhantomData }
    }

    /// Resolves a lost response: `base` is the state that the change replaces and `current` the one
    /// that was read afterwards.
    pub fn resolve(self, base: &StoredState, current: StoredState) -> Resolution {
        if current.changes.contains(&self.id) {
            Resolution::Accepted(self.accept())
        } else if current == *base {
            Resolution::Pending(self)
        } else {
            Resolution::Conflict(current)
        }
    }

    /// Returns the change ids to store with the value.
    pub fn history(&self, base: &StoredState) -> Vec<ChangeId> {
        let ids = std::iter::once(&self.id).chain(&base.changes);
        ids.take(MAX_CHANGE_IDS).cloned().collect()
    }
}

impl<S> Change<S> {
    /// Returns the id of the change.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the revision that the value has once the change took effect.
    pub fn revision(&self) -> Revision {
        self.revision
    }
}
