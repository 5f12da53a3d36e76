//! A strict parser for JSON from untrusted sources. It rejects duplicate members, which parsers treat differently
//! (RFC 8725, section 2.4), and documents that exceed limits on size, depth and number of entries.

use serde::de::{self, DeserializeSeed, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Value};
use std::fmt;
use thiserror::Error;

/// The limits on a document.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The maximum size in bytes.
    pub bytes: usize,
    /// The maximum nesting depth of objects and arrays.
    pub depth: usize,
    /// The maximum number of entries of one object or array.
    pub entries: usize,
}

/// Why a document is rejected. Messages state the fault and its position, but never repeat the document's content.
#[derive(Debug, Error)]
pub enum JsonError {
    /// The document exceeds the size limit.
    #[error("{bytes} bytes are over {limit}")]
    TooLarge {
        /// The document's size in bytes.
        bytes: usize,
        /// The maximum size in bytes.
        limit: usize,
    },
    /// The document is not JSON.
    #[error("not JSON at line {} column {}", .0.line(), .0.column())]
    Syntax(#[source] serde_json::Error),
    /// A member appears twice, or the document is nested too deeply or has too many entries.
    #[error(transparent)]
    Structure(serde_json::Error),
    /// The document is followed by further data.
    #[error("more than one document at line {} column {}", .0.line(), .0.column())]
    TrailingData(#[source] serde_json::Error),
    /// The document is JSON but not an object.
    #[error("not an object")]
    NotAnObject,
}

/// Parses an object within `limits`.
///
/// # Errors
///
/// The document exceeds `limits`, is not JSON, is not an object, or has a duplicate member.
pub fn parse_object(bytes: &[u8], limits: Limits) -> Result<Map<String, Value>, JsonError> {
    if bytes.len() > limits.bytes {
        return Err(JsonError::TooLarge { bytes: bytes.len(), limit: limits.bytes });
    }
    let mut input = serde_json::Deserializer::from_slice(bytes);
    let value = StrictValue { depth: limits.depth, entries: limits.entries }.deserialize(&mut input);
    let value = value.map_err(|error| match error.classify() {
        // The errors of `StrictValue`, which do not repeat the input.
        serde_json::error::Category::Data => JsonError::Structure(error),
        _ => JsonError::Syntax(error),
    })?;
    input.end().map_err(JsonError::TrailingData)?;
    match value {
        Value::Object(members) => Ok(members),
        _ => Err(JsonError::NotAnObject),
    }
}

/// A deserializer seed for a value, with the limits that remain at its depth.
#[derive(Clone, Copy)]
struct StrictValue {
    depth: usize,
    entries: usize,
}

impl StrictValue {
    fn for_nested_value<E: de::Error>(self) -> Result<StrictValue, E> {
        let depth = self.depth.checked_sub(1).ok_or_else(|| E::custom("nested too deeply"))?;
        Ok(StrictValue { depth, ..self })
    }
}

impl<'de> DeserializeSeed<'de> for StrictValue {
    type Value = Value;

    fn deserialize<D: de::Deserializer<'de>>(self, input: D) -> Result<Value, D::Error> {
        input.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for StrictValue {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("JSON")
    }

    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_f64<E>(self, value: f64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut input: A) -> Result<Value, A::Error> {
        let inner = self.for_nested_value()?;
        let mut list = Vec::new();
        while let Some(value) = input.next_element_seed(inner)? {
            if list.len() == self.entries {
                return Err(de::Error::custom("too many entries"));
            }
            list.push(value);
        }
        Ok(Value::Array(list))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut input: A) -> Result<Value, A::Error> {
        let inner = self.for_nested_value()?;
        let mut members = Map::new();
        while let Some(key) = input.next_key::<String>()? {
            if members.len() == self.entries {
                return Err(de::Error::custom("too many entries"));
            }
            if members.contains_key(&key) {
                return Err(de::Error::custom("a member stands twice"));
            }
            let value = input.next_value_seed(inner)?;
            members.insert(key, value);
        }
        Ok(Value::Object(members))
    }
}

#[cfg(test)]
mod tests;
