//! Finds the entries and the end of an endpoint list in a byte stream. Each byte is examined once.

use crate::net::discovery::list_decoder::ListError;

/// Depth of nesting within the object that is the list.
const LIST_DEPTH: usize = 1;
/// Depth of nesting within the array of entries.
const ENTRIES_DEPTH: usize = 2;
/// The end of the text that precedes the array of entries.
const ENTRIES_KEY: &[u8] = b"\"servers\":";

/// What a byte is part of.
pub(super) enum Token {
    /// White space between lists.
    Heartbeat,
    /// A list, outside of its entries.
    Outline,
    /// An entry.
    EntryByte,
    /// The last byte of an entry.
    EntryEnd,
    /// The byte after the last byte of an entry that is neither an object nor an array.
    ScalarEntryEnd,
    /// The last byte of a list.
    ListEnd,
}

/// The position in a list.
#[derive(Default)]
pub(super) struct ListScanner {
    /// Number of bytes scanned of the current list.
    list_bytes: usize,
    /// Number of open brackets.
    depth: usize,
    /// Whether the last byte is inside a string.
    in_string: bool,
    /// Whether the last byte is a backslash that escapes the next one.
    is_escaped: bool,
    /// Whether only white space has followed the last line break.
    is_line_blank: bool,
    /// Whether the last byte is inside the array of entries.
    in_entries: bool,
    /// Whether the last byte is inside an entry.
    in_entry: bool,
    /// The last bytes at the depth of the list that are not white space, as many as [`ENTRIES_KEY`] has.
    last_bytes: [u8; ENTRIES_KEY.len()],
}

impl ListScanner {
    /// Returns the number of bytes scanned of the current list.
    pub(super) fn list_bytes(&self) -> usize {
        self.list_bytes
    }

    /// Whether part of a list has been scanned.
    pub(super) fn is_in_list(&self) -> bool {
        self.depth > 0 || self.in_string
    }

    /// Scans the bytes at the start of `bytes` that are inside an entry and have no meaning for its structure. Returns
    /// their number.
    pub(super) fn skip_entry_text(&mut self, bytes: &[u8]) -> usize {
        if self.depth <= ENTRIES_DEPTH || !self.in_entry || self.is_escaped {
            return 0;
        }
        let is_structural =
            |byte: &u8| *byte <= b' ' || matches!(byte, b'"' | b'\\' | b'{' | b'}' | b'[' | b']');
        let count = bytes.iter().position(is_structural).unwrap_or(bytes.len());
        if count > 0 {
            self.list_bytes += count;
            self.is_line_blank = false;
        }
        count
    }

    /// Scans the next byte.
    ///
    /// Fails if the list has a line break inside a string or contains an empty line, as heartbeats are. Valid lists
    /// have neither. Such a list was truncated, and the bytes that follow would otherwise be read as its remainder.
    pub(super) fn scan(&mut self, byte: u8) -> Result<Token, ListError> {
        if byte == b'\n' && (self.in_string || (self.depth > 0 && self.is_line_blank)) {
            return Err(ListError::Truncated { bytes: self.list_bytes });
        }
        let (was_in_entry, depth_before) = (self.in_entry, self.depth);
        self.advance(byte);
        if !self.is_in_list() {
            if depth_before == 0 && byte.is_ascii_whitespace() {
                // Heartbeats must not count as part of the next list.
                self.list_bytes = 0;
                return Ok(Token::Heartbeat);
            }
            *self = ListScanner::default();
            return Ok(Token::ListEnd);
        }
        Ok(self.token(byte, was_in_entry, depth_before))
    }

    fn advance(&mut self, byte: u8) {
        self.list_bytes += 1;
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

    /// Returns the token of a byte inside a list.
    fn token(&mut self, byte: u8, was_in_entry: bool, depth_before: usize) -> Token {
        if !self.in_entries {
            self.in_entries = byte == b'['
                && depth_before == LIST_DEPTH
                && !self.in_string
                && self.last_bytes == *ENTRIES_KEY;
            self.remember(byte);
            return Token::Outline;
        }
        let is_separator =
            !self.in_string && (byte == b',' && self.depth == ENTRIES_DEPTH || self.depth < ENTRIES_DEPTH);
        self.in_entries = self.depth >= ENTRIES_DEPTH;
        self.in_entry = !is_separator && (was_in_entry || !byte.is_ascii_whitespace());
        match (is_separator, was_in_entry, self.in_entry) {
            (true, true, _) => Token::ScalarEntryEnd,
            (true, false, _) | (false, _, false) => Token::Outline,
            (false, _, true) => {
                let is_end = self.depth == ENTRIES_DEPTH && depth_before > ENTRIES_DEPTH;
                self.in_entry = !is_end;
                if is_end {
                    Token::EntryEnd
                } else {
                    Token::EntryByte
                }
            }
        }
    }

    fn remember(&mut self, byte: u8) {
        if self.depth == LIST_DEPTH && !byte.is_ascii_whitespace() {
            self.last_bytes.rotate_left(1);
            self.last_bytes[ENTRIES_KEY.len() - 1] = byte;
        }
    }
}
