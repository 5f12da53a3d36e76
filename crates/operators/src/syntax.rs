//! Checks that a text is well-formed KDL within bounds, in one pass and without recursion.
//!
//! The parser of the `kdl` crate recurses once for each open block, for each piece of a block comment and, after an error
//! that it recovers from, for each stray character. A text from outside could so exhaust the stack of its thread, which ends
//! the process. The library is therefore given only texts that [`check`] accepts: they are free of errors, so that the
//! library never recovers, and nested at most [`MAX_BLOCK_DEPTH`] deep.

mod lexer;

use lexer::{Lexer, Token};
use std::ops::Range;
use thiserror::Error;

/// How many blocks may stand one in another.
pub const MAX_BLOCK_DEPTH: usize = 32;
/// How many parts that are commented out by `/-` may stand one in another. The library reads each up to three times.
const MAX_SLASHDASH_DEPTH: usize = 3;
/// How many `*`, `/` and texts between them a block comment may hold.
const MAX_COMMENT_PIECES: usize = 500;

/// What is wrong with a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum SyntaxError {
    #[error("blocks are nested over {MAX_BLOCK_DEPTH} deep; a closing '}}' may be missing")]
    TooDeep,
    #[error("parts commented out by '/-' are nested over {MAX_SLASHDASH_DEPTH} deep")]
    TooManySlashdashes,
    #[error("a block comment with over {MAX_COMMENT_PIECES} '*', '/' and texts between them; use '//'")]
    LongComment,
    #[error("No closing '}}' for child block")]
    UnclosedBlock,
    #[error("a closing '}}' without an opening one")]
    UnopenedBlock,
    #[error("Found invalid node name")]
    NodeName,
    #[error("Found child block instead of node name")]
    BlockWithoutName,
    #[error("expected a value, a child block or the end of the node")]
    NodeEnd,
    #[error("expected a property value")]
    PropertyValue,
    #[error("invalid contents inside type annotation")]
    TypeAnnotation,
    #[error("a block comment without its closing '*/'")]
    UnclosedComment,
    #[error("a string without its closing quotes")]
    UnclosedString,
    #[error("Unexpected newline in single-line quoted string")]
    NewlineInString,
    #[error("a line of a multi-line string does not start with the blanks before its closing quotes")]
    StringIndentation,
    #[error("invalid escape in a string")]
    Escape,
    #[error("a character that is not allowed here")]
    Character,
    #[error("a number that can't be read")]
    Number,
    #[error("a keyword that is none: #true, #false, #null, #inf, #-inf and #nan are")]
    Keyword,
    #[error("a value that is not followed by a blank, a block or the end of the node")]
    ValueEnd,
}

/// An error and its place, as a range of bytes.
pub(crate) type Located<T> = Result<T, (Range<usize>, SyntaxError)>;

/// What may still follow in a node, after its name.
#[derive(Clone, Copy)]
struct NodeState {
    /// Whether the node is commented out by `/-`.
    slashdashed: bool,
    accepts_entries: bool,
    accepts_block: bool,
}

/// An open block.
struct Block {
    /// Where it opens.
    start: usize,
    /// Whether it, or the node that it belongs to, is commented out by `/-`.
    slashdashed: bool,
    /// What may follow in its node once it is closed.
    node: NodeState,
}

/// Checks a text.
///
/// # Errors
///
/// The first error and its place.
pub(crate) fn check(text: &str) -> Located<()> {
    Checker { lexer: Lexer::new(text), open: Vec::new() }.document()
}

struct Checker<'a> {
    lexer: Lexer<'a>,
    open: Vec<Block>,
}

