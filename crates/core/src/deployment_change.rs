//! What a new version of the configuration changes, and when it took effect, for logs.

use std::fmt;

use crate::catalog::Deployment;
use crate::prelude::*;
use crate::route::Route;

/// The differences between two versions of a deployment.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DeploymentChange {
    /// Routes that the earlier version does not have.
    pub added: usize,
    /// Routes that the later version does not have.
    pub removed: usize,
    /// Routes whose service, or the weights of whose services, differ.
    pub moved: usize,
    /// Routes whose timeout differs.
    pub timeouts: usize,
    /// Whether the limits of requests differ.
    pub limits: bool,
    /// Whether the organisations differ.
    pub organisations: bool,
}

impl DeploymentChange {
    /// Compares two versions.
    ///
    /// # Examples
    ///
    /// ```
    /// use lavenderflow_core::catalog::Deployment;
    /// use lavenderflow_core::deployment_change::DeploymentChange;
    /// use lavenderflow_core::route::Route;
    ///
    /// let route = Route { prefix: "/book".into(), service: "bookings".into(), ..Route::default() };
    /// let later = Deployment { routes: vec![route], ..Deployment::default() };
    /// let change = DeploymentChange::between(&Deployment::default(), &later);
    /// assert_eq!(change.to_string(), "added:1");
    /// ```
    pub fn between(earlier: &Deployment, later: &Deployment) -> Self {
        let old = by_prefix(earlier);
        let new = by_prefix(later);
        let mut change = Self {
            removed: old.keys().filter(|key| !new.contains_key(*key)).count(),
            limits: earlier.limits != later.limits,
            organisations: earlier.organisations != later.organisations,
            ..Self::default()
        };
        for (key, route) in &new {
            let Some(before) = old.get(key) else {
                change.added += 1;
                continue;
            };
            let is_moved =
                before.service != route.service || before.service_weights != route.service_weights;
            change.moved += usize::from(is_moved);
            change.timeouts += usize::from(before.timeout != route.timeout);
        }
        change
    }
}

/// Returns the routes by host and prefix.
fn by_prefix(deployment: &Deployment) -> IndexMap<(Option<&str>, &str), &Route> {
    let routes = deployment.routes.iter();
    routes.map(|route| ((route.host.as_deref(), route.prefix.as_str()), route)).collect()
}

impl fmt::Display for DeploymentChange {
    /// Writes the parts that differ in one word, or `none`.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = [
            ("added", self.added),
            ("removed", self.removed),
            ("moved", self.moved),
            ("timeouts", self.timeouts),
        ];
        let counts = counts.into_iter().filter(|(_, count)| *count > 0);
        let mut parts: Vec<String> =
            counts.map(|(name, count)| format!("{name}:{count}")).collect();
        let flags = [("limits", self.limits), ("organisations", self.organisations)];
        parts.extend(flags.into_iter().filter(|(_, is_set)| *is_set).map(|(n, _)| n.to_owned()));
        let text = if parts.is_empty() { "none".to_owned() } else { parts.join(",") };
        formatter.write_str(&text)
    }
}

/// The latest configuration that took effect on a node.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AppliedRevision {
    /// Its revision; 0 before the first one.
    pub revision: Revision,
    /// How many took effect since the node started.
    pub count: u64,
    /// When it took effect.
    pub time: Option<Instant>,
}

impl AppliedRevision {
    /// Records that a revision takes effect.
    pub fn record(&mut self, revision: Revision, now: Instant) {
        *self = Self { revision, count: self.count + 1, time: Some(now) };
    }
}
