//! The life cycle of a configuration change as types.
//!
//! ```text
//! Proposed --compare-and-swap took effect--> Accepted
//! ```
//!
//! The store's answer to a compare-and-swap can be lost after it took effect. Each change carries
//! an id that the stored value keeps, so reading back settles what happened.

use std::marker::PhantomData;

use crate::id::Revision;

/// Identifies a change.
pub type ChangeId = String;

/// Changes whose ids a stored value keeps.
pub const KEPT_CHANGES: usize = 16;

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

/// What the store holds of a key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Current {
    /// The revision of the value; 0 when there is none.
    pub revision: Revision,
    /// Ids of its latest changes, newest first.
    pub changes: Vec<ChangeId>,
    /// Who made the latest change.
    pub author: String,
}

/// What a read after a compare-and-swap shows.
#[derive(Debug)]
pub enum Settled {
    /// The change took effect.
    Accepted(Change<Accepted>),
    /// Another change was made instead.
    Conflict(Current),
    /// Nothing happened yet: the same compare-and-swap may be sent again.
    Pending(Change<Proposed>),
}

impl Change<Proposed> {
    /// Proposes a change.
    ///
    /// `stored` is the revision in the store and `in_force` the one that nodes hold. The second is
    /// higher when the store was put back to an older copy; the change goes above both.
    pub fn propose(id: impl Into<ChangeId>, stored: Revision, in_force: Revision) -> Self {
        Self { id: id.into(), revision: stored.max(in_force) + 1, state: PhantomData }
    }

    /// Notes the store's answer that the change took effect.
    pub fn accept(self) -> Change<Accepted> {
        Change { id: self.id, revision: self.revision, state: PhantomData }
    }

    /// Settles a lost answer: `base` is what the change replaces and `current` what was read back.
    pub fn settle(self, base: &Current, current: Current) -> Settled {
        if current.changes.contains(&self.id) {
            Settled::Accepted(self.accept())
        } else if current == *base {
            Settled::Pending(self)
        } else {
            Settled::Conflict(current)
        }
    }

    /// Returns the ids to store with the value.
    pub fn history(&self, base: &Current) -> Vec<ChangeId> {
        let ids = std::iter::once(&self.id).chain(&base.changes);
        ids.take(KEPT_CHANGES).cloned().collect()
    }
}

impl<S> Change<S> {
    /// Returns the id.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the revision that the change has or will have.
    pub fn revision(&self) -> Revision {
        self.revision
    }
}
