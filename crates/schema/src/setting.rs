//! Reads settings from flags and environment variables and checks their ranges.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The type of a setting's value.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SettingKind {
    /// An IP address and port.
    Address,
    /// IP addresses and ports, separated by commas.
    Addresses,
    /// An integer.
    Count,
    /// An integer number of milliseconds.
    Milliseconds,
    /// A file path.
    Path,
    /// A non-empty string.
    Text,
}

/// Describes one setting.
#[derive(Clone, Copy, Debug)]
pub struct SettingSpec {
    /// Field name in the schema.
    pub name: &'static str,
    /// Command line flag.
    pub flag: &'static str,
    /// Environment variable.
    pub variable: &'static str,
    /// Help text.
    pub help: &'static str,
    /// Unit of a number; empty for other kinds.
    pub unit: &'static str,
    /// Default value; a setting without a default is required.
    pub default: Option<&'static str>,
    /// Minimum of a number.
    pub min: u64,
    /// Maximum of a number.
    pub max: u64,
    /// Type of the value.
    pub kind: SettingKind,
}

/// A missing or invalid setting.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum SettingError {
    /// The setting is required but was not given.
    #[error("{flag} ({variable}): missing; expected {expected}")]
    Missing {
        /// Command line flag.
        flag: &'static str,
        /// Environment variable.
        variable: &'static str,
        /// Description of valid values.
        expected: String,
    },
    /// The value is malformed or out of range.
    #[error("{flag} ({variable}): {value:?} is not {expected}")]
    Invalid {
        /// Command line flag.
        flag: &'static str,
        /// Environment variable.
        variable: &'static str,
        /// Given value.
        value: String,
        /// Description of valid values.
        expected: String,
    },
}

/// All missing and invalid settings.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub struct SettingsError(pub Vec<SettingError>);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

/// Reads settings one by one and collects the errors.
pub(crate) struct Reader<F, E> {
    specs: &'static [SettingSpec],
    flags: F,
    environment: E,
    errors: Vec<SettingError>,
}

impl<F, E> Reader<F, E>
where
    F: Fn(&str) -> Option<String>,
    E: Fn(&str) -> Option<String>,
{
    pub(crate) fn new(specs: &'static [SettingSpec], flags: F, environment: E) -> Self {
        Self { specs, flags, environment, errors: Vec::new() }
    }

    pub(crate) fn address(&mut self, name: &str) -> SocketAddr {
        let parsed = self.parse(name, |text, _| text.parse().ok());
        parsed.unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)))
    }

    pub(crate) fn addresses(&mut self, name: &str) -> Vec<SocketAddr> {
        self.parse(name, |text, _| {
            let items = text.split(',').map(str::trim).filter(|item| !item.is_empty());
            items.map(|item| item.parse().ok()).collect()
        })
        .unwrap_or_default()
    }

    pub(crate) fn text(&mut self, name: &str) -> String {
        let parsed = self.parse(name, |text, _| (!text.is_empty()).then(|| text.to_owned()));
        parsed.unwrap_or_default()
    }

    pub(crate) fn path(&mut self, name: &str) -> PathBuf {
        PathBuf::from(self.text(name))
    }

    pub(crate) fn count(&mut self, name: &str) -> u64 {
        self.parse(name, |text, spec| {
            let number: u64 = text.parse().ok()?;
            (spec.min..=spec.max).contains(&number).then_some(number)
        })
        .unwrap_or_default()
    }

    pub(crate) fn milliseconds(&mut self, name: &str) -> Duration {
        Duration::from_millis(self.count(name))
    }

    pub(crate) fn finish(self) -> Result<(), SettingsError> {
        if self.errors.is_empty() { Ok(()) } else { Err(SettingsError(self.errors)) }
    }

    fn parse<T>(
        &mut self,
        name: &str,
        parse: impl Fn(&str, &SettingSpec) -> Option<T>,
    ) -> Option<T> {
        let spec = self.specs.iter().find(|spec| spec.name == name)?;
        let given = (self.flags)(name).or_else(|| (self.environment)(spec.variable));
        let Some(value) = given.or_else(|| spec.default.map(str::to_owned)) else {
            let (flag, variable) = (spec.flag, spec.variable);
            self.errors.push(SettingError::Missing { flag, variable, expected: expected(spec) });
            return None;
        };
        let parsed = parse(&value, spec);
        if parsed.is_none() {
            let (flag, variable) = (spec.flag, spec.variable);
            let expected = expected(spec);
            self.errors.push(SettingError::Invalid { flag, variable, value, expected });
        }
        parsed
    }
}

fn expected(spec: &SettingSpec) -> String {
    match spec.kind {
        SettingKind::Address => "an IP address and port".to_owned(),
        SettingKind::Addresses => "IP addresses and ports separated by commas".to_owned(),
        SettingKind::Count | SettingKind::Milliseconds => {
            format!("a whole number from {} to {} {}", spec.min, spec.max, spec.unit)
        }
        SettingKind::Path => "the path of a file".to_owned(),
        SettingKind::Text => "a non-empty string".to_owned(),
    }
}
