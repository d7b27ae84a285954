//! Splits the byte stream of a watch into endpoint lists.

use bytes::BytesMut;
use thiserror::Error;

use crate::net::discovery::endpoints::{EndpointsChange, WireItem, WireList};

/// Maximum length of an endpoint list.
pub(super) const MAX_LIST_BYTES: usize = 4 << 20;

/// Why the bytes of a watch are not a valid list. The watch is then reopened.
#[derive(Debug, Error)]
pub(super) enum ListError {
    #[error("list ends unexpectedly after {bytes} bytes")]
    Truncated { bytes: usize },
    #[error("invalid list: {0}")]
    Invalid(#[from] serde_json::Error),
    #[error("list is too long")]
    TooLong,
}

/// Finds the end of a list in the received bytes. Each byte is examined only once, however long the list is.
#[derive(Default)]
struct ListEndScanner {
    /// Number of bytes already examined of the incomplete list.
    scanned_bytes: usize,
    /// Number of open brackets.
    depth: usize,
    /// Whether the last byte is inside a string.
    in_string: bool,
    /// Whether the last byte is a backslash that escapes the next one.
    is_escaped: bool,
    /// Whether only white space has followed the last line break.
    is_line_blank: bool,
}

impl ListEndScanner {
    /// Returns the length of the list at the start of `bytes`, including white space before it, or `None` while the
    /// list is incomplete.
    ///
    /// Fails if the list has a line break inside a string or contains an empty line, as heartbeats are. Valid lists
    /// have neither. Such a list was truncated, and the bytes that follow would otherwise be read as its remainder.
    fn find_end(&mut self, bytes: &[u8]) -> Result<Option<usize>, ListError> {
        for (index, byte) in bytes.iter().enumerate().skip(self.scanned_bytes) {
            if *byte == b'\n' && (self.in_string || (self.depth > 0 && self.is_line_blank)) {
                return Err(ListError::Truncated { bytes: index });
            }
            self.scan(*byte);
            let is_at_end = !self.in_string && self.depth == 0 && !byte.is_ascii_whitespace();
            if is_at_end {
                *self = ListEndScanner::default();
                return Ok(Some(index + 1));
            }
        }
        self.scanned_bytes = bytes.len();
        Ok(None)
    }

    fn scan(&mut self, byte: u8) {
        self.is_line_blank = byte == b'\n' || (self.is_line_blank && byte.is_ascii_whitespace());
        match (byte, self.in_string) {
            _ if self.is_escaped => self.is_escaped = false,
            (b'\\', true) => self.is_escaped = true,
            (b'"', _) => self.in_string = !self.in_string,
            (b'{' | b'[', false) => self.depth += 1,
            (b'}' | b']', false) => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
    }
}

/// Assembles the lists of a watch from the received bytes.
#[derive(Default)]
pub(super) struct ListDecoder {
    /// The bytes received after the last complete list.
    pub(super) buffer: BytesMut,
    scanner: ListEndScanner,
}

impl ListDecoder {
    /// Processes received bytes and returns the changes that they complete. White space between lists is a heartbeat.
    /// Lists may be indented: a line break does not end a list.
    pub(super) fn decode(&mut self, bytes: &[u8]) -> Result<Vec<EndpointsChange>, ListError> {
        self.buffer.extend_from_slice(bytes);
        let mut changes = Vec::new();
        while let Some(end) = self.scanner.find_end(&self.buffer)? {
            let list = self.buffer.split_to(end);
            let list: WireList<WireItem> = serde_json::from_slice(&list)?;
            changes.push(list.into());
        }
        if self.buffer.len() > MAX_LIST_BYTES {
            return Err(ListError::TooLong);
        }
        // Heartbeats must not accumulate in the buffer over days.
        if !self.is_partial() {
            *self = ListDecoder::default();
        }
        Ok(changes)
    }

    /// Whether part of a list has been received.
    pub(super) fn is_partial(&self) -> bool {
        self.scanner.depth > 0 || self.scanner.in_string
    }
}
