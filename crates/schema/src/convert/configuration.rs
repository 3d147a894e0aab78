//! Validates stored configuration and announcements and converts them to types of the core crate.

use std::ops::RangeInclusive;
use std::time::Duration;

use lavenderflow_core::catalog::{ConfigItem, DEPLOYMENT_KEY_PREFIX, Document};
use lavenderflow_core::profile::{Caution, Forgiveness, Patience, Profile};
use lavenderflow_core::upstream::{AnnouncedPhase, Announcement};

use super::ConvertError;
use super::deployment::{
    EntryFault, check_deployment, check_organisation, check_route, first_fault, validate_deployment,
};
use crate::configuration as stored;

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
            (value.name.clone(), ConfigItem::Route(first_fault(check_route(&value))?))
        }
        ("organisations", stored::Stored { organisation: Some(value), .. }) => {
            (value.name.clone(), ConfigItem::Organisation(first_fault(check_organisation(&value))?))
        }
        (DEPLOYMENT_KEY_PREFIX, stored::Stored { deployment: Some(value), .. }) => {
            (name.to_owned(), ConfigItem::Deployment(validate_deployment(&value)?))
        }
        _ => return Err(ConvertError::KeyMismatch(document.key.to_string())),
    };
    if found == name { Ok(item) } else { Err(ConvertError::KeyMismatch(document.key.to_string())) }
}

/// Checks a document as [`validate`] does, and returns all errors instead of the first one.
///
/// # Examples
///
/// ```
/// use lavenderflow_core::catalog::Document;
/// use lavenderflow_schema::convert::configuration::check;
///
/// let text = br#"{"revision": 1, "route": {"name": "a", "prefix": "b", "idempotent": "c"}}"#;
/// let document = Document { key: "routes/a".into(), revision: 1, text: text.as_slice().into() };
/// assert_eq!(check(&document).len(), 3);
/// ```
pub fn check(document: &Document) -> Vec<ConvertError> {
    let Err(fault) = validate(document) else {
        // Organisations of a valid deployment may still be unreadable.
        let value = parse(&document.text).ok().and_then(|value| value.deployment);
        return value.map(|value| deployment_faults(&value)).unwrap_or_default();
    };
    let Ok(value) = parse(&document.text) else { return vec![fault] };
    let mut faults = Vec::new();
    faults.extend(value.route.iter().flat_map(|value| check_route(value).1));
    faults.extend(value.organisation.iter().flat_map(|value| check_organisation(value).1));
    faults.extend(value.profile.iter().flat_map(|value| check_profile(value).1));
    faults.extend(value.deployment.iter().flat_map(deployment_faults));
    if !faults.contains(&fault) {
        faults.insert(0, fault);
    }
    faults
}

fn deployment_faults(value: &stored::Deployment) -> Vec<ConvertError> {
    check_deployment(value).1.into_iter().map(EntryFault::into_error).collect()
}

/// Validates a profile.
///
/// # Errors
///
/// Returns an error that names the first field that is missing or out of range.
pub fn validate_profile(value: &stored::Profile) -> Result<Profile, ConvertError> {
    first_fault(check_profile(value))
}

/// Checks a profile; it can be used if there are no errors.
fn check_profile(value: &stored::Profile) -> (Profile, Vec<ConvertError>) {
    let mut faults = Vec::new();
    let missing = [
        ("patience", value.patience.is_none()),
        ("caution", value.caution.is_none()),
        ("forgiveness", value.forgiveness.is_none()),
    ];
    if let Some((field, _)) = missing.iter().find(|(_, is_missing)| *is_missing) {
        return (Profile::default(), vec![ConvertError::Missing(field)]);
    }
    let patience = value.patience.unwrap_or_default();
    let caution = value.caution.unwrap_or_default();
    let forgiveness = value.forgiveness.unwrap_or_default();
    let list = &mut faults;
    let profile = Profile {
        name: take(list, validate_name("name", &value.name)).into(),
        patience: Patience {
            queue: take(list, duration("patience.queue_ms", patience.queue_ms, 0)),
            deadline: take(list, duration("patience.deadline_ms", patience.deadline_ms, 1)),
            long: take(list, duration("patience.long_ms", patience.long_ms, 1)),
        },
        caution: Caution {
            floor: take(list, share("caution.floor_percent", caution.floor_percent, 0..=100)),
            long_share: take(list, share("caution.long_percent", caution.long_percent, 1..=100)),
            long_body: u64::from(caution.long_kb) * 1024,
            long_after: take(list, duration("caution.long_after_ms", caution.long_after_ms, 1)),
        },
        forgiveness: Forgiveness {
            retries: take(
                list,
                share("forgiveness.retry_percent", forgiveness.retry_percent, 0..=100),
            ),
            attempts: take(list, in_range("forgiveness.attempts", forgiveness.attempts, 1..=10)),
            ejection: take(list, duration("forgiveness.eject_ms", forgiveness.eject_ms, 1)),
            errors: take(
                list,
                share("forgiveness.error_percent", forgiveness.error_percent, 0..=20),
            ),
            hedges: take(
                list,
                share("forgiveness.hedge_percent", forgiveness.hedge_percent, 0..=100),
            ),
        },
    };
    (profile, faults)
}

/// Returns a value, or records why there is none and returns the default.
fn take<T: Default>(faults: &mut Vec<ConvertError>, result: Result<T, ConvertError>) -> T {
    result.unwrap_or_else(|fault| {
        faults.push(fault);
        T::default()
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
            hedge_percent: percent(forgiveness.hedges),
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
        lease: duration("lease_ms", value.lease_ms, 100)?,
        warm_up: None,
        generation: 0,
        sequence: 0,
    })
}

pub(super) fn validate_name<'a>(
    field: &'static str,
    name: &'a str,
) -> Result<&'a str, ConvertError> {
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

fn duration(field: &'static str, value: u32, min: u32) -> Result<Duration, ConvertError> {
    in_range(field, value, min..=MAX_DURATION_MS).map(|ms| Duration::from_millis(u64::from(ms)))
}

fn share(field: &'static str, value: u32, range: RangeInclusive<u32>) -> Result<f64, ConvertError> {
    in_range(field, value, range).map(|percent| f64::from(percent) / 100.0)
}
