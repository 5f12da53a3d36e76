//! What is asked of a store.

use crate::broker::Order;
use crate::interface::*;

/// What a request is on this wire, whoever asked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pull {
    pub class: String,
    pub object: String,
    pub part: Option<String>,
    pub token: Option<String>,
    pub have: Option<String>,
    pub body: Vec<u8>,
}

impl Pull {
    /// The bytes of one attempt.
    pub(super) fn bytes(&self, order: &Order, name: impl Fn(MemberId) -> Option<String>) -> Vec<u8> {
        let ms = |span: Micros| (span / 1_000).max(1);
        let mut fields = vec![format!("kind={}", self.class), format!("obj={}", self.object)];
        let mut add = |key: &str, value: Option<String>| {
            fields.extend(value.map(|value| format!("{key}={value}")));
        };
        add("seg", self.part.clone());
        add("ms", Some(ms(order.timeout).to_string()));
        add("token", self.token.clone());
        if let Some(fill) = order.fill {
            // A member that is named as its own source fills nothing: the same as none.
            add("src", fill.source.filter(|source| *source != order.member).and_then(name));
            add("keep", (fill.keep > 0).then(|| fill.keep.to_string()));
            // Rounded down: a copy as old as the purge must not slip in by a fraction.
            add("maxage", fill.max_age.map(|age| ms(age).to_string()));
            let flags = [(fill.join, "ride"), (fill.held_only, "have-only"), (fill.renew, "update")];
            let flags: Vec<&str> = flags.iter().filter(|(set, _)| *set).map(|(_, word)| *word).collect();
            add("flags", (!flags.is_empty()).then(|| flags.join("+")));
        }
        add("have", self.have.clone());
        let head = format!("PULL {:016x} {} {}\r\n", order.request.0, fields.join(","), self.body.len());
        [head.as_bytes(), &self.body, b"\r\n"].concat()
    }
}
