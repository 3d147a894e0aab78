//! Finds the service for a request.

use crate::prelude::*;

/// Whether requests on a route may be repeated.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Idempotency {
    /// As the HTTP method says (RFC 9110, section 9.2.2).
    #[default]
    ByMethod,
    /// They may be repeated.
    Yes,
    /// They may not be repeated.
    No,
}

impl Idempotency {
    /// Tells whether a request with this method may be repeated.
    ///
    /// # Examples
    ///
    /// ```
    /// use lavenderflow_core::route::Idempotency;
    ///
    /// assert!(Idempotency::ByMethod.is_idempotent("GET"));
    /// assert!(!Idempotency::ByMethod.is_idempotent("POST"));
    /// assert!(Idempotency::Yes.is_idempotent("POST"));
    /// ```
    pub fn is_idempotent(self, method: &str) -> bool {
        match self {
            Self::ByMethod => {
                matches!(method, "GET" | "HEAD" | "OPTIONS" | "TRACE" | "PUT" | "DELETE")
            }
            Self::Yes => true,
            Self::No => false,
        }
    }
}

/// A service's share of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its share is this number over the sum of all parts.
    pub weight: u32,
}

/// Sends requests whose path starts with a prefix to a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Route {
    /// The prefix; it ends at a slash of the path or at its end. One that ends with a slash needs
    /// that slash in the path.
    pub prefix: String,
    /// The service.
    pub service: ServiceName,
    /// Whether requests may be repeated.
    pub idempotency: Idempotency,
    /// Whether all requests count as long work.
    pub long: bool,
    /// The host that requests must name; any host when there is none.
    pub host: Option<String>,
    /// Services that share the requests by weight, instead of `service`.
    pub weighted_services: Vec<WeightedService>,
    /// Longest time that a caller is kept waiting; the profile's when there is none.
    pub timeout: Option<Duration>,
    /// Most upstreams that one request may be sent to; the profile's when there is none.
    pub attempts: Option<u32>,
    /// Urgency; 0 is the most urgent.
    pub rank: u32,
    /// Time within which an answer is worth most.
    pub target_latency: Option<Duration>,
}

impl Route {
    /// Chooses the service for one request; `sample` is evenly spread over 0 to 1.
    ///
    /// # Examples
    ///
    /// ```
    /// use lavenderflow_core::route::{Route, WeightedService};
    ///
    /// let weighted = |name: &str, weight| WeightedService { service: name.into(), weight };
    /// let weighted_services = vec![weighted("a", 90), weighted("b", 10)];
    /// let route = Route { weighted_services, ..Route::default() };
    /// assert_eq!(&*route.pick_service(0.5), "a");
    /// assert_eq!(&*route.pick_service(0.95), "b");
    /// ```
    pub fn pick_service(&self, sample: f64) -> ServiceName {
        let total: u32 = self.weighted_services.iter().map(|weighted| weighted.weight).sum();
        let mut left = sample * f64::from(total);
        for weighted in &self.weighted_services {
            left -= f64::from(weighted.weight);
            if left < 0.0 {
                return weighted.service.clone();
            }
        }
        self.weighted_services
            .last()
            .map_or_else(|| self.service.clone(), |weighted| weighted.service.clone())
    }

    /// Tells whether a path, which starts with the prefix, is at or below it.
    fn covers(&self, path: &str) -> bool {
        !self.prefix.ends_with('/') || path.starts_with(&self.prefix)
    }
}

type RoutesByPath = IndexMap<String, Vec<Route>>;

/// All routes; the longest matching prefix wins, among the routes of the request's host before
/// those of any host.
#[derive(Clone, Debug, Default)]
pub struct Router {
    any_host: RoutesByPath,
    hosts: IndexMap<String, RoutesByPath>,
}

impl Router {
    /// Adds or replaces the route of a host and prefix.
    pub fn insert(&mut self, route: Route) {
        let paths = match &route.host {
            Some(host) => self.hosts.entry(host.to_ascii_lowercase()).or_default(),
            None => &mut self.any_host,
        };
        // A prefix with and one without its last slash are two routes.
        let routes = paths.entry(normalize(&route.prefix).to_owned()).or_default();
        routes.retain(|other| other.prefix != route.prefix);
        routes.push(route);
        routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
    }

    /// Removes a route that was inserted.
    pub fn remove(&mut self, route: &Route) {
        let paths = match &route.host {
            Some(host) => self.hosts.get_mut(&host.to_ascii_lowercase()),
            None => Some(&mut self.any_host),
        };
        let Some(paths) = paths else { return };
        let path = normalize(&route.prefix);
        if let Some(routes) = paths.get_mut(path) {
            routes.retain(|other| other.prefix != route.prefix);
            if routes.is_empty() {
                paths.swap_remove(path);
            }
        }
    }

    /// Finds the route for a host, with or without a port, and a path, which may have a query.
    ///
    /// The cost grows with the number of slashes in the path, not with the number of routes.
    ///
    /// # Examples
    ///
    /// ```
    /// use lavenderflow_core::route::{Route, Router};
    ///
    /// let mut router = Router::default();
    /// let route = Route { prefix: "/book".into(), service: "bookings".into(), ..Route::default() };
    /// router.insert(route);
    /// assert!(router.find("a.example", "/book/7?day=sat").is_some());
    /// assert!(router.find("a.example", "/bookings").is_none());
    /// ```
    pub fn find(&self, host: &str, target: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let path = target.split('?').next().unwrap_or_default();
        let own = self.hosts.get(&name).and_then(|paths| find_path(paths, path));
        own.or_else(|| find_path(&self.any_host, path))
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        let paths = self.hosts.values().chain([&self.any_host]);
        paths.flat_map(|paths| paths.values()).map(Vec::len).sum()
    }

    /// Tells whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

fn find_path<'a>(paths: &'a RoutesByPath, path: &str) -> Option<&'a Route> {
    let mut prefix = normalize(path);
    loop {
        let routes = paths.get(prefix).into_iter().flatten();
        if let Some(route) =
            routes.filter(|route| route.covers(path)).max_by_key(|r| r.prefix.len())
        {
            return Some(route);
        }
        let (shorter, _) = prefix.rsplit_once('/')?;
        prefix = shorter;
    }
}

fn normalize(prefix: &str) -> &str {
    prefix.trim_end_matches('/')
}
