//! Splits a text into the tokens of KDL.

use super::{Located, MAX_COMMENT_PIECES, SyntaxError};
use std::ops::Range;

/// A token. Names and texts are not told apart from each other: both are strings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Token {
    /// Blanks, block comments and line continuations.
    Space,
    /// The end of a line, with the comment before it.
    LineEnd,
    Semicolon,
    OpenBlock,
    CloseBlock,
    OpenType,
    CloseType,
    Equals,
    /// `/-`.
    Slashdash,
    /// An identifier, a quoted or a raw string.
    String,
    /// A number or a keyword.
    Value,
    /// The end of the text.
    End,
}

pub(super) struct Lexer<'a> {
    text: &'a str,
    position: usize,
}

/// Quotes of a multi-line string.
const TRIPLE_QUOTES: &str = "\"\"\"";

impl<'a> Lexer<'a> {
    pub(super) fn new(text: &'a str) -> Lexer<'a> {
        let position = if text.starts_with('\u{FEFF}') { '\u{FEFF}'.len_utf8() } else { 0 };
        Lexer { text, position }
    }

    /// The offset of the next token, in bytes.
    pub(super) fn position(&self) -> usize {
        self.position
    }

    /// Goes back to the offset of a token.
    pub(super) fn seek(&mut self, position: usize) {
        self.position = position;
    }

    pub(super) fn next(&mut self) -> Located<(Token, Range<usize>)> {
        let start = self.position;
        let token = self.token()?;
        Ok((token, start..self.position))
    }

    fn token(&mut self) -> Located<Token> {
        let Some(first) = self.peek() else { return Ok(Token::End) };
        let single = match first {
            ';' => Some(Token::Semicolon),
            '{' => Some(Token::OpenBlock),
            '}' => Some(Token::CloseBlock),
            '(' => Some(Token::OpenType),
            ')' => Some(Token::CloseType),
            '=' => Some(Token::Equals),
            _ => None,
        };
        if let Some(token) = single {
            self.advance(first);
            return Ok(token);
        }
        if self.eat("/-") {
            return Ok(Token::Slashdash);
        }
        if self.eat_newline() || self.eat_line_comment() {
            return Ok(Token::LineEnd);
        }
        if self.eat_space()? {
            return Ok(Token::Space);
        }
        let token = match first {
            '"' => self.quoted_string()?,
            '#' => self.raw_string_or_keyword()?,
            _ => self.word()?,
        };
        if !self.is_at_value_end() {
            return Err((self.here(), SyntaxError::ValueEnd));
        }
        Ok(token)
    }

    fn rest(&self) -> &'a str {
        &self.text[self.position..]
    }

    fn peek(&self) -> Option<char> {
        self.rest().chars().next()
    }

    fn advance(&mut self, char: char) {
        self.position += char.len_utf8();
    }

    /// The place of the next character.
    fn here(&self) -> Range<usize> {
        self.position..self.position + self.peek().map_or(0, char::len_utf8)
    }

    fn eat(&mut self, text: &str) -> bool {
        let found = self.rest().starts_with(text);
        if found {
            self.position += text.len();
        }
        found
    }

    fn eat_newline(&mut self) -> bool {
        if self.eat("\r\n") {
            return true;
        }
        let Some(newline) = self.peek().filter(|char| is_newline(*char)) else { return false };
        self.advance(newline);
        true
    }

    /// Passes over a comment up to the end of its line, and the end.
    fn eat_line_comment(&mut self) -> bool {
        if !self.eat("//") {
            return false;
        }
        self.position += self.rest().find(is_newline).unwrap_or(self.rest().len());
        self.eat_newline();
        true
    }

    /// Passes over blanks, block comments and line continuations.
    fn eat_space(&mut self) -> Located<bool> {
        let start = self.position;
        loop {
            self.eat_blanks();
            if self.rest().starts_with("/*") {
                self.block_comment()?;
            } else if self.rest().starts_with('\\') {
                self.line_continuation()?;
            } else {
                return Ok(self.position > start);
            }
        }
    }

    fn eat_blanks(&mut self) {
        let rest = self.rest();
        self.position += rest.find(|char| !is_blank(char)).unwrap_or(rest.len());
    }

    fn block_comment(&mut self) -> Located<()> {
        let start = self.position;
        let (mut depth, mut pieces) = (0_usize, 0_usize);
        loop {
            let length = if self.rest().starts_with("/*") {
                depth += 1;
                2
            } else if self.rest().starts_with("*/") {
                depth -= 1;
                2
            } else {
                let text = self.rest().find(['*', '/']).unwrap_or(self.rest().len());
                if self.rest().is_empty() {
                    return Err((start..start + 2, SyntaxError::UnclosedComment));
                }
                text.max(1)
            };
            self.position += length;
            pieces += 1;
            if depth == 0 {
                return Ok(());
            }
            if pieces > MAX_COMMENT_PIECES {
                return Err((start..start + 2, SyntaxError::LongComment));
            }
        }
    }

