//! The life cycle of a node, as a typestate.
//!
//! ```text
//! Starting --> Serving --> Draining
//! ```

use std::time::Instant;

/// The node contacts other nodes and does not accept requests yet.
#[derive(Debug)]
pub struct Starting;

/// The node accepts new requests.
#[derive(Debug)]
pub struct Serving;

/// The node finishes the requests that it has accepted.
#[derive(Debug)]
pub struct Draining {
    since: Instant,
}

/// A node in one state of its life cycle.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
/// use lavenderflow_core::node::Node;
///
/// let node = Node::new().serve();
/// let now = Instant::now();
/// assert_eq!(node.drain(now).since(), now);
/// ```
#[derive(Debug)]
pub struct Node<S> {
    state: S,
}

impl Node<Starting> {
    /// Creates a node that is starting.
    #[allow(clippy::new_without_default)]
    pub fn new() -> Self {
        Self { state: Starting }
    }

    /// Starts to accept requests.
    pub fn serve(self) -> Node<Serving> {
        Node { state: Serving }
    }
}

impl Node<Serving> {
    /// Stops accepting new requests.
    pub fn drain(self, now: Instant) -> Node<Draining> {
        Node { state: Draining { since: now } }
    }
}

impl Node<Draining> {
    /// Returns when the node stopped accepting requests.
    pub fn since(&self) -> Instant {
        self.state.since
    }
}

/// A node in any state.
#[derive(Debug)]
pub enum AnyNode {
    /// See [`Starting`].
    Starting(Node<Starting>),
    /// See [`Serving`].
    Serving(Node<Serving>),
    /// See [`Draining`].
    Draining(Node<Draining>),
}

impl AnyNode {
    /// Returns the name of the state.
    pub fn state_name(&self) -> &'static str {
        match self {
            Self::Starting(_) => "starting",
            Self::Serving(_) => "serving",
            Self::Draining(_) => "draining",
        }
    }
}
