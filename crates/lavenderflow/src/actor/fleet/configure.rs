//! Applies configuration documents to the entry and the gate.

use lavenderflow_core::catalog::{ApplyResult, ConfigItem, Deployment, Document};
use lavenderflow_core::deployment_change::DeploymentChange;
use lavenderflow_core::organisation::Directory;
use lavenderflow_core::route::Router;
use lavenderflow_schema::convert::configuration;
use stakker::{CX, call};

use super::FleetActor;
use crate::prelude::*;

impl FleetActor {
    /// Applies documents that were read from the store, and restores those that are newer here.
    pub(super) fn merge_stored(&mut self, cx: CX![], documents: Vec<Document>, is_complete: bool) {
        let mut outdated = Vec::new();
        let mut seen = IndexSet::new();
        let mut has_changed = false;
        for document in documents {
            seen.insert(document.key.clone());
            let known = self.catalog.documents().get(&document.key);
            let newer = known.filter(|known| known.revision > document.revision);
            // A malformed value is not overwritten: it is an operator's mistake, which the operator
            // has to see, and not an old copy.
            match newer.filter(|_| configuration::validate(&document).is_ok()) {
                Some(known) => outdated.push(known.clone()),
                None => has_changed |= self.apply_document(document, None),
            }
        }
        if is_complete {
            let documents = self.catalog.documents().iter();
            // A deployment has its own key, which only its operator writes.
            let missing = documents
                .filter(|(key, document)| !seen.contains(*key) && !document.is_deployment());
            outdated.extend(missing.map(|(_, document)| document.clone()));
        }
        self.update_rejected();
        for document in outdated {
            log::warn!("event=store-outdated key={} revision={}", document.key, document.revision);
            self.watchers.iter().for_each(|watcher| watcher.restore(document.clone()));
        }
        if has_changed {
            self.notify_changed(cx, &[]);
        }
        if is_complete && !self.awaits_deployment {
            self.set_ready();
        }
    }

    /// Marks the node as ready, as the configuration is complete or no source for it replies.
    pub(super) fn set_ready(&mut self) {
        if let Some(ready) = self.ready.take() {
            let _ = ready.send(());
            if let Some(on_ready) = &self.on_ready {
                on_ready.fwd(());
            }
        }
    }

    pub(super) fn apply_document(&mut self, document: Document, source: Option<NodeId>) -> bool {
        let checked = configuration::validate(&document);
        let (key, revision) = (document.key.clone(), document.revision);
        match self.catalog.apply(document, checked, source) {
            ApplyResult::Applied(item, replaced) => {
                let origin = origin(source);
                let changed = changed_parts(&item, replaced.as_deref());
                log::info!(
                    "event=configuration key={key} revision={revision} origin={origin} \
                     changed={changed}"
                );
                let now = self.roster.now();
                self.applied.send_modify(|applied| applied.record(revision, now));
                if let ConfigItem::Deployment(deployment) = &*item {
                    log_unreadable(&key, revision, deployment);
                }
                self.apply_item(*item, replaced.map(|item| *item));
                self.update_rejected();
                true
            }
            ApplyResult::Unchanged => false,
            ApplyResult::Rejected => {
                let origin = origin(source);
                log::warn!(
                    "event=configuration-rejected key={key} revision={revision} origin={origin}"
                );
                let counters = &self.counters;
                call!([counters], add(Counter::Fault(Fault::Configuration)));
                self.update_rejected();
                false
            }
        }
    }

    /// Updates the metric of what is not in force as it cannot be read.
    fn update_rejected(&mut self) {
        let count = self.catalog.rejected().len();
        if self.rejected_count != count {
            self.rejected_count = count;
            let counters = &self.counters;
            call!([counters], set_rejected(count));
        }
    }

