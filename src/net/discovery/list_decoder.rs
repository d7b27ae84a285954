//! Decodes the byte stream of a watch into endpoint lists, entry by entry.
//!
//! An entry is decoded as soon as its last byte has been received, so that the drains of a long list that arrives slowly
//! can take effect before the list is complete, and no entry is kept as text.

use bytes::{Buf, BytesMut};
use serde::de::IgnoredAny;
use thiserror::Error;

use crate::net::discovery::endpoints::{DrainNotice, EndpointEntry, EndpointsChange, WireList, WireServer};
use crate::net::discovery::list_scanner::{ListScanner, Token};

/// Maximum length of an endpoint list, in bytes.
pub(super) const MAX_LIST_BYTES: usize = 4 << 20;
/// Stands for an entry in the outline of a list.
const ENTRY_PLACEHOLDER: u8 = b'0';

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

/// What the received bytes contain.
#[derive(Default)]
pub(super) struct Decoded {
    /// The lists that became complete, in order.
    pub(super) changes: Vec<EndpointsChange>,
    /// The drains in the entries received so far of a list that is still incomplete. Each is reported once.
    pub(super) drains: Option<DrainNotice>,
    /// Whether an entry, a list or a heartbeat was received completely.
    pub(super) has_progress: bool,
}

/// The part of a list that has been received.
#[derive(Default)]
struct PartialList {
    /// The text of the list, with a placeholder for each entry.
    outline: Vec<u8>,
    entries: Vec<EndpointEntry>,
    /// Number of entries whose drains were reported.
    reported_entries: usize,
    unreadable: usize,
}

impl PartialList {
    fn add_entry(&mut self, text: &[u8]) -> Result<(), ListError> {
        self.outline.push(ENTRY_PLACEHOLDER);
        match serde_json::from_slice::<WireServer>(text) {
            Ok(server) => self.entries.push(server.into()),
            // An unreadable entry must not make the rest of its list unreadable, but text that is not JSON does.
            Err(_) => {
                serde_json::from_slice::<IgnoredAny>(text)?;
                self.unreadable += 1;
            }
        }
        Ok(())
    }

    fn into_change(self) -> Result<EndpointsChange, ListError> {
        let list: WireList<IgnoredAny> = serde_json::from_slice(&self.outline)?;
        Ok(EndpointsChange::from_received(&list, self.entries, self.unreadable))
    }

    /// Returns the drains that have not been reported.
    fn take_drains(&mut self) -> Option<DrainNotice> {
        let new_entries = &self.entries[self.reported_entries..];
        let entries: Vec<EndpointEntry> =
            new_entries.iter().filter(|entry| !entry.is_in_service()).cloned().collect();
        self.reported_entries = self.entries.len();
        if entries.is_empty() {
            return None;
        }
        Some(DrainNotice { list: self.head(), entries })
    }

    /// Returns the version of the list and whether it is complete, if both precede the entries.
    fn head(&self) -> Option<(u64, bool)> {
        let head_length = self.outline.iter().position(|byte| *byte == b'[')? + 1;
        let closed = [&self.outline[..head_length], b"]}"].concat();
        let list: WireList<IgnoredAny> = serde_json::from_slice(&closed).ok()?;
        Some((list.version, list.full))
    }
}

/// Assembles the lists of a watch from the received bytes.
#[derive(Default)]
pub(super) struct ListDecoder {
    /// The received bytes of the entry that is incomplete.
    pub(super) buffer: BytesMut,
    scanner: ListScanner,
    list: PartialList,
}

impl ListDecoder {
    /// Decodes received bytes. White space between lists is a heartbeat. Lists may be indented: a line break does not
    /// end a list.
    pub(super) fn decode(&mut self, bytes: &[u8]) -> Result<Decoded, ListError> {
        let mut decoded = Decoded::default();
        self.buffer.extend_from_slice(bytes);
        let mut start = 0;
        let mut next = self.buffer.len() - bytes.len();
        loop {
            next += self.scanner.skip_entry_text(&self.buffer[next..]);
            let Some(byte) = self.buffer.get(next).copied() else { break };
            let index = next;
            next += 1;
            match self.scanner.scan(byte)? {
                Token::Heartbeat => {
                    decoded.has_progress = true;
                    start = index + 1;
                }
                Token::Outline => {
                    self.list.outline.push(byte);
                    start = index + 1;
                }
                Token::EntryByte => {}
                Token::EntryEnd => {
                    self.list.add_entry(&self.buffer[start..=index])?;
                    decoded.has_progress = true;
                    start = index + 1;
                }
                Token::ScalarEntryEnd => {
                    self.list.add_entry(&self.buffer[start..index])?;
                    self.list.outline.push(byte);
                    start = index + 1;
                }
                Token::ListEnd => {
                    self.list.outline.push(byte);
                    decoded.changes.push(std::mem::take(&mut self.list).into_change()?);
                    decoded.has_progress = true;
                    start = index + 1;
                }
            }
        }
        self.buffer.advance(start);
        if self.scanner.list_bytes() > MAX_LIST_BYTES {
            return Err(ListError::TooLong);
        }
        decoded.drains = self.list.take_drains();
        Ok(decoded)
    }

    /// Whether part of a list has been received.
    pub(super) fn is_partial(&self) -> bool {
        self.scanner.is_in_list()
    }
}
