//! One way to write a file: as it is read by people, comments kept, and as a single text for others to take in.

use crate::diagnostic::Diagnostic;
use crate::files::SourceText;
use crate::item::Item;
use std::fmt::Write;

/// A text in the one form: four blanks a level, a node a line. Twice is the same as once.
///
/// # Errors
///
/// If the text is not KDL.
pub fn format(name: &str, text: &str) -> Result<String, Diagnostic> {
    let text = SourceText { file: name.into(), text: text.into() };
    let mut document = text.parse()?;
    document.autoformat();
    let mut formatted = document.to_string().trim().to_string();
    formatted.push('\n');
    Ok(formatted)
}

/// Items as one text, with whatever was included in its place and without comments. It reads as the same items.
pub fn flat(items: &[Item]) -> String {
    let mut text = String::new();
    for item in items {
        write_item(item, 0, &mut text);
    }
    text
}

fn write_item(item: &Item, depth: usize, text: &mut String) {
    // Writing to a string does not fail.
    let _ = write!(text, "{:1$}{2}", "", depth * 4, item.name());
    for entry in item.node().entries() {
        let _ = match entry.name() {
            Some(name) => write!(text, " {}={}", name.value(), entry.value()),
            None => write!(text, " {}", entry.value()),
        };
    }
    if item.children().is_empty() {
        text.push('\n');
        return;
    }
    text.push_str(" {\n");
    for child in item.children() {
        write_item(child, depth + 1, text);
    }
    let _ = writeln!(text, "{:1$}}}", "", depth * 4);
}
