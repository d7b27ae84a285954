//! Errors that occur when captures are read or merged.

use std::io;

use crate::format::FORMAT_VERSION;

/// Why a file can't be read as a capture at all.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The file can't be opened or read.
    #[error("{file}: {why}")]
    Io {
        /// Path of the file.
        file: String,
        /// The error of the operating system.
        why: io::Error,
    },
    /// The file does not begin with a valid header of this version.
    #[error("{file}: at byte {offset}: {why}")]
    InvalidHeader {
        /// Path of the file, or the name that the caller gave it.
        file: String,
        /// Offset of the invalid part of the header, in bytes.
        offset: u64,
        /// What is wrong with the header.
        why: HeaderError,
    },
}

/// Why a header is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeaderError {
    /// The file does not begin with the magic bytes of captures.
    #[error("is no capture: expected it to begin with SEDGECAP")]
    NoMagic,
    /// The file has a different version of the format, which is given here.
    #[error("is version {0}; this program reads version {supported}", supported = FORMAT_VERSION)]
    UnsupportedVersion(u16),
    /// The file ends within the header, or the stored length of the header exceeds the maximum.
    #[error("ends within its header")]
    Truncated,
    /// The checksum of the header's content differs from the stored checksum.
    #[error("its header is damaged: the checksum differs")]
    ChecksumMismatch,
    /// The checksum is correct, but the header's content can't be decoded.
    #[error("its header can't be read: {0}")]
    Undecodable(postcard::Error),
}

/// The first damage in a file. Everything before it is intact.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("at byte {offset}: {why}")]
pub struct Damage {
    /// Offset of the first damaged frame, in bytes.
    pub offset: u64,
    /// What is wrong with the frame.
    pub why: BlockError,
}

/// Why a frame, which is a block or the end mark, can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BlockError {
    /// The file ends after a complete block, but without an end mark: its writer was stopped before it finished.
    #[error("the end mark is missing")]
    MissingEndMark,
    /// The file ends within the mark, lengths and checksum that precede a block's payload.
    #[error("ends within a block's head")]
    TruncatedHead,
    /// A frame begins with neither the mark of a block nor the end mark.
    #[error("expected a block or the end mark, found other bytes")]
    UnknownMark,
    /// A stored length exceeds the maximum for blocks; no memory is allocated for it.
    #[error("a block is longer than any is written")]
    TooLong,
    /// The file ends within a block's payload.
    #[error("ends within a block")]
    Truncated,
    /// The checksum of a block's payload differs from the stored checksum.
    #[error("a block's checksum differs")]
    ChecksumMismatch,
    /// A block's payload can't be decompressed. Holds the decompressor's message, because its error can't be cloned.
    #[error("{0}")]
    Undecompressable(String),
    /// The records or versions of a decompressed block can't be decoded.
    #[error("{0}")]
    Undecodable(#[from] postcard::Error),
    /// There are fewer versions of the runtime configuration after a block than records in it.
    #[error("a block has fewer versions of the rules than records")]
    MissingVersions,
    /// There are more versions of the runtime configuration after a block than records in it.
    #[error("a block has more versions of the rules than records")]
    ExtraVersions,
    /// The number of time steps in a block differs from the number of its records.
    #[error("a block has not as many times as records")]
    TimeCountMismatch,
    /// An index in a record is outside the list that it refers to.
    #[error("a record names a class, plan, destination or source that the file does not")]
    UnknownName,
}

/// Why captures can't be merged.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MergeError {
    /// No captures were given.
    #[error("no captures")]
    NoCaptures,
    /// One of several captures is the result of a merge already; only captures of single limiters can be merged.
    #[error("{limiter} is merged already: merge limiters' own captures")]
    AlreadyMerged {
        /// Name in the header of the merged capture: the names of its limiters, joined by `+`.
        limiter: String,
    },
    /// Two captures are of different deployments, or of different configurations.
    #[error("captures of {first} and {other} are not of one tier: {difference} differ")]
    DifferentTiers {
        /// Name of the limiter of the first capture, with which all others are compared.
        first: String,
        /// Name of the limiter whose capture differs from the first.
        other: String,
        /// The first difference found.
        difference: TierDifference,
    },
    /// Two captures are of the same incarnation of a limiter; its requests would be counted twice.
    #[error("limiter {number} is there twice, from the same start")]
    DuplicateLimiter {
        /// Number of the limiter, from 0.
        number: u32,
    },
}

/// How the headers of two captures show that the limiters are of different tiers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TierDifference {
    /// The names or the order of the classes or plans differ.
    #[error("classes or plans")]
    ClassesOrPlans,
    /// The secret hash keys differ, so that the hashes of the same customer differ.
    #[error("the keys of their hashes")]
    HashKeys,
    /// The numbers of limiters of the tier differ.
    #[error("their numbers of limiters")]
    LimiterCounts,
}

#[cfg(test)]
mod tests;
