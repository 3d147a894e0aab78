//! Lists what a configuration changes for callers, compared with the active one.

use lavenderflow_core::organisation::Organisation;
use lavenderflow_core::route::{Idempotency, Route, Router};
use lavenderflow_schema::convert::deployment::{EntryKind, entry_name};

use super::load::{Format, Loaded};
use super::reach::{router, sample};
use super::{Change, Finding, Severity};
use crate::prelude::*;

/// Returns an error if nodes would ignore the configuration because of its version.
pub(super) fn check_version(loaded: &Loaded, active: &Loaded) -> Option<Finding> {
    let is_ignored = loaded.format == Format::Platform && loaded.revision <= active.revision;
    let message = format!(
        "version {:x} is not above the active version {:x}, so nodes ignore the configuration",
        loaded.revision, active.revision
    );
    is_ignored
        .then(|| Finding { severity: Severity::Error, ..loaded.warning("", "version", message) })
}

/// Lists all changes: routes, organisations, whether keys are needed, and limits.
pub(super) fn list(loaded: &Loaded, active: &Loaded) -> Vec<Change> {
    let mut changes = routes(loaded, active);
    changes.extend(organisations(loaded, active));
    changes.extend(keys(loaded, active));
    changes.extend(limits(loaded, active));
    changes
}

fn change(kind: &'static str, entry: impl Into<String>, effect: impl Into<String>) -> Change {
    Change { kind, entry: entry.into(), effect: effect.into() }
}

/// A route with its name.
type NamedRoute<'a> = (&'a str, &'a Route);

/// Returns the routes by host and prefix, which are what callers see of them.
fn by_path(loaded: &Loaded) -> IndexMap<(String, &str), NamedRoute<'_>> {
    let names = loaded.stored.routes.iter().map(|route| route.name.as_str());
    let routes = names.zip(&loaded.deployment.routes);
    let path = |route: &Route| route.host.clone().unwrap_or_default().to_ascii_lowercase();
    routes.map(|(name, route)| ((path(route), route.prefix.as_str()), (name, route))).collect()
}

fn routes(loaded: &Loaded, active: &Loaded) -> Vec<Change> {
    let (new, old) = (by_path(loaded), by_path(active));
    let (new_router, old_router) = (router(loaded), router(active));
    let mut changes = Vec::new();
    for (path, (name, route)) in &new {
        let entry = entry_name(EntryKind::Route, name);
        match old.get(path) {
            None => {
                let before = destination(&old_router, route, "were refused with 404");
                let effect = format!(
                    "requests to {} go to {}; before, they {before}",
                    place(route),
                    services(route)
                );
                changes.push(change("added", entry, effect));
            }
            Some((_, before)) => {
                let effects = route_effects(before, route);
                if !effects.is_empty() {
                    changes.push(change("changed", entry, effects.join("; ")));
                }
            }
        }
    }
    for (path, (name, route)) in &old {
        if !new.contains_key(path) {
            let after = destination(&new_router, route, "are refused with 404");
            let effect = format!("requests to {} {after}", place(route));
            changes.push(change("removed", entry_name(EntryKind::Route, name), effect));
        }
    }
    changes
}

/// Describes where a router sends the requests of a route that it does not have.
fn destination(router: &Router, route: &Route, refused: &str) -> String {
    let (host, path) = sample(route);
    match router.find(&host, &path) {
        Some(found) => format!("go to {} by the route for {}", services(found), place(found)),
        None => refused.to_owned(),
    }
}

fn place(route: &Route) -> String {
    format!("{}{}", route.host.as_deref().unwrap_or("any host, "), route.prefix)
}

fn services(route: &Route) -> String {
    if route.service_weights.is_empty() {
        return route.service.to_string();
    }
    let total: f64 = route.service_weights.iter().map(|part| f64::from(part.weight)).sum();
    let parts = route.service_weights.iter().map(|part| {
        let share = f64::from(part.weight) / total * 100.0;
        format!("{} ({share:.0}%)", part.service)
    });
    parts.collect::<Vec<_>>().join(" and ")
}

fn route_effects(before: &Route, after: &Route) -> Vec<String> {
    let mut effects = Vec::new();
    let (old, new) = (services(before), services(after));
    if old != new {
        effects.push(format!("requests go to {new} instead of {old}"));
    }
    if before.idempotency != after.idempotency {
        effects.push(match after.idempotency {
            Idempotency::Yes => "requests may be repeated after a failure".to_owned(),
            Idempotency::No => "requests run at most once, and are not repeated".to_owned(),
            Idempotency::ByMethod => "the method decides whether requests are repeated".to_owned(),
        });
    }
    effects.extend(number_effect("the timeout", seconds(before.timeout), seconds(after.timeout)));
    let (old, new) = (seconds(before.target_latency), seconds(after.target_latency));
    effects.extend(number_effect("the target latency", old, new));
    let attempts = |route: &Route| number(route.attempts.map(u64::from));
    effects.extend(number_effect("the number of attempts", attempts(before), attempts(after)));
    if before.rank != after.rank {
        let direction = if after.rank < before.rank { "before" } else { "behind" };
        effects.push(format!(
            "requests are served {direction} more others (priority {} instead of {})",
            after.rank, before.rank
        ));
    }
    match (before.public, after.public) {
        (true, false) => effects.push("requests need a key if there are organisations".to_owned()),
        (false, true) => effects.push("requests need no key".to_owned()),
        _ => {}
    }
    effects
}

