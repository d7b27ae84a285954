//! The file format of captures, shared by the writer and the reader.
//!
//! A file consists of a header, blocks of records and an end mark; `docs/operate/capture.md` specifies the format.

use serde::{Deserialize, Serialize};

use crate::{Micros, Record};

/// Version of the format that is written; files of other versions are rejected.
pub const FORMAT_VERSION: u16 = 1;

/// First bytes of every capture file.
pub(crate) const MAGIC: &[u8; 8] = b"SEDGECAP";
pub(crate) const BLOCK_MARK: &[u8; 4] = b"BLOK";
pub(crate) const END_MARK: &[u8; 4] = b"DONE";
/// Length of a frame before its payload: mark, payload length, decompressed length and checksum, 4 bytes each.
pub(crate) const FRAME_HEAD_LENGTH: usize = 16;
/// Maximum number of records in a block: few enough that a truncated file loses little, enough to compress well.
pub(crate) const RECORDS_PER_BLOCK: usize = 1_024;
/// Maximum length of a header or block, in bytes. A larger stored length is treated as damage, so that no memory is
/// allocated for it.
pub(crate) const MAX_LENGTH: usize = 1 << 20;
/// Compression level of zstd. The fastest level, because the limiter compresses while it serves requests.
pub(crate) const COMPRESSION_LEVEL: i32 = 1;

/// A block of records in its encoded form.
#[derive(Serialize, Deserialize, Default)]
pub(crate) struct Block {
    /// Time of arrival of the first record.
    pub(crate) base: Micros,
    /// Difference between the time of each record and that of the previous record, or `base` for the first. The times
    /// in the records themselves are set to 0.
    pub(crate) steps: Vec<i64>,
    pub(crate) records: Vec<Record>,
    /// Names of the destinations that first occur in this block.
    pub(crate) destinations: Vec<String>,
    /// Number of records dropped since the previous block.
    pub(crate) dropped: u64,
}

/// Consecutive records of a block that were handled under the same version of the runtime configuration.
#[derive(Serialize, Deserialize)]
pub(crate) struct VersionRun {
    pub(crate) count: u32,
    pub(crate) version: Option<u64>,
}

/// Versions of the runtime configuration of all records of a block. They are stored after the block if any record has
/// a version, so that files without versions keep their original format.
pub(crate) type VersionRuns = Vec<VersionRun>;

/// Groups the versions of records into runs.
pub(crate) fn version_runs(records: &[Record]) -> VersionRuns {
    let mut runs = VersionRuns::new();
    for record in records {
        match runs.last_mut() {
            Some(run) if run.version == record.rules => run.count += 1,
            _ => runs.push(VersionRun { count: 1, version: record.rules }),
        }
    }
    runs
}