    /// Passes over a backslash and the rest of its line, which may hold blanks and comments alone.
    fn line_continuation(&mut self) -> Located<()> {
        let place = self.here();
        self.position += 1;
        loop {
            self.eat_blanks();
            if !self.rest().starts_with("/*") {
                break;
            }
            self.block_comment()?;
        }
        let ended = self.eat_newline() || self.eat_line_comment() || self.rest().is_empty();
        if ended { Ok(()) } else { Err((place, SyntaxError::Character)) }
    }

    /// Whether a value may end here.
    fn is_at_value_end(&self) -> bool {
        let Some(next) = self.peek() else { return true };
        matches!(next, '=' | ')' | '{' | '}' | ';' | '\\')
            || is_newline(next)
            || is_blank(next)
            || self.rest().starts_with("//")
            || self.rest().starts_with("/*")
    }

    /// Reads an identifier or a number.
    fn word(&mut self) -> Located<Token> {
        let rest = self.rest();
        let start = self.position;
        let word = &rest[..rest.find(|char| !is_identifier_char(char)).unwrap_or(rest.len())];
        let unsigned = word.strip_prefix(['+', '-']).unwrap_or(word);
        let numeric = unsigned.strip_prefix('.').unwrap_or(unsigned);
        let place = start..start + word.len();
        self.position += word.len();
        if word.is_empty() {
            return Err((self.here(), SyntaxError::Character));
        }
        if numeric.starts_with(|char: char| char.is_ascii_digit()) {
            return if is_number(unsigned) { Ok(Token::Value) } else { Err((place, SyntaxError::Number)) };
        }
        match word {
            "true" | "false" | "null" | "inf" | "-inf" | "nan" => Err((place, SyntaxError::Keyword)),
            _ => Ok(Token::String),
        }
    }

    fn quoted_string(&mut self) -> Located<Token> {
        let start = self.position;
        if self.eat(TRIPLE_QUOTES) {
            return self.multi_line_string(start, "", true);
        }
        self.position += 1;
        loop {
            match self.peek() {
                None => return Err((start..start + 1, SyntaxError::UnclosedString)),
                Some('"') => break self.position += 1,
                Some('\\') => self.escape()?,
                Some(char) if is_newline(char) => return Err((self.here(), SyntaxError::NewlineInString)),
                Some(char) if is_disallowed(char) => return Err((self.here(), SyntaxError::Character)),
                Some(char) => self.advance(char),
            }
        }
        Ok(Token::String)
    }

