//! The authorization rules of a tenant. The first matching rule decides; a request that matches no rule is forbidden.

use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use std::sync::Arc;

/// One rule of a tenant, as written in the settings.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Rule {
    /// Whether matching requests are allowed or forbidden.
    pub allow: bool,
    /// The classes of objects that match; empty for all.
    pub classes: Vec<String>,
    /// The methods that match; empty for all.
    pub methods: Vec<Method>,
    /// The prefix of the names of objects that match.
    pub prefix: String,
}

/// The method by which an object is requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Method {
    /// An HTTP GET.
    Get,
    /// An HTTP PUT.
    Put,
    /// A DNS query.
    Lookup,
}

impl Method {
    /// All methods.
    pub const ALL: [Method; 3] = [Method::Get, Method::Put, Method::Lookup];

    /// Returns the method with this name; `None` if rules can't name it.
    pub fn of(name: &str) -> Option<Method> {
        Method::ALL.into_iter().find(|method| method.name() == name)
    }

    /// The method's name in upper case.
    pub fn name(self) -> &'static str {
        match self {
            Method::Get => "GET",
            Method::Put => "PUT",
            Method::Lookup => "LOOKUP",
        }
    }

    fn bit(self) -> u8 {
        1 << self as u8
    }
}

const ALL_METHODS: u8 = 0b111;

/// Stores equal strings once: 10,000 tenants with 100 rules each have a million rules but few distinct strings.
#[derive(Default)]
pub struct StringInterner(HashSet<Arc<str>>);

impl StringInterner {
    /// Returns the shared string that equals `text`.
    pub fn intern(&mut self, text: &str) -> Arc<str> {
        if let Some(interned) = self.0.get(text) {
            return interned.clone();
        }
        let interned: Arc<str> = text.into();
        self.0.insert(interned.clone());
        interned
    }
}

/// A rule compiled for one class or for all classes.
#[derive(Debug)]
struct CompiledRule {
    allow: bool,
    /// A bit set of methods.
    methods: u8,
    /// The class that matches; `None` for all.
    class: Option<Arc<str>>,
    prefix: Arc<str>,
}

impl CompiledRule {
    fn matches(&self, class: &str, method: Method, object: &str) -> bool {
        self.methods & method.bit() != 0
            && self.class.as_deref().is_none_or(|rule_class| rule_class == class)
            && object.starts_with(&*self.prefix)
    }
}

/// A tenant's compiled rules.
#[derive(Debug)]
pub struct Rights(Box<[CompiledRule]>);

impl Rights {
    /// Compiles rules. Tenants that share `strings` share equal classes and prefixes.
    pub fn new(rules: &[Rule], strings: &mut StringInterner) -> Rights {
        let mut compiled = Vec::with_capacity(rules.len());
        for rule in rules {
            let stated_methods = rule.methods.iter().fold(0, |bits, method| bits | method.bit());
            let methods = if rule.methods.is_empty() { ALL_METHODS } else { stated_methods };
            let prefix = strings.intern(&rule.prefix);
            let mut add = |class| {
                let prefix = prefix.clone();
                compiled.push(CompiledRule { allow: rule.allow, methods, class, prefix });
            };
            if rule.classes.is_empty() {
                add(None);
            }
            for class in &rule.classes {
                add(Some(strings.intern(class)));
            }
        }
        Rights(compiled.into())
    }

    /// Whether a request is allowed. Methods that rules can't name are forbidden.
    pub fn allows(&self, class: &str, method: &str, object: &str) -> bool {
        let Some(method) = Method::of(method) else { return false };
        let first = self.0.iter().find(|rule| rule.matches(class, method, object));
        first.is_some_and(|rule| rule.allow)
    }
}
