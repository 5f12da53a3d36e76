//! What a queried name stands for.

use super::resolver::ObjectName;
use hickory_proto::rr::Name;

/// The prefix of the label that states a part of an object.
const PART_PREFIX: &str = "block-";

/// What a queried name stands for.
#[derive(Debug, PartialEq)]
pub(super) enum QueriedName {
    /// It is not under the domain.
    OutOfDomain,
    /// The domain itself or a class: the name exists and has no address.
    NoAddress,
    /// It is under the domain, and there is no such name.
    Unknown,
    /// An object, or a part of one.
    Object(ObjectName),
}

/// Parses a name under `domain`; `class_index` finds a class by its name. Names have no case (RFC 4343): they are
/// looked up in lower case, however a resolver writes them.
pub(super) fn parse_name(
    name: &Name,
    domain: &Name,
    class_index: impl Fn(&str) -> Option<usize>,
) -> QueriedName {
    if !domain.zone_of(name) {
        return QueriedName::OutOfDomain;
    }
    let labels_below_domain = usize::from(name.num_labels() - domain.num_labels());
    let labels: Option<Vec<String>> = name.iter().take(labels_below_domain).map(parse_label).collect();
    let Some(labels) = labels else { return QueriedName::Unknown };
    let Some((class_name, object_labels)) = labels.split_last() else { return QueriedName::NoAddress };
    let Some(class) = class_index(class_name) else { return QueriedName::Unknown };
    match object_labels {
        [] => QueriedName::NoAddress,
        [object] => QueriedName::Object(ObjectName { class, object: object.clone(), part: 0 }),
        [part, object] => match part.strip_prefix(PART_PREFIX).and_then(|part| part.parse().ok()) {
            Some(part) => QueriedName::Object(ObjectName { class, object: object.clone(), part }),
            None => QueriedName::Unknown,
        },
        _ => QueriedName::Unknown,
    }
}

/// A label in lower case; `None`: it can't stand in the line protocol to stores, whose delimiter is a comma.
fn parse_label(label: &[u8]) -> Option<String> {
    let text = String::from_utf8(label.to_ascii_lowercase()).ok()?;
    text.bytes().all(|byte| byte.is_ascii_graphic() && byte != b',').then_some(text)
}
