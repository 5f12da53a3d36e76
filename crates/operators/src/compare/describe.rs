//! What a checked node says, in one line.

use crate::item::Item;
use crate::schema::Values;
use crate::value::{Value, format_span};

/// A node with all below it.
pub(super) fn describe(item: &Item) -> String {
    let own = describe_own(item);
    if item.children().is_empty() {
        return own;
    }
    let children: Vec<String> = item.children().iter().map(describe_with_name).collect();
    format!("{own} {{ {} }}", children.join("; ")).trim().to_string()
}

fn describe_with_name(item: &Item) -> String {
    format!("{} {}", item.name(), describe(item)).trim().to_string()
}

/// A node's values and properties, with their defaults.
pub(super) fn describe_own(item: &Item) -> String {
    let mut words: Vec<String> = item.values().unwrap_or_default().iter().map(describe_value).collect();
    // Several values of one kind mean the same in any order.
    if matches!(item.schema().values, Values::Some(..) | Values::Any(..)) {
        words.sort();
    }
    for property in item.schema().properties {
        if let Ok(Some(value)) = item.property(property.name) {
            words.push(format!("{}={}", property.name, describe_value(&value)));
        }
    }
    words.join(" ")
}

pub(super) fn describe_value(value: &Value) -> String {
    match value {
        Value::Text(text) => format!("{text:?}"),
        Value::Flag(flag) => format!("#{flag}"),
        Value::Number(number) => number.to_string(),
        Value::Millis(millis) => format_span(*millis),
        Value::Address(address) => address.to_string(),
        Value::Network(network) => network.to_string(),
    }
}