    /// Applies an item at the entry and the gate.
    pub(super) fn apply_item(&mut self, item: ConfigItem, replaced: Option<ConfigItem>) {
        let entry = &self.entry;
        match (item, replaced) {
            (ConfigItem::Route(route), Some(ConfigItem::Route(old))) => {
                call!([entry], set_route(route, Some(old)));
            }
            (ConfigItem::Route(route), _) => call!([entry], set_route(route, None)),
            (ConfigItem::Deployment(deployment), _) => self.apply_deployment(deployment),
            (ConfigItem::Organisation(organisation), _) => {
                call!([entry], set_organisation(organisation));
            }
            (ConfigItem::Profile(_) | ConfigItem::Service(..), _) => {
                let services: Vec<ServiceName> = self.profiles.keys().cloned().collect();
                self.set_profiles(&services);
            }
        }
    }

    /// Replaces all routes, request limits and organisations.
    fn apply_deployment(&mut self, deployment: Deployment) {
        let mut router = Router::default();
        for route in deployment.routes {
            router.insert(route);
        }
        self.limits.send_replace(deployment.limits);
        let entry = &self.entry;
        let directory = Directory::new(deployment.organisations);
        call!([entry], set_router(router));
        call!([entry], set_directory(directory));
        self.set_ready();
    }

    /// Sets the profile of services that have none in the store, and the fleet's retries beyond
    /// the share in the profile.
    pub fn apply_settings(&mut self, _: CX![], fallback: Profile, burst: u64) {
        self.catalog.set_fallback_profile(fallback);
        let services: Vec<ServiceName> = self.profiles.keys().cloned().collect();
        self.set_profiles(&services);
        if self.burst != burst {
            self.burst = burst;
            self.fleet_size = 0;
            self.update_retry_allowance();
        }
    }

    /// Passes changed profiles of services on to the entry and the gate.
    pub(super) fn set_profiles(&mut self, services: &[ServiceName]) {
        for service in services {
            let profile = self.catalog.profile(service);
            if self.profiles.get(service) == Some(&profile) {
                continue;
            }
            self.profiles.insert(service.clone(), profile.clone());
            let (entry, name, own) = (&self.entry, service.clone(), profile.clone());
            call!([entry], set_profile(name, own));
            if let Some(gate) = &self.gate {
                let name = service.clone();
                call!([gate], set_profile(name, profile));
            }
        }
    }

    /// Passes on the profiles of services that no node offered before.
    pub(super) fn set_new_profiles(&mut self, node: NodeId) {
        let Some(member) = self.roster.members().get(&node) else { return };
        let offers = member.offers.iter().map(|offer| offer.service.clone());
        let new: Vec<ServiceName> =
            offers.filter(|service| !self.profiles.contains_key(service)).collect();
        self.set_profiles(&new);
    }
}

/// Logs the organisations of a deployment whose entries could not be read, and what is in force
/// instead: the last good version, or no keys.
fn log_unreadable(key: &str, revision: Revision, deployment: &Deployment) {
    for entry in &deployment.unreadable {
        let (name, fault) = (&entry.name, &entry.fault);
        let mut organisations = deployment.organisations.iter();
        let is_known = organisations.any(|o| o.name == *name && !o.keys.is_empty());
        let kept = if is_known { "last-good" } else { "no-keys" };
        log::warn!(
            "event=entry-rejected key={key} revision={revision} organisation={name:?} kept={kept} \
             fault={fault}"
        );
    }
}

/// Names what an item changes.
fn changed_parts(item: &ConfigItem, replaced: Option<&ConfigItem>) -> String {
    let ConfigItem::Deployment(deployment) = item else { return "item".to_owned() };
    match replaced {
        Some(ConfigItem::Deployment(previous)) => {
            DeploymentChange::between(previous, deployment).to_string()
        }
        _ => "all".to_owned(),
    }
}

/// Names where a document came from: a peer, or the store.
fn origin(source: Option<NodeId>) -> String {
    source.map_or_else(|| "store".to_owned(), |node| format!("{node:x}"))
}
