//! Parsing of HCL files, and the source text that errors refer to.

use std::path::Path;
use std::sync::Arc;

use hcl_edit::structure::Body;

use crate::{ConfigError, Section};

/// Source text of a file. Converts byte offsets into lines and columns for error messages.
pub(crate) struct Source {
    file: Arc<str>,
    /// Byte offset of the first character of each line.
    line_starts: Vec<usize>,
    pub(crate) text: String,
}

impl Source {
    fn new(file: &str, text: &str) -> Source {
        let later_lines = text.match_indices('\n').map(|(newline, _)| newline + 1);
        let line_starts = std::iter::once(0).chain(later_lines).collect();
        Source { file: file.into(), line_starts, text: text.to_string() }
    }

    /// Creates an error for `key` at a byte offset of the text.
    pub(crate) fn error_at(&self, offset: usize, key: String, expected: impl Into<String>) -> ConfigError {
        let line = self.line_starts.partition_point(|start| *start <= offset).max(1);
        let line_start = self.line_starts[line - 1];
        let column = self.text.get(line_start..offset).map_or(0, |before| before.chars().count()) + 1;
        ConfigError::At { file: self.file.clone(), line, column, key, expected: expected.into() }
    }
}

/// A parsed HCL file.
pub struct Document {
    source: Source,
    body: Body,
}

impl Document {
    /// Parses `text`. `file` is the name that error messages show for it.
    ///
    /// # Errors
    /// Returns the position of the syntax error if the text is not valid HCL.
    pub fn parse(file: &str, text: &str) -> Result<Document, ConfigError> {
        let source = Source::new(file, text);
        match hcl_edit::parser::parse_body(text) {
            Ok(body) => Ok(Document { source, body }),
            Err(e) => {
                let expected = e.message().to_string();
                Err(source.error_at(e.location().offset(), "syntax".into(), expected))
            }
        }
    }

    /// Reads and parses a file.
    ///
    /// # Errors
    /// Returns an error if the file can't be read or is not valid HCL.
    pub fn read(path: &Path) -> Result<Document, ConfigError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|e| ConfigError::Unreadable { file: file.as_str().into(), why: e.to_string() })?;
        Document::parse(&file, &text)
    }

    /// Returns the whole file as a section.
    pub fn root(&self) -> Section<'_> {
        Section::root(&self.source, &self.body)
    }
}
