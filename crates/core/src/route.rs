//! Routes requests to services.

use crate::prelude::*;

/// Whether the requests on a route are idempotent, so that they may be retried.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Idempotency {
    /// Depends on the HTTP method (RFC 9110, section 9.2.2).
    #[default]
    ByMethod,
    /// All requests are idempotent.
    Yes,
    /// No request is idempotent.
    No,
}

impl Idempotency {
    /// Returns whether a request with this method is idempotent.
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
pub struct ServiceWeight {
    /// The service.
    pub service: ServiceName,
    /// Weight; the share is the weight divided by the sum of all weights.
    pub weight: u32,
}

/// A rule that sends requests whose path starts with a prefix to a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Route {
    /// Path prefix; it matches whole path segments. A prefix that ends with a slash matches only
    /// paths with that slash.
    pub prefix: String,
    /// The service.
    pub service: ServiceName,
    /// Whether requests are idempotent.
    pub idempotency: Idempotency,
    /// Whether all requests count as long.
    pub long: bool,
    /// Host that requests must name; any host if `None`.
    pub host: Option<String>,
    /// Services that share the requests by weight; they replace `service`.
    pub service_weights: Vec<ServiceWeight>,
    /// Longest time until a caller gets a response; that of the profile if `None`.
    pub timeout: Option<Duration>,
    /// Most upstreams that one request may be sent to; the profile's limit of attempts if `None`.
    pub attempts: Option<u32>,
    /// Priority; 0 is the highest.
    pub rank: u32,
    /// Latency within which a response has its full value.
    pub target_latency: Option<Duration>,
    /// Whether requests need no key, even if there are organisations with keys.
    pub public: bool,
    /// Whether responses are large, so that their way to another zone counts.
    pub large_responses: bool,
}

impl Route {
    /// Selects the service for one request; `sample` is uniformly distributed over 0 to 1.
    ///
    /// # Examples
    ///
    /// ```
    /// use lavenderflow_core::route::{Route, ServiceWeight};
    ///
    /// let weighted = |name: &str, weight| ServiceWeight { service: name.into(), weight };
    /// let service_weights = vec![weighted("a", 90), weighted("b", 10)];
    /// let route = Route { service_weights, ..Route::default() };
    /// assert_eq!(&*route.pick_service(0.5), "a");
    /// assert_eq!(&*route.pick_service(0.95), "b");
    /// ```
    pub fn pick_service(&self, sample: f64) -> ServiceName {
        let weights = self.service_weights.iter().map(|weighted| f64::from(weighted.weight));
        let mut left = sample * weights.sum::<f64>();
        for weighted in &self.service_weights {
            left -= f64::from(weighted.weight);
            if left < 0.0 {
                return weighted.service.clone();
            }
        }
        self.service_weights
            .last()
            .map_or_else(|| self.service.clone(), |weighted| weighted.service.clone())
    }

    /// Returns whether a path that starts with the prefix is at or below it.
    fn covers(&self, path: &str) -> bool {
        !self.prefix.ends_with('/') || path.starts_with(&self.prefix)
    }
}

type RoutesByPath = IndexMap<String, Vec<Route>>;

/// All routes. Routes for the request's host take precedence over those for any host; among them
/// the longest matching prefix wins.
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
        // A prefix with a trailing slash and the same prefix without it are two routes.
        let routes = paths.entry(normalize(&route.prefix).to_owned()).or_default();
        routes.retain(|other| other.prefix != route.prefix);
        routes.push(route);
        routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
    }

    /// Removes the route of a host and prefix.
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

    /// Returns the route for a host and a path. The host may have a port, the path a query.
    ///
    /// The run time grows with the number of slashes in the path, not with the number of routes.
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

    /// Returns whether there is no route.
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
