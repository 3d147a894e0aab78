//! Generates the settings: the argument parsers, the table of settings and the typed struct.

use std::fmt::Write as _;
use std::fs;
use std::path::Path;

use prost_reflect::{DescriptorPool, DynamicMessage, ExtensionDescriptor, FieldDescriptor, Value};

use crate::error::Error;

/// Help of the command `check`.
const CHECK_HELP: &str = "check a configuration, or without FILE the settings and keys of a node";
/// Arguments of the command `check` that are no settings.
const CHECK_FIELDS: &str = "    /// configuration in the product's or the platform's format\n    \
    #[argh(positional)]\n    pub file: Option<std::path::PathBuf>,\n    \
    /// settings file of a node on the platform, to check the configuration with\n    \
    #[argh(option)]\n    pub settings: Option<std::path::PathBuf>,\n    \
    /// the active version of the configuration, to show what changes\n    \
    #[argh(option)]\n    pub against: Option<std::path::PathBuf>,\n    \
    /// print JSON\n    #[argh(switch)]\n    pub json: bool,\n";

struct Setting {
    name: String,
    help: String,
    unit: String,
    default: Option<String>,
    min: u64,
    max: u64,
    kind: String,
}

impl Setting {
    fn flag(&self) -> String {
        format!("--{}", self.name.replace('_', "-"))
    }

    fn variable(&self) -> String {
        format!("LAVENDERFLOW_{}", self.name.to_uppercase())
    }

    fn rust_type(&self) -> &'static str {
        match self.kind.as_str() {
            "address" => "std::net::SocketAddr",
            "addresses" => "Vec<std::net::SocketAddr>",
            "path" => "std::path::PathBuf",
            "count" => "u64",
            "milliseconds" => "std::time::Duration",
            _ => "String",
        }
    }

    fn range_and_default(&self) -> String {
        let mut parts = Vec::new();
        if self.max > 0 {
            parts.push(format!("{} to {} {}", self.min, self.max, self.unit));
        }
        if let Some(default) = self.default.as_deref().filter(|d| !d.is_empty()) {
            parts.push(format!("default {default}"));
        }
        parts.push(self.variable());
        parts.join(", ")
    }
}

/// Writes `settings.rs`.
pub fn generate(source: &str, target: &Path) -> Result<(), Error> {
    let pool = load_descriptors(source)?;
    let message = pool
        .get_message_by_name("lavenderflow.settings.Node")
        .ok_or(Error::Missing("message Node"))?;
    let extension = pool
        .get_extension_by_name("lavenderflow.settings.setting")
        .ok_or(Error::Missing("extension setting"))?;
    let settings: Vec<Setting> =
        message.fields().filter_map(|field| read_setting(&field, &extension)).collect();
    fs::write(target.join("settings.rs"), render(&settings))?;
    Ok(())
}

/// Loads the descriptors with their custom options, which prost's types discard.
fn load_descriptors(source: &str) -> Result<DescriptorPool, Error> {
    let mut compiler = protox::Compiler::new([source])?;
    compiler.include_imports(true).open_file("settings.proto")?;
    Ok(DescriptorPool::decode(compiler.encode_file_descriptor_set().as_slice())?)
}

fn read_setting(field: &FieldDescriptor, extension: &ExtensionDescriptor) -> Option<Setting> {
    let options = field.options();
    let value = options.get_extension(extension);
    let value = value.as_message()?;
    let default = value.has_field_by_name("default").then(|| text(value, "default"));
    let kind = text(value, "kind");
    // Proto3 does not record an empty string, so an address list without a default is empty.
    let default = default.or_else(|| (kind == "addresses").then(String::new));
    Some(Setting {
        name: field.name().to_owned(),
        help: text(value, "help"),
        unit: text(value, "unit"),
        default,
        min: number(value, "min"),
        max: number(value, "max"),
        kind,
    })
}

fn text(message: &DynamicMessage, name: &str) -> String {
    let value = message.get_field_by_name(name);
    value.as_deref().and_then(Value::as_str).unwrap_or_default().to_owned()
}

