//! Properties, children and values of a checked node by their types.

use super::Item;
use crate::diagnostic::Diagnostic;
use crate::value::Value;
use ipnet::IpNet;
use sagearch_identity::Millis;
use std::net::SocketAddr;
use std::path::PathBuf;

impl Item {
    /// Makes a value one of a type. `name` is told where it is of another.
    fn typed<T>(
        &self,
        name: &str,
        value: Option<Value>,
        convert: fn(Value) -> Option<T>,
    ) -> Result<Option<T>, Diagnostic> {
        match value {
            None => Ok(None),
            Some(value) => convert(value).map(Some).ok_or_else(|| self.lacks(name)),
        }
    }

    fn required<T>(&self, name: &str, value: Option<T>) -> Result<T, Diagnostic> {
        value.ok_or_else(|| self.lacks(name))
    }

    /// All values behind its name, each of one type.
    fn typed_values<T>(&self, what: &str, convert: fn(Value) -> Option<T>) -> Result<Vec<T>, Diagnostic> {
        let typed = |value| convert(value).ok_or_else(|| self.lacks(what));
        self.values()?.into_iter().map(typed).collect()
    }

    /// A text, if it is stated or has a default.
    ///
    /// # Errors
    ///
    /// If the schema has no such property, or it is of another type.
    pub fn optional_text(&self, name: &str) -> Result<Option<String>, Diagnostic> {
        self.typed(name, self.property(name)?, Value::into_text)
    }

    /// A text, which is stated or has a default.
    ///
    /// # Errors
    ///
    /// If there is no such property, or it is of another type.
    pub fn text(&self, name: &str) -> Result<String, Diagnostic> {
        self.required(name, self.optional_text(name)?)
    }

    /// A flag, which is stated or has a default.
    ///
    /// # Errors
    ///
    /// If there is no such property, or it is of another type.
    pub fn flag(&self, name: &str) -> Result<bool, Diagnostic> {
        self.required(name, self.typed(name, self.property(name)?, Value::into_flag)?)
    }

    /// A number, if it is stated or has a default.
    ///
    /// # Errors
    ///
    /// If the schema has no such property, or it is of another type.
    pub fn optional_number(&self, name: &str) -> Result<Option<u64>, Diagnostic> {
        self.typed(name, self.property(name)?, Value::into_number)
    }

    /// A number, which is stated or has a default.
    ///
    /// # Errors
    ///
    /// If there is no such property, or it is of another type.
    pub fn number(&self, name: &str) -> Result<u64, Diagnostic> {
        self.required(name, self.optional_number(name)?)
    }

    /// A time span or timestamp, if it is stated or has a default.
    ///
    /// # Errors
    ///
    /// If the schema has no such property, or it is of another type.
    pub fn optional_millis(&self, name: &str) -> Result<Option<Millis>, Diagnostic> {
        self.typed(name, self.property(name)?, Value::into_millis)
    }

    /// A time span or timestamp, which is stated or has a default.
    ///
    /// # Errors
    ///
    /// If there is no such property, or it is of another type.
    pub fn millis(&self, name: &str) -> Result<Millis, Diagnostic> {
        self.required(name, self.optional_millis(name)?)
    }

    /// An address, which is stated or has a default.
    ///
    /// # Errors
    ///
    /// If there is no such property, or it is of another type.
    pub fn address(&self, name: &str) -> Result<SocketAddr, Diagnostic> {
        self.required(name, self.typed(name, self.property(name)?, Value::into_address)?)
    }

    /// A path from the folder of the file that states it, if it is stated or has a default.
    ///
    /// # Errors
    ///
    /// If the schema has no such property, or it is of another type.
    pub fn optional_path(&self, name: &str) -> Result<Option<PathBuf>, Diagnostic> {
        let path = self.optional_text(name)?;
        Ok(path.map(|path| self.path_from_file(&path)))
    }

    /// A path from the folder of the file that states it, which is stated or has a default.
    ///
    /// # Errors
    ///
    /// If there is no such property, or it is of another type.
    pub fn path(&self, name: &str) -> Result<PathBuf, Diagnostic> {
        self.required(name, self.optional_path(name)?)
    }

    /// The one text behind its name.
    ///
    /// # Errors
    ///
    /// If there is not exactly one value, or it is no text.
    pub fn one_text(&self) -> Result<String, Diagnostic> {
        match &self.values()?[..] {
            [Value::Text(text)] => Ok(text.clone()),
            _ => Err(self.lacks("a value")),
        }
    }

    /// The texts behind its name.
    ///
    /// # Errors
    ///
    /// If one of the values is no text.
    pub fn texts(&self) -> Result<Vec<String>, Diagnostic> {
        self.typed_values("texts", Value::into_text)
    }

    /// The paths behind its name, each from the folder of the file that states it.
    ///
    /// # Errors
    ///
    /// If one of the values is no path.
    pub fn paths(&self) -> Result<Vec<PathBuf>, Diagnostic> {
        Ok(self.texts()?.iter().map(|path| self.path_from_file(path)).collect())
    }

    /// The networks behind its name.
    ///
    /// # Errors
    ///
    /// If one of the values is no network.
    pub fn networks(&self) -> Result<Vec<IpNet>, Diagnostic> {
        self.typed_values("networks", Value::into_network)
    }

    /// The text of a child, if it is there or has a default.
    ///
    /// # Errors
    ///
    /// If the schema has no such child, or its value is of another type.
    pub fn child_text(&self, name: &str) -> Result<Option<String>, Diagnostic> {
        self.typed(name, self.child_value(name)?, Value::into_text)
    }

    /// The time span of a child, which is there or has a default.
    ///
    /// # Errors
    ///
    /// If there is no such child, or its value is of another type.
    pub fn child_millis(&self, name: &str) -> Result<Millis, Diagnostic> {
        self.required(name, self.typed(name, self.child_value(name)?, Value::into_millis)?)
    }

    /// The number of a child, which is there or has a default.
    ///
    /// # Errors
    ///
    /// If there is no such child, or its value is of another type.
    pub fn child_number(&self, name: &str) -> Result<u64, Diagnostic> {
        self.required(name, self.typed(name, self.child_value(name)?, Value::into_number)?)
    }

    /// The flag of a child, which is there or has a default.
    ///
    /// # Errors
    ///
    /// If there is no such child, or its value is of another type.
    pub fn child_flag(&self, name: &str) -> Result<bool, Diagnostic> {
        self.required(name, self.typed(name, self.child_value(name)?, Value::into_flag)?)
    }
}