fn seconds(time: Option<Duration>) -> String {
    time.map_or_else(|| "the default".to_owned(), |time| format!("{} s", time.as_secs_f64()))
}

fn number(value: Option<u64>) -> String {
    value.map_or_else(|| "the default".to_owned(), |value| value.to_string())
}

fn number_effect(what: &str, before: String, after: String) -> Option<String> {
    (before != after).then(|| format!("{what} is {after} instead of {before}"))
}

fn organisations(loaded: &Loaded, active: &Loaded) -> Vec<Change> {
    let mut changes = Vec::new();
    let find = |loaded: &'_ Loaded, name: &str| -> Option<Organisation> {
        let mut organisations = loaded.deployment.organisations.iter();
        organisations.find(|organisation| &*organisation.name == name).cloned()
    };
    for organisation in &loaded.deployment.organisations {
        let entry = entry_name(EntryKind::Organisation, &organisation.name);
        match find(active, &organisation.name) {
            None => {
                let effect = format!(
                    "requests with its keys are served (keys: {})",
                    organisation.keys.len()
                );
                changes.push(change("added", entry, effect));
            }
            Some(before) => {
                let effects = organisation_effects(&before, organisation);
                if !effects.is_empty() {
                    changes.push(change("changed", entry, effects.join("; ")));
                }
            }
        }
    }
    for unreadable in &loaded.deployment.unreadable {
        let entry = entry_name(EntryKind::Organisation, &unreadable.name);
        let effect = match find(active, &unreadable.name) {
            Some(_) => "cannot be read: its active version stays in force",
            None => "cannot be read: its requests are refused with 401",
        };
        changes.push(change("changed", entry, effect));
    }
    for organisation in &active.deployment.organisations {
        let name = &organisation.name;
        let is_unreadable = loaded.deployment.unreadable.iter().any(|other| other.name == *name);
        if find(loaded, name).is_none() && !is_unreadable {
            let entry = entry_name(EntryKind::Organisation, name);
            let effect = "requests with its keys are refused with 401 where a key is needed";
            changes.push(change("removed", entry, effect));
        }
    }
    changes
}

fn organisation_effects(before: &Organisation, after: &Organisation) -> Vec<String> {
    let mut effects = Vec::new();
    let count = |keys: &Organisation, others: &Organisation| {
        keys.keys.iter().filter(|key| !others.keys.contains(key)).count()
    };
    let (withdrawn, new) = (count(before, after), count(after, before));
    if withdrawn > 0 {
        effects.push(format!("keys withdrawn: {withdrawn}, requests with them get 401"));
    }
    if new > 0 {
        effects.push(format!("keys added: {new}"));
    }
    let limit = |one: &Organisation| {
        one.allowance.map_or_else(
            || "no limit".to_owned(),
            |allowance| format!("{} requests/s, burst {}", allowance.rate, allowance.burst),
        )
    };
    effects.extend(number_effect("its allowance", limit(before), limit(after)));
    let rank = |one: &Organisation| {
        one.rank.map_or_else(|| "that of the route".to_owned(), |rank| rank.to_string())
    };
    effects.extend(number_effect("its priority", rank(before), rank(after)));
    let concurrency = |one: &Organisation| number(one.concurrency.map(u64::from));
    effects.extend(number_effect("its concurrency", concurrency(before), concurrency(after)));
    effects
}

/// Returns the change of whether requests need keys at all.
fn keys(loaded: &Loaded, active: &Loaded) -> Option<Change> {
    let has_organisations = |loaded: &Loaded| {
        let Loaded { deployment, .. } = loaded;
        !deployment.organisations.is_empty() || !deployment.unreadable.is_empty()
    };
    let closed = loaded.deployment.routes.iter().filter(|route| !route.public).count();
    match (has_organisations(active), has_organisations(loaded)) {
        (false, true) => Some(change(
            "changed",
            "organisations",
            format!("requests without a key are refused with 401 on {closed} routes"),
        )),
        (true, false) => {
            Some(change("changed", "organisations", "requests need no key on any route"))
        }
        _ => None,
    }
}

fn limits(loaded: &Loaded, active: &Loaded) -> Option<Change> {
    let (before, after) = (active.deployment.limits, loaded.deployment.limits);
    let bytes = |limit: Option<u64>| number(limit);
    let header = |limit: Option<usize>| bytes(limit.and_then(|limit| u64::try_from(limit).ok()));
    let effects = [
        number_effect(
            "the limit of the header section in bytes",
            header(before.header_bytes),
            header(after.header_bytes),
        ),
        number_effect(
            "the limit of bodies in bytes",
            bytes(before.body_bytes),
            bytes(after.body_bytes),
        ),
    ];
    let effects: Vec<String> = effects.into_iter().flatten().collect();
    (!effects.is_empty()).then(|| change("changed", EntryKind::Limits.name(), effects.join("; ")))
}
