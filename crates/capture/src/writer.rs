//! Writes captures.

use std::collections::HashMap;
use std::io::{self, Write};

use crate::format::{
    version_runs, Block, BLOCK_MARK, COMPRESSION_LEVEL, END_MARK, FORMAT_VERSION, FRAME_HEAD_LENGTH, MAGIC,
    RECORDS_PER_BLOCK,
};
use crate::{Header, Record};

/// Writes a capture file.
pub struct Writer<W: Write> {
    out: W,
    /// The block that collects records until it is written.
    block: Block,
    /// Indexes of all destinations named so far.
    destinations: HashMap<String, u16>,
    /// Number of bytes written so far.
    written: u64,
}

impl<W: Write> Writer<W> {
    /// Creates a writer and writes the header of the file.
    ///
    /// # Errors
    /// Returns an error if writing to `out` fails.
    pub fn new(mut out: W, header: &Header) -> io::Result<Writer<W>> {
        let header = postcard::to_stdvec(header).map_err(io::Error::other)?;
        let mut bytes = MAGIC.to_vec();
        bytes.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
        bytes.extend_from_slice(&(header.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&crc32fast::hash(&header).to_le_bytes());
        bytes.extend_from_slice(&header);
        out.write_all(&bytes)?;
        let written = bytes.len() as u64;
        Ok(Writer { out, block: Block::default(), destinations: HashMap::new(), written })
    }

    /// Adds a record, with the name of its destination if it has one. Writes the block if the record fills it.
    ///
    /// # Errors
    /// Returns an error if writing fails.
    pub fn push(&mut self, mut record: Record, destination: Option<&str>) -> io::Result<()> {
        record.destination = destination.and_then(|name| self.destination_index(name));
        self.block.records.push(record);
        if self.block.records.len() >= RECORDS_PER_BLOCK {
            self.flush()?;
        }
        Ok(())
    }

    /// Returns the index of a destination, which is added if it is new; `None` if all indexes are in use.
    fn destination_index(&mut self, name: &str) -> Option<u16> {
        if let Some(index) = self.destinations.get(name) {
            return Some(*index);
        }
        let index = u16::try_from(self.destinations.len()).ok()?;
        self.destinations.insert(name.to_string(), index);
        self.block.destinations.push(name.to_string());
        Some(index)
    }

    /// Adds to the number of dropped records.
    pub fn record_dropped(&mut self, records: u64) {
        self.block.dropped += records;
    }

    /// Writes the pending records as a block, so that they are readable even if the file is truncated later.
    ///
    /// # Errors
    /// Returns an error if writing fails.
    pub fn flush(&mut self) -> io::Result<()> {
        let block = std::mem::take(&mut self.block);
        if block.records.is_empty() && block.dropped == 0 {
            return Ok(());
        }
        let encoded = encode_block(block)?;
        let compressed = zstd::bulk::compress(&encoded, COMPRESSION_LEVEL)?;
        let bytes = encode_frame(BLOCK_MARK, &compressed, encoded.len());
        self.written += bytes.len() as u64;
        self.out.write_all(&bytes)?;
        self.out.flush()
    }

    /// Returns the number of bytes written so far.
    pub fn written(&self) -> u64 {
        self.written
    }

    /// Writes the pending records and the end mark. Readers report a file without an end mark as damaged.
    ///
    /// # Errors
    /// Returns an error if writing fails.
    pub fn finish(mut self) -> io::Result<W> {
        self.flush()?;
        self.out.write_all(&encode_frame(END_MARK, &[], 0))?;
        self.out.flush()?;
        Ok(self.out)
    }
}

/// Encodes a block, followed by the versions of its records if there are any. The times of the records are moved into
/// `base` and `steps`.
fn encode_block(mut block: Block) -> io::Result<Vec<u8>> {
    block.base = block.records.first().map_or(0, |record| record.at);
    let mut previous = block.base;
    for record in &mut block.records {
        block.steps.push(record.at.wrapping_sub(previous) as i64);
        previous = std::mem::take(&mut record.at);
    }
    let mut encoded = postcard::to_stdvec(&block).map_err(io::Error::other)?;
    let runs = version_runs(&block.records);
    if runs.iter().any(|run| run.version.is_some()) {
        encoded.extend(postcard::to_stdvec(&runs).map_err(io::Error::other)?);
    }
    Ok(encoded)
}

fn encode_frame(mark: &[u8; 4], payload: &[u8], decompressed_length: usize) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(FRAME_HEAD_LENGTH + payload.len());
    bytes.extend_from_slice(mark);
    bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&(decompressed_length as u32).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    bytes.extend_from_slice(payload);
    bytes
}
