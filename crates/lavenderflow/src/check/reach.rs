//! Finds entries that no request can reach, with the router and the directory that nodes use.

use lavenderflow_core::organisation::Directory;
use lavenderflow_core::route::{Route, Router};
use lavenderflow_schema::convert::deployment::{EntryKind, entry_name};

use super::Finding;
use super::load::Loaded;
use crate::prelude::*;

/// A path segment that no route has.
const OTHER_SEGMENT: &str = "\u{1}other";
/// Host of requests on routes without one.
const OTHER_HOST: &str = "\u{1}other";

pub(super) fn find(loaded: &Loaded) -> Vec<Finding> {
    let mut findings = routes(loaded);
    findings.extend(services(loaded));
    findings.extend(organisations(loaded));
    findings
}

/// Returns the router of a configuration.
pub(super) fn router(loaded: &Loaded) -> Router {
    let mut router = Router::default();
    loaded.deployment.routes.iter().for_each(|route| router.insert(route.clone()));
    router
}

/// Returns a request that only routes with the prefix of this one, or a shorter prefix, match.
pub(super) fn sample(route: &Route) -> (String, String) {
    let host = route.host.clone().unwrap_or_else(|| OTHER_HOST.to_owned());
    (host, format!("{}/{OTHER_SEGMENT}", route.prefix.trim_end_matches('/')))
}

/// Returns requests of which a route that matches any request matches at least one: below its
/// prefix, where only shorter prefixes match too, and at it.
fn samples(route: &Route) -> [(String, String); 2] {
    let (host, below) = sample(route);
    [(host.clone(), below), (host, route.prefix.clone())]
}

fn routes(loaded: &Loaded) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut seen: IndexMap<String, usize> = IndexMap::new();
    let (routes, router) = (&loaded.deployment.routes, router(loaded));
    let is_same = |a: &Route, b: &Route| {
        let host = |route: &Route| route.host.as_ref().map(|host| host.to_ascii_lowercase());
        a.prefix == b.prefix && host(a) == host(b)
    };
    for (index, (route, stored)) in routes.iter().zip(&loaded.stored.routes).enumerate() {
        let entry = entry_name(EntryKind::Route, &stored.name);
        let nth = seen.entry(entry.clone()).or_default();
        let nth_line = loaded.nth_line(&entry, *nth).filter(|_| loaded.count(&entry) > 1);
        *nth += 1;
        let warning = |field, message: String| {
            let found = loaded.warning(&entry, field, message);
            Finding { line: nth_line.or(found.line), ..found }
        };
        let later = routes[index + 1..].iter().position(|later| is_same(later, route));
        if let Some(offset) = later {
            let name = &loaded.stored.routes[index + 1 + offset].name;
            let message = format!("never matches: the later route {name} has its host and prefix");
            findings.push(warning("prefix", message));
            continue;
        }
        let found: Vec<&Route> =
            samples(route).iter().filter_map(|(host, path)| router.find(host, path)).collect();
        if !found.iter().any(|found| is_same(found, route)) {
            let message = match found.first() {
                Some(other) => {
                    format!("never matches: requests go by the route for {}", other.prefix)
                }
                None => "never matches: no request has such a host and path".to_owned(),
            };
            findings.push(warning("prefix", message));
        }
        for weighted in route.service_weights.iter().filter(|weighted| weighted.weight == 0) {
            let message = format!("service {} has weight 0 and gets no requests", weighted.service);
            findings.push(warning("parts.weight", message));
        }
        if !stored.service.is_empty() && !route.service_weights.is_empty() {
            let message = "not used: the weighted services replace it";
            findings.push(warning("service", message.to_owned()));
        }
    }
    findings
}

/// Finds services of routes that the configuration does not list, if it lists any.
fn services(loaded: &Loaded) -> Vec<Finding> {
    if loaded.services.is_empty() || loaded.format != super::Format::Platform {
        return Vec::new();
    }
    let mut findings = Vec::new();
    for (route, stored) in loaded.deployment.routes.iter().zip(&loaded.stored.routes) {
        let weighted = route.service_weights.iter().map(|weighted| &weighted.service);
        let is_weighted = !route.service_weights.is_empty();
        let own = Some(&route.service).filter(|_| !is_weighted);
        let field = if is_weighted { "parts.service" } else { "service" };
        for service in weighted.chain(own).filter(|service| !service.is_empty()) {
            if !loaded.services.contains(&**service) {
                let entry = entry_name(EntryKind::Route, &stored.name);
                let message = format!(
                    "service {service} is not among the services, so nobody may run it: its \
                     requests would be refused with 503"
                );
                findings.push(loaded.warning(&entry, field, message));
            }
        }
    }
    findings
}

fn organisations(loaded: &Loaded) -> Vec<Finding> {
    let mut findings = Vec::new();
    let directory = Directory::new(loaded.deployment.organisations.iter().cloned());
    for (index, organisation) in loaded.deployment.organisations.iter().enumerate() {
        let name = &organisation.name;
        let entry = entry_name(EntryKind::Organisation, name);
        let before = &loaded.deployment.organisations[..index];
        if before.iter().any(|other| other.name == *name) {
            findings.push(loaded.warning(&entry, "name", "replaces an earlier one of this name"));
        }
        if organisation.keys.is_empty() {
            let message = "has no keys, so no request belongs to it";
            findings.push(loaded.warning(&entry, "key_digests", message));
        }
        for key in &organisation.keys {
            let holder = directory.identify(Some(*key), true).ok().flatten();
            if let Some(holder) = holder.filter(|holder| holder.name != *name) {
                let message =
                    format!("has a key that belongs to {}, which comes first", holder.name);
                findings.push(loaded.warning(&entry, "key_digests", message));
            }
        }
    }
    let routes = &loaded.deployment.routes;
    let is_open = !routes.is_empty() && routes.iter().all(|route| route.public);
    if !loaded.deployment.organisations.is_empty() && is_open {
        let message = "all routes are public, so no request needs a key";
        findings.push(loaded.warning("", "public", message));
    }
    findings
}
