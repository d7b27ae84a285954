//! Reads captures up to the first damage.

use std::cmp::Ordering;
use std::io::Read;
use std::path::Path;

use crate::error::{BlockError, Damage, HeaderError, ReadError};
use crate::format::{
    Block, VersionRuns, BLOCK_MARK, END_MARK, FORMAT_VERSION, FRAME_HEAD_LENGTH, MAGIC, MAX_LENGTH,
};
use crate::{Capture, Header, Record};

/// Offsets of the fields at the beginning of a file, before the content of the header.
const VERSION_OFFSET: usize = MAGIC.len();
const HEADER_LENGTH_OFFSET: usize = VERSION_OFFSET + 2;
const HEADER_CHECKSUM_OFFSET: usize = HEADER_LENGTH_OFFSET + 4;
const HEADER_OFFSET: usize = HEADER_CHECKSUM_OFFSET + 4;
/// Offsets of the fields in the head of a frame, after its mark.
const PAYLOAD_LENGTH_OFFSET: usize = 4;
const DECOMPRESSED_LENGTH_OFFSET: usize = 8;
const PAYLOAD_CHECKSUM_OFFSET: usize = 12;

/// Reads a capture from a byte stream. Errors name `file` as the source.
///
/// # Errors
/// Returns an error if the stream can't be read, or does not begin with a valid header of this version. Damage after
/// the header is not an error: all blocks before it are returned, and [`Capture::damage`] describes it.
pub fn read(file: &str, mut from: impl Read) -> Result<Capture, ReadError> {
    let mut bytes = Vec::new();
    from.read_to_end(&mut bytes).map_err(|why| ReadError::Io { file: file.into(), why })?;
    let (header, blocks_offset) = read_header(&bytes).map_err(|error| ReadError::InvalidHeader {
        file: file.into(),
        offset: error.offset as u64,
        why: error.why,
    })?;
    let mut capture =
        Capture { header, records: Vec::new(), destinations: Vec::new(), dropped: 0, damage: None };
    capture.damage = read_blocks(&bytes, blocks_offset, &mut capture).err();
    Ok(capture)
}

/// Reads a capture from a file.
///
/// # Errors
/// Returns an error if the file can't be opened, and in the cases of [`read`].
pub fn read_file(path: &Path) -> Result<Capture, ReadError> {
    let file = path.display().to_string();
    let from = std::fs::File::open(path).map_err(|why| ReadError::Io { file: file.clone(), why })?;
    read(&file, from)
}

/// An error in the header, with the offset of the field that is wrong.
struct HeaderErrorAt {
    offset: usize,
    why: HeaderError,
}

/// Reads the header; returns it with the offset of the first block.
fn read_header(bytes: &[u8]) -> Result<(Header, usize), HeaderErrorAt> {
    let at = |offset, why| HeaderErrorAt { offset, why };
    if !bytes.starts_with(MAGIC) {
        return Err(at(0, HeaderError::NoMagic));
    }
    check_version(bytes).map_err(|why| at(VERSION_OFFSET, why))?;
    let content = header_content(bytes).ok_or(at(HEADER_LENGTH_OFFSET, HeaderError::Truncated))?;
    if read_u32(bytes, HEADER_CHECKSUM_OFFSET) != Some(crc32fast::hash(content)) {
        return Err(at(HEADER_OFFSET, HeaderError::ChecksumMismatch));
    }
    let header = postcard::from_bytes(content).map_err(|e| at(HEADER_OFFSET, HeaderError::Undecodable(e)))?;
    Ok((header, HEADER_OFFSET + content.len()))
}

fn check_version(bytes: &[u8]) -> Result<(), HeaderError> {
    let field = bytes.get(VERSION_OFFSET..HEADER_LENGTH_OFFSET).ok_or(HeaderError::Truncated)?;
    match u16::from_le_bytes([field[0], field[1]]) {
        FORMAT_VERSION => Ok(()),
        other => Err(HeaderError::UnsupportedVersion(other)),
    }
}

/// Returns the encoded content of the header; `None` if the file ends within it, or its stored length exceeds the
/// maximum.
fn header_content(bytes: &[u8]) -> Option<&[u8]> {
    let length = read_u32(bytes, HEADER_LENGTH_OFFSET)? as usize;
    if length > MAX_LENGTH {
        return None;
    }
    bytes.get(HEADER_OFFSET..HEADER_OFFSET + length)
}

fn read_u32(bytes: &[u8], offset: usize) -> Option<u32> {
    let field = bytes.get(offset..offset + 4)?;
    Some(u32::from_le_bytes([field[0], field[1], field[2], field[3]]))
}

