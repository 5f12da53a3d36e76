//! What the checker finds wrong with a file, and where.

use miette::{SourceCode, SourceSpan};
use std::error::Error;
use std::fmt;

/// Diagnostics that one run reports; beyond, it only says how many more there are.
pub const MAX_DIAGNOSTICS: usize = 100;

/// A place in a text. Lines and columns count from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The line.
    pub line: usize,
    /// The column, in characters.
    pub column: usize,
}

impl Position {
    fn of(text: &str, span: SourceSpan) -> Option<Position> {
        if text.is_empty() {
            return None;
        }
        let contents = text.read_span(&span, 0, 0).ok()?;
        Some(Position { line: contents.line() + 1, column: contents.column() + 1 })
    }
}

/// One finding in a text.
#[derive(Clone, Debug)]
pub struct Diagnostic {
    file: String,
    position: Option<Position>,
    cause: String,
}

impl Diagnostic {
    pub(crate) fn new(file: &str, text: &str, span: SourceSpan, cause: impl fmt::Display) -> Diagnostic {
        Diagnostic { file: file.into(), position: Position::of(text, span), cause: cause.to_string() }
    }

    /// A finding about a file as a whole, such as one that could not be read.
    pub fn unreadable(file: &str, cause: impl fmt::Display) -> Diagnostic {
        Diagnostic { file: file.into(), position: None, cause: cause.to_string() }
    }

    /// The file's name.
    pub fn file(&self) -> &str {
        &self.file
    }

    /// The place in the file. `None`: the finding is about the file as a whole.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// What is wrong, without file and place.
    pub fn cause(&self) -> &str {
        &self.cause
    }
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:", self.file)?;
        if let Some(Position { line, column }) = self.position {
            write!(f, "{line}:{column}:")?;
        }
        write!(f, " {}", self.cause)
    }
}

impl Error for Diagnostic {}

/// All diagnostics of a run, in the order of files and places.
#[derive(Clone, Debug, Default)]
pub struct Diagnostics {
    list: Vec<Diagnostic>,
    /// Those beyond [`MAX_DIAGNOSTICS`].
    omitted: usize,
}

impl Diagnostics {
    /// Adds a diagnostic.
    pub fn push(&mut self, diagnostic: Diagnostic) {
        if self.list.len() < MAX_DIAGNOSTICS {
            self.list.push(diagnostic);
        } else {
            self.omitted += 1;
        }
    }

    /// Keeps the diagnostic of what failed, and returns what did not.
    pub fn record<T>(&mut self, read: Result<T, Diagnostic>) -> Option<T> {
        read.map_err(|diagnostic| self.push(diagnostic)).ok()
    }

    /// Whether nothing was found.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// At most [`MAX_DIAGNOSTICS`] of them.
    pub fn list(&self) -> &[Diagnostic] {
        &self.list
    }

    /// What was read, if nothing was found.
    ///
    /// # Errors
    ///
    /// All diagnostics, sorted, if there are any.
    pub fn into_result<T>(mut self, read: T) -> Result<T, Diagnostics> {
        if self.list.is_empty() {
            return Ok(read);
        }
        self.list.sort_by_cached_key(|diagnostic| (diagnostic.file.clone(), diagnostic.position));
        Err(self)
    }
}

impl From<Diagnostic> for Diagnostics {
    fn from(diagnostic: Diagnostic) -> Diagnostics {
        Diagnostics { list: vec![diagnostic], omitted: 0 }
    }
}

impl fmt::Display for Diagnostics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, diagnostic) in self.list.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{diagnostic}")?;
        }
        if self.omitted > 0 {
            write!(f, "\nand {} more", self.omitted)?;
        }
        Ok(())
    }
}

impl Error for Diagnostics {}
