//! Texts by name, and how they include each other.

use crate::diagnostic::Diagnostic;
use crate::syntax::check;
use kdl::{KdlDocument, KdlNode};
use miette::SourceSpan;
use std::fmt::Display;
use std::io;
use std::path::{Component, Path, PathBuf};
use std::rc::Rc;
use thiserror::Error;

/// Bytes of all texts of a run together.
pub const MAX_BYTES: usize = 32 * 1024 * 1024;
/// The stack of a thread that parses texts: several times what a text at the bounds of the syntax check needs.
pub const PARSER_STACK_BYTES: usize = 4 * 1024 * 1024;
/// Texts of a run.
const MAX_FILES: usize = 1_000;
/// How deep texts may include each other.
const MAX_DEPTH: usize = 16;

/// Why a text could not be had.
#[derive(Debug, Error)]
pub enum FileError {
    /// It could not be read.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// It is larger than any text may be.
    #[error("{bytes} bytes are too many")]
    TooLarge {
        /// Its size.
        bytes: u64,
    },
    /// There is only one text.
    #[error("nothing can be included here")]
    NothingToInclude,
}

/// Why an include was turned down.
#[derive(Debug, Error)]
enum IncludeError {
    #[error("an include takes one file's name")]
    NotOneName,
    #[error("an include that includes itself: {}", files.join(" -> "))]
    Cycle { files: Vec<String> },
    #[error("included over {MAX_DEPTH} deep")]
    TooDeep,
    #[error("over {MAX_FILES} files or {MAX_BYTES} bytes in all")]
    TooMuch,
    #[error("{name}: {source}")]
    Unreadable { name: String, source: FileError },
}

/// Where texts come from. A name is a path, as a file says it from its own folder.
pub trait Files {
    /// Reads a text.
    ///
    /// # Errors
    ///
    /// If there is no such text, or it can't be read.
    fn read(&self, name: &str) -> Result<String, FileError>;

    /// The name of what a file calls `name`: from the file's own folder, without `.` and `..` where possible.
    fn resolve(&self, file: &str, name: &str) -> String {
        let folder = Path::new(file).parent().unwrap_or(Path::new(""));
        let mut resolved = PathBuf::new();
        for part in folder.join(name).components() {
            match part {
                Component::CurDir => {}
                Component::ParentDir if resolved.file_name().is_some() => {
                    resolved.pop();
                }
                part => resolved.push(part),
            }
        }
        resolved.to_string_lossy().into_owned()
    }
}

/// A single text, which includes nothing.
pub struct OneFile<'a> {
    /// Its name in messages.
    pub name: &'a str,
    /// What it holds.
    pub text: &'a str,
}

impl Files for OneFile<'_> {
    fn read(&self, name: &str) -> Result<String, FileError> {
        if name == self.name { Ok(self.text.into()) } else { Err(FileError::NothingToInclude) }
    }
}

/// A text with its name, for places and paths.
#[derive(Debug)]
pub(crate) struct SourceText {
    pub(crate) file: String,
    pub(crate) text: String,
}

impl SourceText {
    pub(crate) fn parse(&self) -> Result<KdlDocument, Diagnostic> {
        check(&self.text).map_err(|(place, error)| self.diagnostic(place.into(), error))?;
        KdlDocument::parse(&self.text).map_err(|error| {
            let first = error.diagnostics.first();
            let span = first.map_or((0, 0).into(), |first| first.span);
            let message = first.and_then(|first| first.message.clone().or(first.label.clone()));
            self.diagnostic(span, message.unwrap_or_else(|| "not KDL".into()))
        })
    }

    /// A finding at a place of this text.
    pub(crate) fn diagnostic(&self, span: SourceSpan, cause: impl Display) -> Diagnostic {
        Diagnostic::new(&self.file, &self.text, span, cause)
    }
}

/// A node and the text that it stands in. What a text includes stands in the place of its `include`.
pub(crate) struct SourceNode {
    pub(crate) text: Rc<SourceText>,
    pub(crate) node: KdlNode,
    pub(crate) children: Vec<SourceNode>,
}

impl SourceNode {
    /// A finding at the node's name.
    pub(crate) fn diagnostic(&self, cause: impl Display) -> Diagnostic {
        self.text.diagnostic(self.node.name().span(), cause)
    }
}

