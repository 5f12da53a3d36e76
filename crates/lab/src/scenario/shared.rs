//! What the gateways of a scenario share.

use super::reader::span;
use sagearch_operators::Diagnostic;
use sagearch_operators::item::Item;
use std::fmt::Write;
use std::time::Duration;

/// What the gateways share: the figures that the checker goes by, and the operators' text.
#[derive(Clone, Debug, PartialEq)]
pub struct Shared {
    /// How long a lease lasts.
    pub lease: Duration,
    /// How long a claim lasts.
    pub claim: Duration,
    /// By how much clocks may drift, in thousandths.
    pub drift: u64,
    /// All budgets.
    pub budgets: Vec<SharedBudget>,
    properties: String,
    children: String,
}

/// What all gateways together may spend in a window.
#[derive(Clone, Debug, PartialEq)]
pub struct SharedBudget {
    /// Its name.
    pub name: String,
    /// Calls in a window.
    pub amount: u64,
    /// How long a window is.
    pub window: Duration,
    /// By how much a window may exceed the amount, in percent.
    pub overdraft: u64,
    /// Whether it is one of all regions, not one of each.
    pub federated: bool,
}

impl Shared {
    /// The operators' file of all gateways: each site is a region, whose members are told by name and address.
    pub fn text<'a>(&self, regions: impl Iterator<Item = (&'a str, Vec<(String, String)>)>) -> String {
        let mut text = format!("fleet \"lab\" {} {{\n", self.properties);
        for (name, members) in regions.filter(|(_, members)| !members.is_empty()) {
            // Writing to a string never fails.
            let _ = writeln!(text, "    region {name:?} {{");
            for (name, address) in members {
                let _ = writeln!(text, "        member {name:?} {address:?}");
            }
            text.push_str("    }\n");
        }
        text.push_str(&self.children);
        text.push_str("}\n");
        text
    }
}

fn budget(item: &Item) -> Result<SharedBudget, Diagnostic> {
    Ok(SharedBudget {
        name: item.first_text().unwrap_or_default().to_string(),
        amount: item.number("amount")?,
        window: span(item, "window")?,
        overdraft: item.number("overdraft")?,
        federated: item.text("of")? == "federation",
    })
}

/// Reads `shared`.
pub(super) fn read(item: &Item) -> Result<Shared, Diagnostic> {
    let entries = item.node().entries().iter().map(|entry| entry.to_string().trim().to_string());
    let children = item.children().iter().map(|child| format!("    {}\n", child.node().to_string().trim()));
    Ok(Shared {
        lease: span(item, "lease")?,
        claim: span(item, "claim")?,
        drift: item.number("drift")?,
        budgets: item.children().iter().map(budget).collect::<Result<_, Diagnostic>>()?,
        properties: entries.collect::<Vec<_>>().join(" "),
        children: children.collect(),
    })
}
