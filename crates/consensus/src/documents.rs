//! Storage of documents by digest, and their assembly from chunks.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Maximum number of document bytes in one datagram.
pub(crate) const CHUNK_BYTES: usize = 192;
/// Maximum length of a document in bytes: chunks are counted in one byte.
pub const MAX_DOCUMENT_BYTES: usize = CHUNK_BYTES * 255;

const DIGEST_BYTES: usize = 16;
/// Number of digest bytes that are displayed, as hex digits.
const SHOWN_DIGEST_BYTES: usize = 6;

/// Digest of a document: BLAKE3, truncated to 128 bits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(pub [u8; DIGEST_BYTES]);

impl Digest {
    /// Computes the digest of a document.
    pub fn of(document: &[u8]) -> Digest {
        let whole = blake3::hash(document);
        Digest(std::array::from_fn(|n| whole.as_bytes()[n]))
    }
}

impl std::fmt::Display for Digest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0[..SHOWN_DIGEST_BYTES].iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// A chunk of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct DocumentChunk {
    /// Digest of the document.
    pub(crate) digest: Digest,
    /// Position of the chunk in the document, starting at 0.
    pub(crate) index: u8,
    /// Number of chunks in the document.
    pub(crate) total: u8,
    /// Contents of the chunk.
    pub(crate) bytes: Vec<u8>,
}

/// Complete documents, and documents of which some chunks are missing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Documents {
    complete: BTreeMap<Digest, Vec<u8>>,
    partial: BTreeMap<Digest, Vec<Option<Vec<u8>>>>,
}

impl Documents {
    /// Stores a complete document and returns its digest.
    pub(crate) fn insert(&mut self, document: Vec<u8>) -> Digest {
        let digest = Digest::of(&document);
        self.complete.insert(digest, document);
        self.partial.remove(&digest);
        digest
    }

    /// Returns a document if it is complete.
    pub(crate) fn get(&self, digest: &Digest) -> Option<&[u8]> {
        self.complete.get(digest).map(Vec::as_slice)
    }

    /// Whether a document is present and complete.
    pub(crate) fn has(&self, digest: &Digest) -> bool {
        self.complete.contains_key(digest)
    }

    /// Drops all documents except the given ones.
    pub(crate) fn retain(&mut self, digests: &[Digest]) {
        self.complete.retain(|digest, _| digests.contains(digest));
        self.partial.retain(|digest, _| digests.contains(digest));
    }

    /// Returns the index of a missing chunk of a document; the random number `draw` selects among the missing ones.
    pub(crate) fn missing_chunk(&self, digest: &Digest, draw: u64) -> u8 {
        let Some(chunks) = self.partial.get(digest) else { return 0 };
        let missing: Vec<usize> = (0..chunks.len()).filter(|n| chunks[*n].is_none()).collect();
        let position = draw.checked_rem(missing.len() as u64).unwrap_or(0);
        missing.get(position as usize).map_or(0, |n| *n as u8)
    }

    /// Returns a chunk of a document, which may be incomplete: while few replicas have the document of a new change and
    /// datagrams are lost, peers can assemble it from all replicas that have some of its chunks.
    pub(crate) fn chunk(&self, digest: &Digest, index: u8) -> Option<DocumentChunk> {
        let (total, bytes) = match self.complete.get(digest) {
            Some(document) => (chunk_count(document), chunk_bytes(document, index)?.to_vec()),
            None => {
                let chunks = self.partial.get(digest)?;
                (chunks.len() as u8, chunks.get(usize::from(index))?.clone()?)
            }
        };
        (index < total).then_some(DocumentChunk { digest: *digest, index, total, bytes })
    }

    /// Stores a chunk and returns whether it completed its document. A document that does not match its digest is
    /// dropped, and its assembly starts over with the next chunk.
    pub(crate) fn insert_chunk(&mut self, chunk: DocumentChunk) -> bool {
        let DocumentChunk { digest, index, total, bytes } = chunk;
        if self.has(&digest) || total == 0 || index >= total || bytes.len() > CHUNK_BYTES {
            return false;
        }
        let chunks = self.partial.entry(digest).or_default();
        if chunks.len() != usize::from(total) {
            *chunks = vec![None; usize::from(total)];
        }
        chunks[usize::from(index)] = Some(bytes);
        if chunks.iter().any(Option::is_none) {
            return false;
        }
        let document: Vec<u8> = chunks.iter().flatten().flatten().copied().collect();
        self.partial.remove(&digest);
        if Digest::of(&document) != digest {
            return false;
        }
        self.complete.insert(digest, document);
        true
    }
}

/// Returns the number of chunks of a document; an empty document has one chunk.
fn chunk_count(document: &[u8]) -> u8 {
    document.len().div_ceil(CHUNK_BYTES).max(1) as u8
}

/// Returns the contents of a chunk; `None` if the chunk starts beyond the end of the document.
fn chunk_bytes(document: &[u8], index: u8) -> Option<&[u8]> {
    let start = usize::from(index) * CHUNK_BYTES;
    let end = document.len().min(start + CHUNK_BYTES);
    document.get(start..end)
}

#[cfg(test)]
mod tests;