/// Parses a text that stands alone, whatever its nodes mean.
///
/// # Errors
///
/// The first error and its place, if the text is not KDL or exceeds the bounds of the syntax check.
pub fn parse_document(name: &str, text: &str) -> Result<KdlDocument, Diagnostic> {
    SourceText { file: name.into(), text: text.into() }.parse()
}

/// Reads a file and all that it includes.
pub(crate) fn read_with_includes(name: &str, files: &dyn Files) -> Result<Vec<SourceNode>, Diagnostic> {
    let mut loader = Loader { files, file_count: 0, byte_count: 0, open: Vec::new() };
    loader.load(name).map_err(|error| match error {
        LoadError::Parse(diagnostic) => diagnostic,
        LoadError::Include(IncludeError::Unreadable { source, .. }) => Diagnostic::unreadable(name, source),
        LoadError::Include(error) => Diagnostic::unreadable(name, error),
    })
}

/// Why a file was not loaded.
enum LoadError {
    /// A finding in the file or in one that it includes.
    Parse(Diagnostic),
    /// Its `include`, or whoever else asked for it, is turned down.
    Include(IncludeError),
}

impl From<Diagnostic> for LoadError {
    fn from(diagnostic: Diagnostic) -> LoadError {
        LoadError::Parse(diagnostic)
    }
}

impl From<IncludeError> for LoadError {
    fn from(error: IncludeError) -> LoadError {
        LoadError::Include(error)
    }
}

struct Loader<'a> {
    files: &'a dyn Files,
    file_count: usize,
    byte_count: usize,
    /// The files that include each other down to here.
    open: Vec<String>,
}

impl Loader<'_> {
    fn load(&mut self, name: &str) -> Result<Vec<SourceNode>, LoadError> {
        let text = self.read(name)?;
        let document = text.parse()?;
        self.open.push(name.into());
        let nodes = self.nodes(&text, document.nodes())?;
        self.open.pop();
        Ok(nodes)
    }

    fn read(&mut self, name: &str) -> Result<Rc<SourceText>, IncludeError> {
        if let Some(first) = self.open.iter().position(|open| open == name) {
            let mut files = self.open[first..].to_vec();
            files.push(name.into());
            return Err(IncludeError::Cycle { files });
        }
        if self.open.len() >= MAX_DEPTH {
            return Err(IncludeError::TooDeep);
        }
        let text = self.files.read(name);
        let text = text.map_err(|source| IncludeError::Unreadable { name: name.into(), source })?;
        self.file_count += 1;
        self.byte_count += text.len();
        if self.file_count > MAX_FILES || self.byte_count > MAX_BYTES {
            return Err(IncludeError::TooMuch);
        }
        Ok(Rc::new(SourceText { file: name.into(), text }))
    }

    fn nodes(&mut self, text: &Rc<SourceText>, nodes: &[KdlNode]) -> Result<Vec<SourceNode>, Diagnostic> {
        let mut placed = Vec::with_capacity(nodes.len());
        for node in nodes {
            if node.name().value() == "include" {
                placed.extend(self.include(text, node)?);
                continue;
            }
            let children = match node.children() {
                Some(children) => self.nodes(text, children.nodes())?,
                None => Vec::new(),
            };
            placed.push(SourceNode { text: text.clone(), node: node.clone(), children });
        }
        Ok(placed)
    }

    /// What an `include` stands for.
    fn include(&mut self, text: &SourceText, node: &KdlNode) -> Result<Vec<SourceNode>, Diagnostic> {
        let turned_down = |error: IncludeError| text.diagnostic(node.name().span(), error);
        let name = included_name(node).ok_or_else(|| turned_down(IncludeError::NotOneName))?;
        let name = self.files.resolve(&text.file, name);
        self.load(&name).map_err(|error| match error {
            LoadError::Parse(diagnostic) => diagnostic,
            LoadError::Include(error) => turned_down(error),
        })
    }
}

/// The one value of an `include` with nothing else.
fn included_name(node: &KdlNode) -> Option<&str> {
    match node.entries() {
        [entry] if entry.name().is_none() && node.children().is_none() => entry.value().as_string(),
        _ => None,
    }
}
