//! Checks the entries of a deployment: routes, organisations and limits.
//!
//! All faults of an entry are found, and those of one entry do not hide those of another.

use std::time::Duration;

use lavenderflow_core::catalog::{Deployment, RequestLimits, UnreadableOrganisation};
use lavenderflow_core::organisation::{Allowance, Organisation};
use lavenderflow_core::route::{Idempotency, Route, ServiceWeight};

use super::ConvertError;
use super::configuration::validate_name;
use crate::configuration as stored;
use crate::credential;

/// Kind of an entry of a deployment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntryKind {
    /// A route.
    Route,
    /// An organisation.
    Organisation,
    /// The limits of requests.
    Limits,
    /// The document itself, or an entry whose kind cannot be told.
    Document,
}

impl EntryKind {
    /// Returns whether a deployment is used without an entry of this kind that cannot be read.
    ///
    /// Requests of a route that is left out would be refused or follow a route with a shorter
    /// prefix; without limits, requests would be accepted that the operator has excluded. An
    /// organisation keeps its last good version, or has no keys.
    pub fn is_separable(self) -> bool {
        self == Self::Organisation
    }

    /// Returns the name of entries of this kind in messages.
    pub fn name(self) -> &'static str {
        match self {
            Self::Route => "routes",
            Self::Organisation => "organisations",
            Self::Limits => "limits",
            Self::Document => "document",
        }
    }
}

/// An error in an entry of a deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryFault {
    /// Kind of the entry.
    pub kind: EntryKind,
    /// Name of the entry; empty if it has none.
    pub name: String,
    /// The error.
    pub fault: ConvertError,
}

impl EntryFault {
    /// Returns the kind and name of the entry, such as `routes/r-1`.
    pub fn entry(&self) -> String {
        entry_name(self.kind, &self.name)
    }

    /// Returns the error with the kind and name of the entry.
    pub fn into_error(self) -> ConvertError {
        if self.kind == EntryKind::Document && self.name.is_empty() {
            return self.fault;
        }
        let entry = self.entry();
        self.fault.in_entry(entry)
    }
}

/// Returns the kind and name of an entry, such as `routes/r-1`, or the kind of one without a name.
pub fn entry_name(kind: EntryKind, name: &str) -> String {
    if name.is_empty() { kind.name().to_owned() } else { format!("{}/{name}", kind.name()) }
}

/// Checks all entries of a deployment; returns what can be used and all errors.
///
/// # Examples
///
/// ```
/// use lavenderflow_schema::configuration::{Deployment, Organisation, Route};
/// use lavenderflow_schema::convert::deployment::check_deployment;
///
/// let organisation = Organisation { name: "one".into(), rate_per_s: -1.0, ..Default::default() };
/// let route = Route { prefix: "a".into(), ..Default::default() };
/// let value = Deployment {
///     routes: vec![route],
///     organisations: vec![organisation],
///     ..Default::default()
/// };
/// let (_, faults) = check_deployment(&value);
/// let fields: Vec<_> = faults.iter().map(|fault| fault.fault.field()).collect();
/// assert_eq!(fields, [Some("prefix"), Some("service"), Some("rate_per_s")]);
/// ```
pub fn check_deployment(value: &stored::Deployment) -> (Deployment, Vec<EntryFault>) {
    let mut faults = Vec::new();
    let mut record = |kind, name: &str, found: Vec<ConvertError>| {
        let name = name.to_owned();
        faults.extend(found.into_iter().map(|fault| EntryFault {
            kind,
            name: name.clone(),
            fault,
        }));
    };
    let mut deployment = Deployment {
        limits: request_limits(value.limits.unwrap_or_default()),
        unreadable: value.unreadable.iter().map(unreadable).collect(),
        ..Deployment::default()
    };
    for route in &value.routes {
        let (checked, found) = check_route(route);
        deployment.routes.push(checked);
        record(EntryKind::Route, &route.name, found);
    }
    for organisation in &value.organisations {
        let (checked, found) = check_organisation(organisation);
        match found.first() {
            None => deployment.organisations.push(checked),
            Some(fault) => deployment
                .unreadable
                .push(UnreadableOrganisation { name: checked.name, fault: fault.to_string() }),
        }
        record(EntryKind::Organisation, &organisation.name, found);
    }
    (deployment, faults)
}