/// Reads blocks up to the end mark into `capture`. Returns the first damage as an error; the blocks before it have been
/// added.
fn read_blocks(bytes: &[u8], start: usize, capture: &mut Capture) -> Result<(), Damage> {
    let mut offset = start;
    loop {
        let damage = |why| Damage { offset: offset as u64, why };
        let Some(frame) = read_frame(bytes, offset).map_err(damage)? else { return Ok(()) };
        let block = decode_block(&frame).map_err(damage)?;
        add_block(block, capture).map_err(damage)?;
        offset += FRAME_HEAD_LENGTH + frame.payload.len();
    }
}

/// A compressed block, as stored in the file.
struct Frame<'a> {
    payload: &'a [u8],
    decompressed_length: usize,
}

/// Reads the frame at an offset and verifies its checksum. Returns `None` for the end mark.
fn read_frame(bytes: &[u8], offset: usize) -> Result<Option<Frame<'_>>, BlockError> {
    if offset >= bytes.len() {
        return Err(BlockError::MissingEndMark);
    }
    let payload_offset = offset + FRAME_HEAD_LENGTH;
    let head = bytes.get(offset..payload_offset).ok_or(BlockError::TruncatedHead)?;
    let field = |offset| read_u32(head, offset).ok_or(BlockError::TruncatedHead);
    let payload_length = field(PAYLOAD_LENGTH_OFFSET)? as usize;
    let decompressed_length = field(DECOMPRESSED_LENGTH_OFFSET)? as usize;
    let checksum = field(PAYLOAD_CHECKSUM_OFFSET)?;
    if head.starts_with(END_MARK) {
        return Ok(None);
    }
    if !head.starts_with(BLOCK_MARK) {
        return Err(BlockError::UnknownMark);
    }
    if payload_length > MAX_LENGTH || decompressed_length > MAX_LENGTH {
        return Err(BlockError::TooLong);
    }
    let payload = bytes.get(payload_offset..payload_offset + payload_length).ok_or(BlockError::Truncated)?;
    if crc32fast::hash(payload) != checksum {
        return Err(BlockError::ChecksumMismatch);
    }
    Ok(Some(Frame { payload, decompressed_length }))
}

/// Decodes a block, and the versions of its records if any follow.
fn decode_block(frame: &Frame<'_>) -> Result<Block, BlockError> {
    let encoded = zstd::bulk::decompress(frame.payload, frame.decompressed_length)
        .map_err(|e| BlockError::Undecompressable(e.to_string()))?;
    let (mut block, rest): (Block, &[u8]) = postcard::take_from_bytes(&encoded)?;
    if !rest.is_empty() {
        let (runs, rest): (VersionRuns, &[u8]) = postcard::take_from_bytes(rest)?;
        if !rest.is_empty() {
            return Err(postcard::Error::DeserializeBadEncoding.into());
        }
        set_versions(&mut block.records, &runs)?;
    }
    if block.steps.len() != block.records.len() {
        return Err(BlockError::TimeCountMismatch);
    }
    Ok(block)
}

/// Sets the version of each record. The numbers of versions and records are compared first, because `zip` stops at the
/// end of the shorter iterator without an error.
fn set_versions(records: &mut [Record], runs: &VersionRuns) -> Result<(), BlockError> {
    let version_count: u64 = runs.iter().map(|run| u64::from(run.count)).sum();
    match version_count.cmp(&(records.len() as u64)) {
        Ordering::Less => return Err(BlockError::MissingVersions),
        Ordering::Greater => return Err(BlockError::ExtraVersions),
        Ordering::Equal => {}
    }
    let versions = runs.iter().flat_map(|run| std::iter::repeat_n(run.version, run.count as usize));
    for (record, version) in records.iter_mut().zip(versions) {
        record.rules = version;
    }
    Ok(())
}

/// Restores the times of a block's records and adds the records to the capture. If any record is invalid, adds none.
fn add_block(mut block: Block, capture: &mut Capture) -> Result<(), BlockError> {
    if !block.records.iter().all(|record| names_are_known(record, &block, capture)) {
        return Err(BlockError::UnknownName);
    }
    let mut time = block.base;
    for (record, step) in block.records.iter_mut().zip(&block.steps) {
        time = time.wrapping_add(*step as u64);
        record.at = time;
    }
    capture.records.append(&mut block.records);
    capture.destinations.append(&mut block.destinations);
    capture.dropped += block.dropped;
    Ok(())
}

/// Whether all indexes of a record refer to names in the header, the blocks read so far, or its own block.
fn names_are_known(record: &Record, block: &Block, capture: &Capture) -> bool {
    let header = &capture.header;
    let destinations = capture.destinations.len() + block.destinations.len();
    let sources = header.merged_from.len().max(1);
    usize::from(record.class) < header.classes.len()
        && usize::from(record.plan) < header.plans.len()
        && record.destination.is_none_or(|destination| usize::from(destination) < destinations)
        && usize::from(record.source) < sources
}

#[cfg(test)]
mod tests;
