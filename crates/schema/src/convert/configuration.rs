//! Validates stored configuration and announcements and converts them to types of the core crate.

use std::ops::RangeInclusive;
use std::time::Duration;

use lavenderflow_core::catalog::{
    ConfigItem, DEPLOYMENT_KEY_PREFIX, Deployment, Document, RequestLimits,
};
use lavenderflow_core::organisation::{Allowance, Organisation};
use lavenderflow_core::profile::{Caution, Forgiveness, Patience, Profile};
use lavenderflow_core::route::{Idempotency, Route, ServiceWeight};
use lavenderflow_core::upstream::{AnnouncedPhase, Announcement};

use super::ConvertError;
use crate::configuration as stored;
use crate::credential;

/// Maximum duration in a profile or announcement: one day.
const MAX_DURATION_MS: u32 = 24 * 60 * 60 * 1000;
/// Maximum number of slots that an upstream may announce.
const MAX_SLOTS: u32 = 10_000;
/// Maximum length of a name.
const MAX_NAME_BYTES: usize = 200;

/// Parses a stored value without validating it.
///
/// # Errors
///
/// Returns an error if the text is not JSON or has unknown fields.
pub fn parse(text: &[u8]) -> Result<stored::Stored, ConvertError> {
    serde_json::from_slice(text).map_err(|error| ConvertError::Json(error.to_string()))
}

/// Validates a document and returns its configuration item.
///
/// # Errors
///
/// Returns an error if the text is malformed, a value is out of range or the key does not match.
pub fn validate(document: &Document) -> Result<ConfigItem, ConvertError> {
    let value = parse(&document.text)?;
    if value.revision != document.revision {
        return Err(ConvertError::invalid("revision", &value.revision, "the document's revision"));
    }
    let (kind, name) = document.key.split_once('/').unwrap_or_default();
    let (found, item) = match (kind, value) {
        ("profiles", stored::Stored { profile: Some(value), .. }) => {
            (value.name.clone(), ConfigItem::Profile(validate_profile(&value)?))
        }
        ("services", stored::Stored { service: Some(value), .. }) => (
            value.name.clone(),
            ConfigItem::Service(
                validate_name("name", &value.name)?.into(),
                validate_name("profile", &value.profile)?.into(),
            ),
        ),
        ("routes", stored::Stored { route: Some(value), .. }) => {
            (value.name.clone(), ConfigItem::Route(validate_route(&value)?))
        }
        ("organisations", stored::Stored { organisation: Some(value), .. }) => {
            (value.name.clone(), ConfigItem::Organisation(validate_organisation(&value)?))
        }
        (DEPLOYMENT_KEY_PREFIX, stored::Stored { deployment: Some(value), .. }) => {
            (name.to_owned(), ConfigItem::Deployment(validate_deployment(&value)?))
        }
        _ => return Err(ConvertError::KeyMismatch(document.key.to_string())),
    };
    if found == name { Ok(item) } else { Err(ConvertError::KeyMismatch(document.key.to_string())) }
}

/// Validates a profile.
///
/// # Errors
///
/// Returns an error that names the first field that is missing or out of range.
pub fn validate_profile(value: &stored::Profile) -> Result<Profile, ConvertError> {
    let patience = value.patience.as_ref().ok_or(ConvertError::Missing("patience"))?;
    let caution = value.caution.as_ref().ok_or(ConvertError::Missing("caution"))?;
    let forgiveness = value.forgiveness.as_ref().ok_or(ConvertError::Missing("forgiveness"))?;
    Ok(Profile {
        name: validate_name("name", &value.name)?.into(),
        patience: Patience {
            queue: duration("patience.queue_ms", patience.queue_ms, 0..=MAX_DURATION_MS)?,
            deadline: duration("patience.deadline_ms", patience.deadline_ms, 1..=MAX_DURATION_MS)?,
            long: duration("patience.long_ms", patience.long_ms, 1..=MAX_DURATION_MS)?,
        },
        caution: Caution {
            floor: share("caution.floor_percent", caution.floor_percent, 0..=100)?,
            long_share: share("caution.long_percent", caution.long_percent, 1..=100)?,
            long_body: u64::from(caution.long_kb) * 1024,
            long_after: duration(
                "caution.long_after_ms",
                caution.long_after_ms,
                1..=MAX_DURATION_MS,
            )?,
        },
        forgiveness: Forgiveness {
            retries: share("forgiveness.retry_percent", forgiveness.retry_percent, 0..=100)?,
            attempts: in_range("forgiveness.attempts", forgiveness.attempts, 1..=10)?,
            ejection: duration("forgiveness.eject_ms", forgiveness.eject_ms, 1..=MAX_DURATION_MS)?,
            errors: share("forgiveness.error_percent", forgiveness.error_percent, 0..=20)?,
        },
    })
}

/// Converts a profile to its stored form.
pub fn stored_profile(profile: &Profile) -> stored::Profile {
    let percent = |share: f64| (share * 100.0).round() as u32;
    let millis = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
    let (patience, caution) = (&profile.patience, &profile.caution);
    let forgiveness = &profile.forgiveness;
    stored::Profile {
        name: profile.name.to_string(),
        patience: Some(stored::Patience {
            queue_ms: millis(patience.queue),
            deadline_ms: millis(patience.deadline),
            long_ms: millis(patience.long),
        }),
        caution: Some(stored::Caution {
            floor_percent: percent(caution.floor),
            long_percent: percent(caution.long_share),
            long_kb: u32::try_from(caution.long_body / 1024).unwrap_or(u32::MAX),
            long_after_ms: millis(caution.long_after),
        }),
        forgiveness: Some(stored::Forgiveness {
            retry_percent: percent(forgiveness.retries),
            attempts: forgiveness.attempts,
            eject_ms: millis(forgiveness.ejection),
            error_percent: percent(forgiveness.errors),
        }),
    }
}