/// Checks a deployment of which organisations may be unreadable, but nothing else.
pub(super) fn validate_deployment(value: &stored::Deployment) -> Result<Deployment, ConvertError> {
    let (deployment, faults) = check_deployment(value);
    // Without a name it is not known whose last good version to keep.
    let is_fatal =
        |fault: &EntryFault| !fault.kind.is_separable() || fault.fault.field() == Some("name");
    match faults.into_iter().find(is_fatal) {
        Some(fault) => Err(fault.into_error()),
        None => Ok(deployment),
    }
}

/// Returns the checked value, or the first error.
pub(super) fn first_fault<T>(checked: (T, Vec<ConvertError>)) -> Result<T, ConvertError> {
    let (value, faults) = checked;
    match faults.into_iter().next() {
        None => Ok(value),
        Some(fault) => Err(fault),
    }
}

fn unreadable(value: &stored::UnreadableOrganisation) -> UnreadableOrganisation {
    UnreadableOrganisation { name: value.name.as_str().into(), fault: value.fault.clone() }
}

fn request_limits(limits: stored::Limits) -> RequestLimits {
    let header_bytes = usize::try_from(limits.header_bytes).ok().filter(|bytes| *bytes > 0);
    let timeout = |millis: u64| Some(millis).filter(|m| *m > 0).map(Duration::from_millis);
    RequestLimits {
        header_bytes,
        body_bytes: Some(limits.body_bytes).filter(|bytes| *bytes > 0),
        header_timeout: timeout(limits.header_timeout_ms),
        idle_timeout: timeout(limits.idle_timeout_ms),
    }
}

/// Checks a route; it can be used if there are no errors.
pub(super) fn check_route(value: &stored::Route) -> (Route, Vec<ConvertError>) {
    let mut faults = Vec::new();
    let idempotency = match value.idempotent.as_str() {
        "" | "auto" => Idempotency::ByMethod,
        "yes" => Idempotency::Yes,
        "no" => Idempotency::No,
        other => {
            faults.push(ConvertError::invalid("idempotent", other, "auto, yes or no"));
            Idempotency::No
        }
    };
    if !value.prefix.starts_with('/') {
        faults.push(ConvertError::invalid("prefix", &value.prefix, "a path"));
    }
    let mut service_weights = Vec::new();
    for part in &value.parts {
        faults.extend(validate_name("parts.service", &part.service).err());
        let service = part.service.as_str().into();
        service_weights.push(ServiceWeight { service, weight: part.weight });
    }
    if !service_weights.is_empty() && service_weights.iter().all(|part| part.weight == 0) {
        faults.push(ConvertError::invalid("parts.weight", &0, "above 0 for at least one service"));
    }
    let service = if service_weights.is_empty() { value.service.as_str() } else { "" };
    if service_weights.is_empty() {
        faults.extend(validate_name("service", service).err());
    }
    let optional = |ms: u32| (ms > 0).then(|| Duration::from_millis(u64::from(ms)));
    let route = Route {
        prefix: value.prefix.clone(),
        service: service.into(),
        idempotency,
        long: value.long,
        host: Some(value.host.clone()).filter(|host| !host.is_empty()),
        service_weights,
        timeout: optional(value.timeout_ms),
        attempts: Some(value.attempts).filter(|attempts| *attempts > 0),
        rank: value.rank,
        target_latency: optional(value.target_ms),
        public: value.public,
        large_responses: value.large_responses,
    };
    (route, faults)
}

/// Checks an organisation; it can be used if there are no errors.
pub(super) fn check_organisation(
    value: &stored::Organisation,
) -> (Organisation, Vec<ConvertError>) {
    let mut faults = Vec::new();
    faults.extend(validate_name("name", &value.name).err());
    let digests = value.key_digests.iter().map(|text| credential::parse_digest(text));
    let keys: Option<Vec<_>> = digests.collect();
    if keys.is_none() {
        let expected = "a list of SHA-256 digests";
        faults.push(ConvertError::InvalidSecret { field: "key_digests", expected });
    }
    for (field, amount) in [("rate_per_s", value.rate_per_s), ("burst", value.burst)] {
        if !amount.is_finite() || amount < 0.0 {
            faults.push(ConvertError::invalid(field, &amount, "0 or above"));
        }
    }
    let allowance = Allowance { rate: value.rate_per_s, burst: value.burst.max(1.0) };
    let organisation = Organisation {
        name: value.name.as_str().into(),
        keys: keys.unwrap_or_default(),
        rank: value.rank,
        // A burst without a rate is no limit: it could only ever be spent once.
        allowance: Some(allowance).filter(|allowance| allowance.rate > 0.0),
        concurrency: Some(value.concurrency).filter(|limit| *limit > 0),
    };
    (organisation, faults)
}
