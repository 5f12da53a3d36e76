//! Makes of a scenario that fails a smaller one that still fails: fewer faults, phases, processes and seconds.
//!
//! It works on the text's own tree, so what comes out is a scenario like any other. Larger reductions are tried first, and
//! what no longer fails is put back; it ends when no reduction keeps it failing, or when its tries are used up.

use kdl::{KdlDocument, KdlEntry, KdlNode, KdlValue};
use sagearch_operators::Diagnostic;
use sagearch_operators::files::parse_document;
use thiserror::Error;

/// The scenario's name in errors.
const SCENARIO: &str = "scenario";

/// A number that may be halved.
struct Halvable {
    node: &'static str,
    property: &'static str,
    /// The least that it may come to.
    min: i128,
}

const HALVABLE: [Halvable; 4] = [
    Halvable { node: "site", property: "gateways", min: 1 },
    Halvable { node: "site", property: "stores", min: 1 },
    Halvable { node: "fleet", property: "parents", min: 1 },
    Halvable { node: "load", property: "rate", min: 10 },
];

/// A place in the tree: which child of which child.
type Path = Vec<usize>;

fn at<'a>(document: &'a KdlDocument, path: &[usize]) -> Option<&'a KdlNode> {
    let (first, rest) = path.split_first()?;
    let node = document.nodes().get(*first)?;
    if rest.is_empty() { Some(node) } else { at(node.children()?, rest) }
}

fn at_mut<'a>(document: &'a mut KdlDocument, path: &[usize]) -> Option<&'a mut KdlNode> {
    let (first, rest) = path.split_first()?;
    let node = document.nodes_mut().get_mut(*first)?;
    if rest.is_empty() { Some(node) } else { at_mut(node.children_mut().as_mut()?, rest) }
}

fn remove(document: &mut KdlDocument, path: &[usize]) -> Option<()> {
    let (last, above) = path.split_last()?;
    let nodes = match above {
        [] => document.nodes_mut(),
        above => at_mut(document, above)?.children_mut().as_mut()?.nodes_mut(),
    };
    (*last < nodes.len()).then(|| drop(nodes.remove(*last)))
}

fn walk(document: &KdlDocument, above: &[usize], found: &mut Vec<Path>) {
    for (place, node) in document.nodes().iter().enumerate() {
        let path: Path = above.iter().copied().chain([place]).collect();
        found.push(path.clone());
        if let Some(children) = node.children() {
            walk(children, &path, found);
        }
    }
}

/// Half of a time that is written in whole milliseconds, seconds or minutes; nothing below a second.
fn half(time: &str) -> Option<String> {
    let (unit, millis) =
        [("ms", 1), ("s", 1_000), ("m", 60_000)].into_iter().find(|(unit, _)| time.ends_with(unit))?;
    let all = time.strip_suffix(unit)?.parse::<u64>().ok()? * millis;
    (all >= 2_000).then(|| format!("{}ms", all / 2))
}

/// What a reduction takes away, the largest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Size {
    Phase,
    Site,
    Fault,
    HalfNumber,
    HalfPhase,
    HalfFault,
    Expectation,
}

/// A reduction, and what is left after it.
struct Reduction {
    size: Size,
    left: KdlDocument,
}

fn set(node: &mut KdlNode, name: &str, value: KdlValue) {
    node.insert(name, KdlEntry::new_prop(name, value));
}

/// All reductions of a scenario by one step.
fn reductions(document: &KdlDocument) -> Vec<Reduction> {
    let mut paths = Vec::new();
    walk(document, &[], &mut paths);
    let mut all = Vec::new();
    let mut reduce = |size, change: &dyn Fn(&mut KdlDocument) -> Option<()>| {
        let mut left = document.clone();
        if change(&mut left).is_some() {
            all.push(Reduction { size, left });
        }
    };
    for path in &paths {
        let Some(node) = at(document, path) else { continue };
        match node.name().value() {
            "phase" => reduce(Size::Phase, &|left| remove(left, path)),
            "site" => reduce(Size::Site, &|left| remove(left, path)),
            "fault" => reduce(Size::Fault, &|left| remove(left, path)),
            "expect" => reduce(Size::Expectation, &|left| remove(left, path)),
            _ => {}
        }
        for Halvable { node: name, property, min } in HALVABLE {
            let Some(number) = node.get(property).and_then(KdlValue::as_integer) else { continue };
            if node.name().value() == name && number / 2 >= min {
                reduce(Size::HalfNumber, &|left| {
                    set(at_mut(left, path)?, property, KdlValue::Integer(number / 2));
                    Some(())
                });
            }
        }
        if let Some(shorter) = node.get("for").and_then(KdlValue::as_string).and_then(half) {
            let size = if node.name().value() == "phase" { Size::HalfPhase } else { Size::HalfFault };
            reduce(size, &|left| {
                set(at_mut(left, path)?, "for", KdlValue::String(shorter.clone()));
                Some(())
            });
        }
    }
    all.sort_by_key(|reduction| reduction.size);
    all
}

/// The text is no document of the scenario language.
#[derive(Debug, Error)]
#[error("{0}")]
pub struct ShrinkError(#[from] Diagnostic);

/// A scenario that has been shrunk.
#[derive(Debug, PartialEq)]
pub struct Shrunk {
    /// What is left of it.
    pub text: String,
    /// How many were tried.
    pub tries: usize,
    /// Whether no further reduction keeps it failing.
    pub is_minimal: bool,
}

/// Shrinks a text for as long as `fails` says so of what is left, in so many tries at most. A text that can't be read or
/// played does not fail in this sense.
///
/// # Errors
///
/// Where the text is no document of the scenario language.
pub fn shrink(
    text: &str,
    max_tries: usize,
    mut fails: impl FnMut(&str) -> bool,
) -> Result<Shrunk, ShrinkError> {
    let mut document = parse_document(SCENARIO, text)?;
    let mut tries = 0;
    loop {
        let mut smaller = None;
        for reduction in reductions(&document) {
            if tries == max_tries {
                return Ok(Shrunk { text: document.to_string(), tries, is_minimal: false });
            }
            tries += 1;
            if fails(&reduction.left.to_string()) {
                smaller = Some(reduction.left);
                break;
            }
        }
        match smaller {
            Some(left) => document = left,
            None => return Ok(Shrunk { text: document.to_string(), tries, is_minimal: true }),
        }
    }
}

#[cfg(test)]
mod tests;