    fn escape(&mut self) -> Located<()> {
        let place = self.here();
        self.position += 1;
        let invalid = Err((place, SyntaxError::Escape));
        let Some(escaped) = self.peek() else { return invalid };
        if is_blank(escaped) || is_newline(escaped) {
            let rest = self.rest();
            let blanks = rest.find(|char| !is_blank(char) && !is_newline(char));
            self.position += blanks.unwrap_or(rest.len());
            return Ok(());
        }
        self.advance(escaped);
        match escaped {
            '\\' | '"' | 'b' | 'f' | 'n' | 'r' | 't' | 's' => Ok(()),
            'u' => {
                let code = self.rest().strip_prefix('{').and_then(|rest| rest.split_once('}'));
                let Some((digits, _)) = code else { return invalid };
                let is_code =
                    (1..=6).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_hexdigit());
                let number = u32::from_str_radix(digits, 16).ok().filter(|_| is_code);
                self.position += digits.len() + 2;
                if number.and_then(char::from_u32).is_some() { Ok(()) } else { invalid }
            }
            _ => invalid,
        }
    }

    fn raw_string_or_keyword(&mut self) -> Located<Token> {
        let start = self.position;
        let rest = self.rest();
        let hashes = &rest[..rest.find(|char| char != '#').unwrap_or(rest.len())];
        self.position += hashes.len();
        if !self.rest().starts_with('"') {
            return self.keyword(start);
        }
        let rest = self.rest();
        if let Some(body) = rest.strip_prefix(TRIPLE_QUOTES).filter(|body| body.starts_with(is_newline)) {
            self.position += rest.len() - body.len();
            return self.multi_line_string(start, hashes, false);
        }
        self.position += 1;
        let closing = format!("\"{hashes}");
        let unclosed = (start..start + 1, SyntaxError::UnclosedString);
        let length = self.rest().find(&closing).ok_or(unclosed)?;
        let body = &self.rest()[..length];
        if let Some(found) = body.find(|char| is_newline(char) || is_disallowed(char)) {
            let place = self.position + found;
            return Err((place..place, SyntaxError::NewlineInString));
        }
        if body == "\"" {
            return Err((start..start + 1, SyntaxError::UnclosedString));
        }
        self.position += length + closing.len();
        Ok(Token::String)
    }

    fn keyword(&mut self, start: usize) -> Located<Token> {
        let rest = &self.text[start..];
        let length = rest.find(|char| !is_identifier_char(char) && char != '#').unwrap_or(rest.len());
        let keyword = &rest[..length];
        self.position = start + length;
        match keyword {
            "#true" | "#false" | "#null" | "#inf" | "#-inf" | "#nan" => Ok(Token::Value),
            _ => Err((start..start + length, SyntaxError::Keyword)),
        }
    }

    /// Reads a multi-line string after its opening quotes. Every line starts with the blanks that stand before the closing
    /// quotes, or is blank.
    fn multi_line_string(&mut self, start: usize, hashes: &str, has_escapes: bool) -> Located<Token> {
        let closing = format!("{TRIPLE_QUOTES}{hashes}");
        let unclosed = (start..start + 1, SyntaxError::UnclosedString);
        if !self.eat_newline() {
            return Err((self.here(), SyntaxError::UnclosedString));
        }
        let mut lines = Vec::new();
        loop {
            let line = self.position;
            self.eat_blanks();
            let prefix = &self.text[line..self.position];
            if self.eat(&closing) {
                return self.check_indentation(&lines, prefix).map(|()| Token::String);
            }
            lines.push(line);
            while !self.eat_newline() {
                match self.peek() {
                    None => return Err(unclosed),
                    Some('\\') if has_escapes => self.escape()?,
                    Some(_) if self.rest().starts_with(&closing) => {
                        return Err((self.here(), SyntaxError::UnclosedString));
                    }
                    Some(char) if is_disallowed(char) => return Err((self.here(), SyntaxError::Character)),
                    Some(char) => self.advance(char),
                }
            }
        }
    }

    fn check_indentation(&self, lines: &[usize], prefix: &str) -> Located<()> {
        for line in lines {
            let text = &self.text[*line..];
            let is_blank_line = text.trim_start_matches(is_blank).starts_with(is_newline);
            if !text.starts_with(prefix) && !is_blank_line {
                return Err((*line..*line, SyntaxError::StringIndentation));
            }
        }
        Ok(())
    }
}

fn is_newline(char: char) -> bool {
    matches!(char, '\r' | '\n' | '\u{85}' | '\u{B}' | '\u{C}' | '\u{2028}' | '\u{2029}')
}

fn is_blank(char: char) -> bool {
    matches!(
        char,
        '\t' | ' ' | '\u{A0}' | '\u{1680}' | '\u{2000}'..='\u{200A}' | '\u{202F}' | '\u{205F}' | '\u{3000}'
    )
}

/// Whether a character may not stand in a text at all.
fn is_disallowed(char: char) -> bool {
    matches!(char, '\0'..='\u{8}' | '\u{E}'..='\u{1F}' | '\u{200E}' | '\u{200F}' | '\u{202A}'..='\u{202E}'
        | '\u{2066}'..='\u{2069}' | '\u{FEFF}')
}

fn is_identifier_char(char: char) -> bool {
    let is_punctuation =
        matches!(char, '\\' | '/' | '(' | ')' | '{' | '}' | '[' | ']' | ';' | '"' | '#' | '=');
    !(is_punctuation || is_newline(char) || is_blank(char) || is_disallowed(char))
}

/// Whether a text without its sign is a number.
fn is_number(text: &str) -> bool {
    for (prefixes, radix) in [(["0x", "0X"], 16), (["0o", "0O"], 8), (["0b", "0B"], 2)] {
        if let Some(digits) = prefixes.iter().find_map(|prefix| text.strip_prefix(prefix)) {
            return is_integer(digits, radix);
        }
    }
    let (mantissa, exponent) = text.split_once(['e', 'E']).map_or((text, None), |(m, e)| (m, Some(e)));
    let (whole, fraction) = mantissa.split_once('.').map_or((mantissa, None), |(w, f)| (w, Some(f)));
    let exponent = exponent.map(|exponent| exponent.strip_prefix(['+', '-']).unwrap_or(exponent));
    [Some(whole), fraction, exponent].into_iter().flatten().all(|digits| is_integer(digits, 10))
}

fn is_integer(digits: &str, radix: u32) -> bool {
    let starts_with_digit = digits.starts_with(|char: char| char.is_digit(radix));
    starts_with_digit && i128::from_str_radix(&digits.replace('_', ""), radix).is_ok()
}
