//! What a tenant may ask for: a list of rules, of which the first that fits counts. Without one that fits, no.

use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use std::sync::Arc;

/// One line of a tenant's rights, as it is written.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Rule {
    pub allow: bool,
    /// None: all classes.
    pub classes: Vec<String>,
    /// None: all methods.
    pub methods: Vec<Method>,
    /// Objects whose names begin so.
    pub prefix: String,
}

/// How something is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Method {
    Get,
    Put,
    /// By name (DNS).
    Lookup,
}

impl Method {
    pub const ALL: [Method; 3] = [Method::Get, Method::Put, Method::Lookup];

    pub fn of(name: &str) -> Option<Method> {
        Method::ALL.into_iter().find(|method| method.name() == name)
    }

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

/// Texts that many rules share are held once: 10,000 tenants with 100 rules each are a million rules.
#[derive(Default)]
pub struct Texts(HashSet<Arc<str>>);

impl Texts {
    pub fn shared(&mut self, text: &str) -> Arc<str> {
        if let Some(held) = self.0.get(text) {
            return held.clone();
        }
        let new: Arc<str> = text.into();
        self.0.insert(new.clone());
        new
    }
}

#[derive(Debug)]
struct Line {
    allow: bool,
    methods: u8,
    class: Option<Arc<str>>,
    prefix: Arc<str>,
}

/// A tenant's rules, ready to be asked.
#[derive(Debug)]
pub struct Rights(Box<[Line]>);

impl Rights {
    pub fn new(rules: &[Rule], texts: &mut Texts) -> Rights {
        let mut lines = Vec::with_capacity(rules.len());
        for rule in rules {
            let told = rule.methods.iter().fold(0, |bits, method| bits | method.bit());
            let methods = if rule.methods.is_empty() { ALL_METHODS } else { told };
            let prefix = texts.shared(&rule.prefix);
            let mut line =
                |class| lines.push(Line { allow: rule.allow, methods, class, prefix: prefix.clone() });
            match rule.classes.is_empty() {
                true => line(None),
                false => rule.classes.iter().for_each(|class| line(Some(texts.shared(class)))),
            }
        }
        Rights(lines.into())
    }

    /// A method that no rule can name is forbidden.
    pub fn allow(&self, class: &str, method: &str, object: &str) -> bool {
        let Some(method) = Method::of(method) else { return false };
        let fits = |line: &&Line| {
            line.methods & method.bit() != 0
                && line.class.as_deref().is_none_or(|held| held == class)
                && object.starts_with(&*line.prefix)
        };
        self.0.iter().find(fits).is_some_and(|line| line.allow)
    }
}
