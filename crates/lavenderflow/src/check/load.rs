//! Reads a configuration in the product's or the platform's format, with all errors.

use std::collections::BTreeMap;

use lavenderflow_core::catalog::{Deployment, Document};
use lavenderflow_platform::deployment::{
    self, EntryPlace, Note, line_at, names_service, offset_of, platform_field,
};
use lavenderflow_schema::configuration::{self as stored, Stored};
use lavenderflow_schema::convert::ConvertError;
use lavenderflow_schema::convert::configuration;
use lavenderflow_schema::convert::deployment::{EntryKind, check_deployment, entry_name};
use serde::Serialize;
use serde_json::value::RawValue;

use super::{Finding, Severity};
use crate::prelude::*;

/// Format of a configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// The platform's: one document with a version and resources.
    Platform,
    /// The product's: one stored value, or an object of stored values by key.
    Product,
}

/// A configuration as far as it can be read.
#[derive(Debug)]
pub(super) struct Loaded {
    pub format: Format,
    pub revision: u64,
    /// The entries as written.
    pub stored: stored::Deployment,
    /// The entries as a node uses them; routes are in the order of `stored`.
    pub deployment: Deployment,
    /// Services that the configuration names; empty if it names none.
    pub services: IndexSet<String>,
    pub findings: Vec<Finding>,
    lines: IndexMap<String, Vec<usize>>,
    // Lines of the fields, by entry and field.
    field_lines: IndexMap<(String, String), usize>,
}

impl Loaded {
    pub fn read(text: &[u8]) -> Self {
        let product = std::str::from_utf8(text).ok().and_then(|text| Some((text, values(text)?)));
        match product {
            Some((text, values)) => Self::read_product(text, &values),
            None => Self::read_platform(text),
        }
    }

    fn new(format: Format, revision: u64, stored: stored::Deployment) -> Self {
        Self {
            format,
            revision,
            deployment: check_deployment(&stored).0,
            stored,
            services: IndexSet::new(),
            findings: Vec::new(),
            lines: IndexMap::new(),
            field_lines: IndexMap::new(),
        }
    }

    /// Returns the line of an entry; of the last one if several have this name.
    pub fn line(&self, entry: &str) -> Option<usize> {
        self.lines.get(entry).and_then(|lines| lines.last().copied())
    }

    /// Returns the line of a field, or of its entry if it has no such field.
    fn field_line(&self, entry: &str, field: &str) -> Option<usize> {
        let line = self.field_lines.get(&(entry.to_owned(), field.to_owned()));
        line.copied().or_else(|| self.line(entry))
    }

    /// Returns the line of the nth entry with this name.
    pub fn nth_line(&self, entry: &str, index: usize) -> Option<usize> {
        self.lines.get(entry).and_then(|lines| lines.get(index).copied())
    }

    /// Returns how many entries have this name.
    pub fn count(&self, entry: &str) -> usize {
        self.lines.get(entry).map_or(0, Vec::len)
    }

    /// Creates a warning about an entry; `field` is the product's name, which is shown as in the
    /// text that was checked.
    pub fn warning(&self, entry: &str, field: &str, message: impl Into<String>) -> Finding {
        let field = match self.format {
            Format::Platform => platform_field(field),
            Format::Product => field,
        };
        Finding {
            severity: Severity::Warning,
            line: self.field_line(entry, field),
            entry: entry.to_owned(),
            field: field.to_owned(),
            message: message.into(),
        }
    }

    fn read_platform(text: &[u8]) -> Self {
        let reading = deployment::read(text);
        let mut loaded = Self::new(Format::Platform, reading.revision, reading.deployment);
        loaded.services = reading.services.into_iter().collect();
        let line_at = |offset| line_at(text, offset);
        for EntryPlace { kind, name, offset, fields } in reading.entries {
            let entry = entry_name(kind, &name);
            loaded.lines.entry(entry.clone()).or_default().push(line_at(offset));
            let fields = fields.into_iter();
            loaded
                .field_lines
                .extend(fields.map(|(field, at)| ((entry.clone(), field), line_at(at))));
        }
        for (offset, fault) in reading.faults {
            let is_document = fault.kind == EntryKind::Document;
            let entry = if is_document { fault.name.clone() } else { fault.entry() };
            loaded.push_error(Some(line_at(offset)), entry, &fault.fault);
        }
        // Entries that cannot be read have other errors as well.
        let mut all = loaded.stored.clone();
        all.organisations.extend(reading.partial);
        for fault in check_deployment(&all).1 {
            let entry = fault.entry();
            let field = platform_field(fault.fault.field().unwrap_or_default());
            let is_known = loaded.findings.iter().any(|known| {
                known.entry == entry && (known.field == field || depends(field, &known.field))
            });
            if !is_known {
                let line = loaded.field_line(&entry, field);
                loaded.push_error(line, entry, &fault.fault);
            }
        }
        loaded.findings.extend(reading.notes.into_iter().map(|note| {
            let Note { offset, entry, field, text } = note;
            let (severity, line) = (Severity::Warning, Some(line_at(offset)));
            Finding { severity, line, entry, field, message: text.to_owned() }
        }));
        loaded
    }

