//! Reads settings from flags and environment variables and checks their ranges.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The form of a setting's value.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// An IP address and port.
    Address,
    /// IP addresses and ports, separated by commas.
    Addresses,
    /// A whole number.
    Count,
    /// A whole number of milliseconds.
    Milliseconds,
    /// The path of a file.
    Path,
    /// Any text but the empty one.
    Text,
}

/// Describes one setting.
#[derive(Clone, Copy, Debug)]
pub struct Spec {
    /// Name in the schema.
    pub name: &'static str,
    /// Command line flag.
    pub flag: &'static str,
    /// Environment variable.
    pub variable: &'static str,
    /// What the setting is for.
    pub help: &'static str,
    /// Unit of a number.
    pub unit: &'static str,
    /// Value when nothing is given.
    pub default: Option<&'static str>,
    /// Least value of a number.
    pub min: u64,
    /// Greatest value of a number.
    pub max: u64,
    /// Form of the value.
    pub kind: Kind,
}

/// Why one setting cannot be used.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum SettingError {
    /// Nothing was given and there is no default.
    #[error("{flag} ({variable}): missing; expected {expected}")]
    Missing {
        /// Command line flag.
        flag: &'static str,
        /// Environment variable.
        variable: &'static str,
        /// What was expected.
        expected: String,
    },
    /// The value has the wrong form or is out of range.
    #[error("{flag} ({variable}): {value:?} is not {expected}")]
    Invalid {
        /// Command line flag.
        flag: &'static str,
        /// Environment variable.
        variable: &'static str,
        /// The value as given.
        value: String,
        /// What was expected.
        expected: String,
    },
}

/// All settings that cannot be used.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub struct SettingsError(pub Vec<SettingError>);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

/// Reads settings one by one and collects what is wrong with them.
pub(crate) struct Reader<F, E> {
    specs: &'static [Spec],
    flags: F,
    environment: E,
    errors: Vec<SettingError>,
}

impl<F, E> Reader<F, E>
where
    F: Fn(&str) -> Option<String>,
    E: Fn(&str) -> Option<String>,
{
    pub(crate) fn new(specs: &'static [Spec], flags: F, environment: E) -> Self {
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

    fn parse<T>(&mut self, name: &str, parse: impl Fn(&str, &Spec) -> Option<T>) -> Option<T> {
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

fn expected(spec: &Spec) -> String {
    match spec.kind {
        Kind::Address => "an IP address and port".to_owned(),
        Kind::Addresses => "IP addresses and ports separated by commas".to_owned(),
        Kind::Count | Kind::Milliseconds => {
            format!("a whole number from {} to {} {}", spec.min, spec.max, spec.unit)
        }
        Kind::Path => "the path of a file".to_owned(),
        Kind::Text => "a text".to_owned(),
    }
}