fn number(message: &DynamicMessage, name: &str) -> u64 {
    let value = message.get_field_by_name(name);
    value.as_deref().and_then(Value::as_u64).unwrap_or_default()
}

fn render(settings: &[Setting]) -> String {
    let mut out = String::from("// Generated from schema/settings.proto. Do not edit.\n\n");
    out.push_str("use crate::setting::{Reader, SettingKind, SettingSpec, SettingsError};\n\n");
    render_table(&mut out, settings);
    let (node, check) = ("run a node until it is stopped", CHECK_HELP);
    render_arguments(&mut out, settings, ("NodeArgs", "node", node), "");
    render_arguments(&mut out, settings, ("CheckArgs", "check", check), CHECK_FIELDS);
    render_struct(&mut out, settings);
    out
}

fn render_table(out: &mut String, settings: &[Setting]) {
    out.push_str("/// All settings of a node.\npub const SETTINGS: &[SettingSpec] = &[\n");
    for setting in settings {
        let kind = match setting.kind.as_str() {
            "address" => "Address",
            "addresses" => "Addresses",
            "path" => "Path",
            "count" => "Count",
            "milliseconds" => "Milliseconds",
            _ => "Text",
        };
        let _ = writeln!(
            out,
            "    SettingSpec {{\n        name: {:?},\n        flag: {:?},\n        \
             variable: {:?},\n        help: {:?},\n        unit: {:?},\n        \
             default: {:?},\n        min: {},\n        \
             max: {},\n        kind: SettingKind::{kind},\n    }},",
            setting.name,
            setting.flag(),
            setting.variable(),
            setting.help,
            setting.unit,
            setting.default,
            setting.min,
            setting.max,
        );
    }
    out.push_str("];\n\n");
}

fn render_arguments(
    out: &mut String,
    settings: &[Setting],
    (name, command, help): (&str, &str, &str),
    fields: &str,
) {
    let _ = writeln!(
        out,
        "/// {help}\n#[derive(Clone, Debug, Default, argh::FromArgs)]\n\
         #[argh(subcommand, name = {command:?})]\npub struct {name} {{"
    );
    for setting in settings {
        let _ = writeln!(
            out,
            "    /// {} ({})\n    #[argh(option)]\n    pub {}: Option<String>,",
            setting.help,
            setting.range_and_default(),
            setting.name
        );
    }
    out.push_str(fields);
    let _ = writeln!(
        out,
        "}}\n\nimpl {name} {{\n    /// Returns the value given for the named setting.\n    \
         pub fn value(&self, name: &str) -> Option<&str> {{\n        match name {{"
    );
    for setting in settings {
        let _ = writeln!(out, "            {0:?} => self.{0}.as_deref(),", setting.name);
    }
    out.push_str("            _ => None,\n        }\n    }\n}\n\n");
}

fn render_struct(out: &mut String, settings: &[Setting]) {
    out.push_str(
        "/// The validated settings of a node.\n#[derive(Clone, Debug, PartialEq)]\n\
         pub struct NodeSettings {\n",
    );
    for setting in settings {
        let _ = writeln!(
            out,
            "    /// {}.\n    pub {}: {},",
            setting.help,
            setting.name,
            setting.rust_type()
        );
    }
    out.push_str(
        "}\n\nimpl NodeSettings {\n    \
         /// Reads all settings; flags take precedence over environment variables.\n    \
         ///\n    /// # Errors\n    ///\n    \
         /// Returns an error that names every missing, malformed or out-of-range setting.\n    \
         pub fn read(\n        flags: impl Fn(&str) -> Option<String>,\n        \
         environment: impl Fn(&str) -> Option<String>,\n    ) -> Result<Self, SettingsError> \
         {\n        let mut reader = Reader::new(SETTINGS, flags, environment);\n",
    );
    for setting in settings {
        let _ = writeln!(out, "        let {0} = reader.{1}({0:?});", setting.name, setting.kind);
    }
    out.push_str("        reader.finish()?;\n        Ok(Self {\n");
    for setting in settings {
        let _ = writeln!(out, "            {},", setting.name);
    }
    out.push_str("        })\n    }\n}\n");
}