impl Checker<'_> {
    fn document(&mut self) -> Located<()> {
        let mut node = self.next_node()?;
        while let Some(state) = node {
            node = self.rest_of_node(state)?;
        }
        Ok(())
    }

    /// Reads up to the name of the next node, or to the end of the block or text. `None`: the text has ended.
    fn next_node(&mut self) -> Located<Option<NodeState>> {
        let mut slashdashed = false;
        loop {
            let (token, place) = self.lexer.next()?;
            match token {
                Token::Space | Token::LineEnd => {}
                Token::Slashdash if !slashdashed => slashdashed = true,
                Token::OpenType => {
                    self.rest_of_type()?;
                    let (token, place) = self.next_beyond_space()?;
                    if token != Token::String {
                        return Err((place, SyntaxError::NodeName));
                    }
                    return Ok(Some(NodeState { slashdashed, accepts_entries: true, accepts_block: true }));
                }
                Token::String => {
                    return Ok(Some(NodeState { slashdashed, accepts_entries: true, accepts_block: true }));
                }
                Token::CloseBlock if !slashdashed => {
                    let closed = self.open.pop().ok_or((place, SyntaxError::UnopenedBlock))?;
                    return Ok(Some(closed.node));
                }
                Token::End if !slashdashed => {
                    return match self.open.last() {
                        Some(block) => Err((block.start..block.start + 1, SyntaxError::UnclosedBlock)),
                        None => Ok(None),
                    };
                }
                Token::OpenBlock => return Err((place, SyntaxError::BlockWithoutName)),
                _ => return Err((place, SyntaxError::NodeName)),
            }
        }
    }

    /// Reads the entries and the block of a node, up to its end or into its block, and on to the next node.
    fn rest_of_node(&mut self, state: NodeState) -> Located<Option<NodeState>> {
        let mut after_space = false;
        loop {
            let start = self.lexer.position();
            let (token, place) = self.lexer.next()?;
            match token {
                Token::Space => {
                    after_space = true;
                    continue;
                }
                Token::LineEnd => return self.next_node(),
                Token::Semicolon if !state.slashdashed => return self.next_node(),
                Token::CloseBlock | Token::End => {
                    self.lexer.seek(start);
                    return self.next_node();
                }
                Token::OpenBlock if state.accepts_block => {
                    let node = NodeState { accepts_entries: false, accepts_block: false, ..state };
                    self.open_block(place.start, state.slashdashed, node)?;
                    return self.next_node();
                }
                Token::Slashdash if after_space => {
                    let (token, place) = self.next_beyond_lines()?;
                    if token == Token::OpenBlock {
                        let node = NodeState { accepts_entries: false, ..state };
                        self.open_block(place.start, true, node)?;
                        return self.next_node();
                    }
                    if state.slashdashed && !state.accepts_entries {
                        self.lexer.seek(start);
                        return self.next_node();
                    }
                    self.entry(state, token, place)?;
                }
                _ if after_space && state.accepts_entries => self.entry(state, token, place)?,
                // The library wants no end of a line behind a node that is commented out.
                _ if state.slashdashed => {
                    self.lexer.seek(start);
                    return self.next_node();
                }
                _ => return Err((place, SyntaxError::NodeEnd)),
            }
            after_space = false;
        }
    }

    fn open_block(&mut self, start: usize, slashdashed: bool, node: NodeState) -> Located<()> {
        self.open.push(Block { start, slashdashed, node });
        let commented_out = self.open.iter().filter(|block| block.slashdashed).count();
        let place = start..start + 1;
        if self.open.len() > MAX_BLOCK_DEPTH {
            return Err((place, SyntaxError::TooDeep));
        }
        if commented_out > MAX_SLASHDASH_DEPTH {
            return Err((place, SyntaxError::TooManySlashdashes));
        }
        Ok(())
    }

    /// Reads an argument or a property, whose first token was read.
    fn entry(&mut self, state: NodeState, token: Token, place: Range<usize>) -> Located<()> {
        if !state.accepts_entries {
            return Err((place, SyntaxError::NodeEnd));
        }
        match token {
            Token::Value => return Ok(()),
            Token::OpenType => return self.typed_value(),
            Token::String => {}
            _ => return Err((place, SyntaxError::NodeEnd)),
        }
        let end = self.lexer.position();
        if self.next_beyond_space()?.0 != Token::Equals {
            self.lexer.seek(end);
            return Ok(());
        }
        match self.next_beyond_space()? {
            (Token::String | Token::Value, _) => Ok(()),
            (Token::OpenType, _) => self.typed_value(),
            (_, place) => Err((place, SyntaxError::PropertyValue)),
        }
    }

    /// Reads the rest of a value with a type annotation.
    fn typed_value(&mut self) -> Located<()> {
        self.rest_of_type()?;
        match self.next_beyond_space()? {
            (Token::String | Token::Value, _) => Ok(()),
            (_, place) => Err((place, SyntaxError::PropertyValue)),
        }
    }

    /// Reads the rest of a type annotation, after its `(`.
    fn rest_of_type(&mut self) -> Located<()> {
        for expected in [Token::String, Token::CloseType] {
            let (token, place) = self.next_beyond_space()?;
            if token != expected {
                return Err((place, SyntaxError::TypeAnnotation));
            }
        }
        Ok(())
    }

    fn next_beyond_space(&mut self) -> Located<(Token, Range<usize>)> {
        loop {
            let next = self.lexer.next()?;
            if next.0 != Token::Space {
                return Ok(next);
            }
        }
    }

    fn next_beyond_lines(&mut self) -> Located<(Token, Range<usize>)> {
        loop {
            let next = self.lexer.next()?;
            if !matches!(next.0, Token::Space | Token::LineEnd) {
                return Ok(next);
            }
        }
    }
}

#[cfg(test)]
mod tests;
