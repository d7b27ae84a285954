//! Blocks of a parsed file, and typed access to their values.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::ops::RangeInclusive;

use hcl_edit::expr::{Expression, UnaryOperator};
use hcl_edit::structure::{Block, Body, Structure};
use hcl_edit::Span;

use crate::document::Source;
use crate::{parse_duration, ConfigError, Micros};

/// Maximum number of characters of an invalid value that an error message quotes.
const MAX_SHOWN_CHARACTERS: usize = 40;
/// Name of the root section in error messages.
const ROOT_NAME: &str = "the file";

/// One block of a file, or the whole file.
///
/// Each method that looks up a key or a kind of block marks it as known, see [`Section::reject_unknown_keys`].
pub struct Section<'a> {
    source: &'a Source,
    body: &'a Body,
    /// Keys and labels from the root to this section, such as `tier.class "report-read"`; empty for the root.
    path: String,
    label: Option<String>,
    /// Byte offset of the section in the file.
    offset: usize,
    /// Keys and kinds of blocks that have been looked up. All others are unknown.
    read_keys: RefCell<BTreeSet<String>>,
}

impl<'a> Section<'a> {
    pub(crate) fn root(source: &'a Source, body: &'a Body) -> Section<'a> {
        Section { source, body, path: String::new(), label: None, offset: 0, read_keys: RefCell::default() }
    }

    /// Returns the section of a block inside this section.
    fn child(&self, block: &'a Block) -> Section<'a> {
        let label = block.labels.first().map(|label| label.as_str().to_string());
        let kind = block.ident.as_str();
        let name = label.as_ref().map_or(kind.to_string(), |label| format!("{kind} \"{label}\""));
        Section {
            source: self.source,
            body: &block.body,
            path: self.key_path(&name),
            label,
            offset: block.ident.span().map_or(0, |span| span.start),
            read_keys: RefCell::default(),
        }
    }

    /// Returns the block's label, such as `report-read` in `class "report-read" { ... }`.
    ///
    /// # Errors
    /// Returns an error if the block has no label.
    pub fn label(&self) -> Result<&str, ConfigError> {
        self.label.as_deref().ok_or_else(|| self.error("expected a label in quotes before the opening brace"))
    }

    /// Creates an error that concerns the section as a whole.
    pub fn error(&self, expected: impl Into<String>) -> ConfigError {
        let key = if self.path.is_empty() { ROOT_NAME.to_string() } else { self.path.clone() };
        self.source.error_at(self.offset, key, expected)
    }

    /// Creates an error that concerns one key. Its position is that of the value, or of the section if the key is not
    /// set.
    pub fn error_at(&self, key: &str, expected: impl Into<String>) -> ConfigError {
        let value = self.body.get_attribute(key).and_then(|attribute| attribute.value.span());
        let offset = value.map_or(self.offset, |span| span.start);
        self.source.error_at(offset, self.key_path(key), expected)
    }

    /// Returns the path from the root to a key of this section.
    fn key_path(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_string()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    /// Whether a key is set. Does not mark the key as known.
    pub fn contains(&self, key: &str) -> bool {
        self.body.get_attribute(key).is_some()
    }

    /// Marks a key or a kind of block as known.
    fn mark_read(&self, key: &str) {
        self.read_keys.borrow_mut().insert(key.to_string());
    }

    /// Returns the value of a key that must be set.
    fn value(&self, key: &str, expected: &str) -> Result<&'a Expression, ConfigError> {
        self.mark_read(key);
        let attribute = self.body.get_attribute(key);
        let missing = || self.error_at(key, format!("is missing; expected {expected}"));
        attribute.map(|attribute| &attribute.value).ok_or_else(missing)
    }

    /// Creates an error that quotes an invalid value.
    fn wrong_value(&self, key: &str, expected: &str, found: &Expression) -> ConfigError {
        let span = found.span();
        let text = span.clone().and_then(|span| self.source.text.get(span)).unwrap_or("another value");
        let shown: String = text.trim().chars().take(MAX_SHOWN_CHARACTERS).collect();
        let offset = span.map_or(self.offset, |span| span.start);
        let expected = format!("expected {expected}, found {shown}");
        self.source.error_at(offset, self.key_path(key), expected)
    }

    /// Returns a number within `range`.
    ///
    /// # Errors
    /// Returns an error if the value is missing, not a number or out of range.
    pub fn number(&self, key: &str, range: RangeInclusive<f64>) -> Result<f64, ConfigError> {
        let expected = format!("a number from {} to {}", range.start(), range.end());
        let value = self.value(key, &expected)?;
        let number = number(value).filter(|number| range.contains(number));
        number.ok_or_else(|| self.wrong_value(key, &expected, value))
    }

    /// Returns a number within `range`, or `default` if the key is not set.
    ///
    /// # Errors
    /// Returns an error if the value is not a number or out of range.
    pub fn number_or(&self, key: &str, range: RangeInclusive<f64>, default: f64) -> Result<f64, ConfigError> {
        self.value_or(key, default, || self.number(key, range))
    }

    /// Returns an integer within `range`.
    ///
    /// # Errors
    /// Returns an error if the value is missing, not an integer or out of range.
    pub fn integer(&self, key: &str, range: RangeInclusive<u64>) -> Result<u64, ConfigError> {
        let expected = format!("a whole number from {} to {}", range.start(), range.end());
        let value = self.value(key, &expected)?;
        let integer = number(value).filter(|n| n.fract() == 0.0 && *n >= 0.0).map(|n| n as u64);
        integer.filter(|n| range.contains(n)).ok_or_else(|| self.wrong_value(key, &expected, value))
    }

    /// Returns an integer within `range`, or `default` if the key is not set.
    ///
    /// # Errors
    /// Returns an error if the value is not an integer or out of range.
    pub fn integer_or(
        &self,
        key: &str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> Result<u64, ConfigError> {
        self.value_or(key, default, || self.integer(key, range))
    }

    /// Returns a string.
    ///
    /// # Errors
    /// Returns an error if the value is missing or not a string literal.
    pub fn string(&self, key: &str) -> Result<&'a str, ConfigError> {
        let expected = "a string in quotes";
        let value = self.value(key, expected)?;
        value.as_str().ok_or_else(|| self.wrong_value(key, expected, value))
    }

    /// Returns the index in `keywords` of the value.
    ///
    /// # Errors
    /// Returns an error if the value is missing or not one of the keywords.
    pub fn keyword(&self, key: &str, keywords: &[&str]) -> Result<usize, ConfigError> {
        let expected = format!("one of {}", keywords.join(", "));
        let value = self.value(key, &expected)?;
        let index = value.as_str().and_then(|text| keywords.iter().position(|keyword| *keyword == text));
        index.ok_or_else(|| self.wrong_value(key, &expected, value))
    }

    /// Returns the index in `keywords` of the value, or 0 if the key is not set.
    ///
    /// # Errors
    /// Returns an error if the value is not one of the keywords.
    pub fn keyword_or_first(&self, key: &str, keywords: &[&str]) -> Result<usize, ConfigError> {
        self.value_or(key, 0, || self.keyword(key, keywords))
    }

    /// Returns a boolean, or `default` if the key is not set.
    ///
    /// # Errors
    /// Returns an error if the value is neither `true` nor `false`.
    pub fn bool_or(&self, key: &str, default: bool) -> Result<bool, ConfigError> {
        let expected = "true or false";
        self.value_or(key, default, || {
            let value = self.value(key, expected)?;
            value.as_bool().ok_or_else(|| self.wrong_value(key, expected, value))
        })
    }

    /// Returns a duration, written as [`parse_duration`] reads it, in microseconds.
    ///
    /// # Errors
    /// Returns an error if the value is missing or not a duration.
    pub fn duration(&self, key: &str) -> Result<Micros, ConfigError> {
        let expected = "a duration such as \"800ms\", in us, ms, s, m or h";
        let value = self.value(key, expected)?;
        let duration = value.as_str().and_then(parse_duration);
        duration.ok_or_else(|| self.wrong_value(key, expected, value))
    }

    /// Returns a duration in microseconds, or `default` if the key is not set.
    ///
    /// # Errors
    /// Returns an error if the value is not a duration.
    pub fn duration_or(&self, key: &str, default: Micros) -> Result<Micros, ConfigError> {
        self.value_or(key, default, || self.duration(key))
    }

    /// Returns the lower and upper end of a range. The value is a list of both numbers, or one number for both ends.
    ///
    /// # Errors
    /// Returns an error if the value is missing or not a range, if an end is outside `range`, or if the lower end is
    /// above the upper one.
    pub fn range(&self, key: &str, range: RangeInclusive<f64>) -> Result<(f64, f64), ConfigError> {
        let expected = format!("[lowest, highest], or one number, from {} to {}", range.start(), range.end());
        let value = self.value(key, &expected)?;
        let ends = match value {
            Expression::Array(a) if a.len() == 2 => a.get(0).and_then(number).zip(a.get(1).and_then(number)),
            single => number(single).map(|n| (n, n)),
        };
        let is_valid = |(low, high): &(f64, f64)| low <= high && range.contains(low) && range.contains(high);
        ends.filter(is_valid).ok_or_else(|| self.wrong_value(key, &expected, value))
    }

    /// Returns a list of strings.
    ///
    /// # Errors
    /// Returns an error if the list is missing or empty, or contains values other than strings.
    pub fn strings(&self, key: &str) -> Result<Vec<String>, ConfigError> {
        let expected = "a list of strings such as [\"a\", \"b\"]";
        let value = self.value(key, expected)?;
        let strings: Option<Vec<String>> = value
            .as_array()
            .and_then(|array| array.iter().map(|element| element.as_str().map(String::from)).collect());
        let strings = strings.filter(|strings| !strings.is_empty());
        strings.ok_or_else(|| self.wrong_value(key, expected, value))
    }

    /// Returns the value that `read` gives, or `default` if the key is not set.
    fn value_or<T>(
        &self,
        key: &str,
        default: T,
        read: impl FnOnce() -> Result<T, ConfigError>,
    ) -> Result<T, ConfigError> {
        self.mark_read(key);
        if self.contains(key) {
            read()
        } else {
            Ok(default)
        }
    }

    /// Returns all blocks of a kind, in the order of the file.
    pub fn blocks(&self, kind: &str) -> Vec<Section<'a>> {
        self.mark_read(kind);
        let blocks = self.body.blocks().filter(|block| block.ident.as_str() == kind);
        blocks.map(|block| self.child(block)).collect()
    }

    /// Returns the only block of a kind.
    ///
    /// # Errors
    /// Returns an error if there is no such block, or more than one.
    pub fn block(&self, kind: &str) -> Result<Section<'a>, ConfigError> {
        self.optional_block(kind)?.ok_or_else(|| self.error(format!("the block {kind} {{ ... }} is missing")))
    }

    /// Returns the only block of a kind, or `None` if there is no such block.
    ///
    /// # Errors
    /// Returns an error if there is more than one.
    pub fn optional_block(&self, kind: &str) -> Result<Option<Section<'a>>, ConfigError> {
        let mut blocks = self.blocks(kind);
        match blocks.get(1) {
            Some(second) => Err(second.error(format!("expected one block {kind}, found a second one"))),
            None => Ok(blocks.pop()),
        }
    }

    /// Rejects keys and blocks that have not been looked up. Call it after looking up all that the program knows.
    ///
    /// # Errors
    /// Returns an error at the first unknown key or block, which lists the known ones.
    pub fn reject_unknown_keys(&self) -> Result<(), ConfigError> {
        let read_keys = self.read_keys.borrow();
        for structure in self.body {
            let name = match structure {
                Structure::Attribute(attribute) => &attribute.key,
                Structure::Block(block) => &block.ident,
            };
            if !read_keys.contains(name.as_str()) {
                let known: Vec<&str> = read_keys.iter().map(String::as_str).collect();
                let expected = format!("unknown key or block; known here: {}", known.join(", "));
                let offset = name.span().map_or(self.offset, |span| span.start);
                return Err(self.source.error_at(offset, self.key_path(name.as_str()), expected));
            }
        }
        Ok(())
    }
}

/// Returns the value of a number literal, with or without a minus sign.
fn number(value: &Expression) -> Option<f64> {
    match value {
        Expression::Number(number) => number.as_f64(),
        Expression::UnaryOp(operation) if *operation.operator == UnaryOperator::Neg => {
            number(&operation.expr).map(|n| -n)
        }
        _ => None,
    }
}
