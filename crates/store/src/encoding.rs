//! Encoding of a stored value: a format byte, a checksum and the value.

use crate::error::UnusableFile;

/// Version of the encoding that this release writes, and the newest that it reads.
pub const FORMAT_VERSION: u8 = 1;
/// Length of the checksum in bytes: the first bytes of the value's BLAKE3 digest.
const CHECKSUM_BYTES: usize = 16;
/// Length of the format byte and the checksum, in bytes.
const HEADER_BYTES: usize = 1 + CHECKSUM_BYTES;

fn checksum(value: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let digest = blake3::hash(value);
    std::array::from_fn(|n| digest.as_bytes()[n])
}

/// Prefixes a value with its format and checksum.
pub(crate) fn encode(value: &[u8]) -> Vec<u8> {
    [&[FORMAT_VERSION][..], &checksum(value), value].concat()
}

/// Returns the value from the output of [`encode`].
pub(crate) fn decode(encoded: &[u8]) -> Result<Vec<u8>, UnusableFile> {
    let format = encoded.first().copied().unwrap_or(0);
    if format > FORMAT_VERSION {
        return Err(UnusableFile::UnknownFormat(format));
    }
    let (Some(stored_checksum), Some(value)) = (encoded.get(1..HEADER_BYTES), encoded.get(HEADER_BYTES..))
    else {
        return Err(UnusableFile::Corrupt("the value is truncated".into()));
    };
    if stored_checksum == checksum(value) {
        Ok(value.to_vec())
    } else {
        Err(UnusableFile::ChecksumMismatch)
    }
}

#[cfg(test)]
mod tests;