    fn read_product(text: &str, values: &[(String, &RawValue)]) -> Self {
        let mut stored = stored::Deployment::default();
        let (mut services, mut findings, mut lines) =
            (IndexSet::new(), Vec::new(), IndexMap::<String, Vec<usize>>::new());
        let mut revision = 0;
        for (key, raw) in values {
            let line = line_at(text.as_bytes(), offset_of(text, raw));
            let value = configuration::parse(raw.get().as_bytes()).unwrap_or_default();
            let key = if key.is_empty() { key_of(&value) } else { key.clone() };
            let document = Document {
                key: key.as_str().into(),
                revision: value.revision,
                text: raw.get().as_bytes().into(),
            };
            revision = revision.max(value.revision);
            lines.entry(key.clone()).or_default().push(line);
            findings.extend(configuration::check(&document).into_iter().map(|fault| Finding {
                severity: Severity::Error,
                line: Some(line),
                entry: key.clone(),
                field: fault.field().unwrap_or_default().to_owned(),
                message: fault.to_string(),
            }));
            stored.routes.extend(value.route);
            stored.organisations.extend(value.organisation);
            services.extend(value.service.map(|service| service.name));
            if let Some(deployment) = value.deployment {
                stored.routes.extend(deployment.routes);
                stored.organisations.extend(deployment.organisations);
                stored.unreadable.extend(deployment.unreadable);
                stored.limits = deployment.limits.or(stored.limits);
            }
        }
        let loaded = Self::new(Format::Product, revision, stored);
        Self { services, findings, lines, ..loaded }
    }

    fn push_error(&mut self, line: Option<usize>, entry: String, fault: &ConvertError) {
        let stored = fault.field().unwrap_or_default();
        let field = platform_field(stored).to_owned();
        let message = fault.to_string();
        let message = message.replacen(&format!("field {stored} "), &format!("field {field} "), 1);
        self.findings.push(Finding { severity: Severity::Error, line, entry, field, message });
    }
}

/// Returns whether an error in one field follows from that in another one, whose default was used.
fn depends(field: &str, other: &str) -> bool {
    names_service(other) && names_service(field)
}

/// Returns the stored values of a text in the product's format; `None` if it has another format.
fn values(text: &str) -> Option<Vec<(String, &RawValue)>> {
    let fields: BTreeMap<String, &RawValue> = serde_json::from_str(text).ok()?;
    if fields.contains_key("resources") || fields.contains_key("version") {
        return None;
    }
    if !fields.is_empty() && fields.keys().all(|key| key.contains('/')) {
        return Some(fields.into_iter().collect());
    }
    let kinds = ["revision", "profile", "service", "route", "organisation", "deployment"];
    let is_value = kinds.iter().any(|kind| fields.contains_key(*kind));
    is_value.then(|| Some(vec![(String::new(), serde_json::from_str(text).ok()?)]))?
}

/// Returns the key under which a value is stored.
fn key_of(value: &Stored) -> String {
    let Stored { profile, service, route, organisation, deployment, .. } = value;
    let profile = profile.as_ref().map(|profile| ("profiles", profile.name.as_str()));
    let service = service.as_ref().map(|service| ("services", service.name.as_str()));
    let route = route.as_ref().map(|route| ("routes", route.name.as_str()));
    let organisation = organisation.as_ref().map(|one| ("organisations", one.name.as_str()));
    let deployment = deployment.as_ref().map(|_| ("deployment", "checked"));
    let found = profile.or(service).or(route).or(organisation).or(deployment);
    found.map_or_else(String::new, |(kind, name)| format!("{kind}/{name}"))
}