/// Parses and validates an announcement.
///
/// # Errors
///
/// Returns an error if the text is not the JSON of an announcement or a field is out of range.
pub fn parse_announcement(text: &[u8]) -> Result<Announcement, ConvertError> {
    let value: stored::Announcement =
        serde_json::from_slice(text).map_err(|error| ConvertError::Json(error.to_string()))?;
    let phase = match value.phase.as_str() {
        "warming" => AnnouncedPhase::Warming,
        "serving" => AnnouncedPhase::Serving,
        "leaving" => AnnouncedPhase::Leaving,
        other => {
            return Err(ConvertError::invalid("phase", other, "warming, serving or leaving"));
        }
    };
    let address = value.address.parse();
    Ok(Announcement {
        id: validate_name("id", &value.id)?.into(),
        service: validate_name("service", &value.service)?.into(),
        address: address.map_err(|_| {
            ConvertError::invalid("address", &value.address, "an IP address and port")
        })?,
        slots: in_range("slots", value.slots, 1..=MAX_SLOTS)?,
        phase,
        lease: duration("lease_ms", value.lease_ms, 100..=MAX_DURATION_MS)?,
        warm_up: None,
        generation: 0,
        sequence: 0,
    })
}

fn validate_route(value: &stored::Route) -> Result<Route, ConvertError> {
    let idempotency = match value.idempotent.as_str() {
        "" | "auto" => Idempotency::ByMethod,
        "yes" => Idempotency::Yes,
        "no" => Idempotency::No,
        other => return Err(ConvertError::invalid("idempotent", other, "auto, yes or no")),
    };
    if !value.prefix.starts_with('/') {
        return Err(ConvertError::invalid("prefix", &value.prefix, "a path"));
    }
    let service_weights = value.parts.iter().map(|part| {
        let service = validate_name("parts.service", &part.service)?.into();
        Ok(ServiceWeight { service, weight: part.weight })
    });
    let service_weights: Vec<ServiceWeight> =
        service_weights.collect::<Result<_, ConvertError>>()?;
    if !service_weights.is_empty() && service_weights.iter().all(|part| part.weight == 0) {
        return Err(ConvertError::invalid("parts.weight", &0, "above 0 for at least one service"));
    }
    let service =
        if service_weights.is_empty() { validate_name("service", &value.service)? } else { "" };
    let optional = |ms: u32| (ms > 0).then(|| Duration::from_millis(u64::from(ms)));
    Ok(Route {
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
    })
}

fn validate_organisation(value: &stored::Organisation) -> Result<Organisation, ConvertError> {
    let keys = value.key_digests.iter().map(|text| {
        credential::parse_digest(text)
            .ok_or_else(|| ConvertError::invalid("key_digests", text, "a SHA-256 digest"))
    });
    let is_amount = |amount: f64| amount.is_finite() && amount >= 0.0;
    if !is_amount(value.rate_per_s) {
        return Err(ConvertError::invalid("rate_per_s", &value.rate_per_s, "0 or above"));
    }
    if !is_amount(value.burst) {
        return Err(ConvertError::invalid("burst", &value.burst, "0 or above"));
    }
    let allowance = Allowance { rate: value.rate_per_s, burst: value.burst.max(1.0) };
    Ok(Organisation {
        name: validate_name("name", &value.name)?.into(),
        keys: keys.collect::<Result<_, _>>()?,
        rank: value.rank,
        // A burst without a rate is no limit: it could only ever be spent once.
        allowance: Some(allowance).filter(|allowance| allowance.rate > 0.0),
        concurrency: Some(value.concurrency).filter(|limit| *limit > 0),
    })
}

fn validate_deployment(value: &stored::Deployment) -> Result<Deployment, ConvertError> {
    let limits = value.limits.unwrap_or_default();
    let timeout = |millis: u64| Some(millis).filter(|m| *m > 0).map(Duration::from_millis);
    let header_bytes = usize::try_from(limits.header_bytes).ok().filter(|bytes| *bytes > 0);
    Ok(Deployment {
        routes: value.routes.iter().map(validate_route).collect::<Result<_, _>>()?,
        organisations: value
            .organisations
            .iter()
            .map(validate_organisation)
            .collect::<Result<_, _>>()?,
        limits: RequestLimits {
            header_bytes,
            body_bytes: Some(limits.body_bytes).filter(|bytes| *bytes > 0),
            header_timeout: timeout(limits.header_timeout_ms),
            idle_timeout: timeout(limits.idle_timeout_ms),
        },
    })
}

fn validate_name<'a>(field: &'static str, name: &'a str) -> Result<&'a str, ConvertError> {
    let allowed = |c: char| c.is_alphanumeric() || matches!(c, '-' | '_' | '.');
    if !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(allowed) {
        Ok(name)
    } else {
        Err(ConvertError::invalid(field, name, "a name of letters, digits, '-', '_' and '.'"))
    }
}

fn in_range(
    field: &'static str,
    value: u32,
    range: RangeInclusive<u32>,
) -> Result<u32, ConvertError> {
    if range.contains(&value) {
        Ok(value)
    } else {
        Err(ConvertError::invalid(field, &value, "within the allowed range"))
    }
}

fn duration(
    field: &'static str,
    value: u32,
    range: RangeInclusive<u32>,
) -> Result<Duration, ConvertError> {
    in_range(field, value, range).map(|ms| Duration::from_millis(u64::from(ms)))
}

fn share(field: &'static str, value: u32, range: RangeInclusive<u32>) -> Result<f64, ConvertError> {
    in_range(field, value, range).map(|percent| f64::from(percent) / 100.0)
}
