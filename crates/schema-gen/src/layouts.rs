//! Generates the layouts of messages, from which their size in memory follows.

use std::fmt::Write as _;
use std::fs;
use std::path::Path;

use prost_reflect::{DescriptorPool, Kind, MessageDescriptor};

use crate::error::Error;

const FILE: &str = "wire.proto";
const PACKAGE: &str = "lavenderflow.wire";
const OUTPUT_FILE: &str = "layouts.rs";

/// Writes a layout for each message between nodes.
pub fn generate(source: &str, target: &Path) -> Result<(), Error> {
    let pool = DescriptorPool::from_file_descriptor_set(protox::compile([FILE], [source])?)?;
    let mut text = format!(
        "// Generated from schema/{FILE}. Do not edit.\n\n\
         use std::mem::size_of;\n\nuse crate::layout::Layout;\nuse crate::wire;\n"
    );
    for message in pool.all_messages().filter(|message| message.package_name() == PACKAGE) {
        write_layout(&mut text, &message);
    }
    fs::write(target.join(OUTPUT_FILE), text)?;
    Ok(())
}

fn write_layout(text: &mut String, message: &MessageDescriptor) {
    let name = message.name();
    let mut fields: Vec<_> = message.fields().collect();
    fields.sort_by_key(|field| field.number());
    let fields = fields.into_iter().filter_map(|field| match field.kind() {
        Kind::Message(inner) => {
            Some(format!("({}, &{})", field.number(), inner.name().to_uppercase()))
        }
        _ => None,
    });
    let fields = fields.collect::<Vec<_>>().join(", ");
    // Writing to a string does not fail.
    let _ = write!(
        text,
        "\n/// Layout of [`wire::{name}`].\n\
         pub static {}: Layout = Layout {{\n    size: size_of::<wire::{name}>(),\n    \
         messages: &[{fields}],\n}};\n",
        name.to_uppercase()
    );
}
