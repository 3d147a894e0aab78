//! Finds the service for a request.

use crate::prelude::*;

/// Whether requests on a route may be repeated.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Repeat {
    /// As the HTTP method says (RFC 9110, section 9.2.2).
    #[default]
    ByMethod,
    /// They may be repeated.
    Yes,
    /// They may not be repeated.
    No,
}

impl Repeat {
    /// Tells whether a request with this method may be repeated.
    ///
    /// # Examples
    ///
    /// ```
    /// use lavenderflow_core::route::Repeat;
    ///
    /// assert!(Repeat::ByMethod.allows("GET"));
    /// assert!(!Repeat::ByMethod.allows("POST"));
    /// assert!(Repeat::Yes.allows("POST"));
    /// ```
    pub fn allows(self, method: &str) -> bool {
        match self {
            Self::ByMethod => {
                matches!(method, "GET" | "HEAD" | "OPTIONS" | "TRACE" | "PUT" | "DELETE")
            }
            Self::Yes => true,
            Self::No => false,
        }
    }
}

/// Sends requests whose path starts with a prefix to a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The prefix; it ends at a slash of the path or at its end.
    pub prefix: String,
    /// The service.
    pub service: ServiceName,
    /// Whether requests may be repeated.
    pub repeat: Repeat,
    /// Whether all requests count as long work.
    pub long: bool,
}

/// All routes; the longest matching prefix wins.
#[derive(Clone, Debug, Default)]
pub struct Router {
    routes: IndexMap<String, Route>,
}

impl Router {
    /// Adds or replaces the route of a prefix.
    pub fn insert(&mut self, route: Route) {
        self.routes.insert(normalize(&route.prefix).to_owned(), route);
    }

    /// Removes the route of a prefix.
    pub fn remove(&mut self, prefix: &str) {
        self.routes.swap_remove(normalize(prefix));
    }

    /// Finds the route for a path, which may have a query.
    ///
    /// The cost grows with the number of slashes in the path, not with the number of routes.
    ///
    /// # Examples
    ///
    /// ```
    /// use lavenderflow_core::route::{Repeat, Route, Router};
    ///
    /// let mut router = Router::default();
    /// let service = "bookings".into();
    /// router.insert(Route { prefix: "/book".into(), service, repeat: Repeat::No, long: false });
    /// assert!(router.find("/book/7?day=sat").is_some());
    /// assert!(router.find("/bookings").is_none());
    /// ```
    pub fn find(&self, target: &str) -> Option<&Route> {
        let path = target.split('?').next().unwrap_or_default();
        let mut prefix = normalize(path);
        loop {
            if let Some(route) = self.routes.get(prefix) {
                return Some(route);
            }
            let (shorter, _) = prefix.rsplit_once('/')?;
            prefix = shorter;
        }
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Tells whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}

fn normalize(prefix: &str) -> &str {
    prefix.trim_end_matches('/')
}
