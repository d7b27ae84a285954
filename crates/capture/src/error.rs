//! Errors of reading and merging captures.

use std::io;

use crate::format::FORMAT_VERSION;

/// A file that can't be read as a capture at all.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The operating system reported an error on opening or reading the file.
    #[error("{file}: {why}")]
    Io {
        /// Path of the file.
        file: String,
        /// The error of the operating system.
        why: io::Error,
    },
    /// The file has no valid header of this version.
    #[error("{file}: at byte {offset}: {why}")]
    InvalidHeader {
        /// Path of the file, or the name that the caller gave it.
        file: String,
        /// Bytes from the beginning of the file to the part of the header that is wrong.
        offset: u64,
        /// What is wrong with the header.
        why: HeaderError,
    },
}

/// Why the beginning of a file is not that of a capture of this version.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeaderError {
    /// The file does not begin with the magic bytes of captures.
    #[error("is no capture: expected it to begin with SEDGECAP")]
    NoMagic,
    /// The file has another version of the format, which is the value here.
    #[error("is version {0}; this program reads version {supported}", supported = FORMAT_VERSION)]
    UnsupportedVersion(u16),
    /// The file ends before its header does, or the header is longer than any is written.
    #[error("ends within its header")]
    Truncated,
    /// The checksum of the header's content is not the one stored with it.
    #[error("its header is damaged: the checksum differs")]
    ChecksumMismatch,
    /// The header's checksum is right, but its content can't be decoded.
    #[error("its header can't be read: {0}")]
    Undecodable(postcard::Error),
}

/// Where a file stops being readable, and why. Everything before it is intact.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("at byte {offset}: {why}")]
pub struct Damage {
    /// Bytes from the beginning of the file to the first frame that is not intact.
    pub offset: u64,
    /// What is wrong with that frame.
    pub why: BlockError,
}

/// Why a block can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BlockError {
    /// The file ends after a whole block, but without an end mark: its writer was stopped early.
    #[error("the end mark is missing")]
    MissingEndMark,
    /// The file ends within the mark, lengths and checksum that precede a block's payload.
    #[error("ends within a block's head")]
    TruncatedHead,
    /// Neither the mark of a block nor the end mark stands where a frame must begin.
    #[error("expected a block or the end mark, found other bytes")]
    UnknownMark,
    /// A stored length exceeds the limit for blocks, so that no memory is allocated for it.
    #[error("a block is longer than any is written")]
    TooLong,
    /// The file ends within a block's payload.
    #[error("ends within a block")]
    Truncated,
    /// The checksum of a block's payload is not the one stored with it.
    #[error("a block's checksum differs")]
    ChecksumMismatch,
    /// With the message of the decompressor, whose error can't be cloned.
    #[error("{0}")]
    Undecompressable(String),
    /// A block was decompressed, but its records or versions can't be decoded.
    #[error("{0}")]
    Undecodable(#[from] postcard::Error),
    /// The versions of the runtime configuration behind a block cover only some of its records.
    #[error("a block has fewer versions of the rules than records")]
    MissingVersions,
    /// The versions of the runtime configuration behind a block are more than its records.
    #[error("a block has more versions of the rules than records")]
    ExtraVersions,
    /// The number of time steps in a block is not the number of its records.
    #[error("a block has not as many times as records")]
    TimeCountMismatch,
    /// An index in a record lies outside the list of names that it refers to.
    #[error("a record names a class, plan, destination or source that the file does not")]
    UnknownName,
}

/// Why captures can't be merged.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MergeError {
    /// There is nothing to merge.
    #[error("no captures")]
    NoCaptures,
    /// One of several captures is a merged one; only limiters' own captures are merged with others.
    #[error("{limiter} is merged already: merge limiters' own captures")]
    AlreadyMerged {
        /// Name in the header of the merged capture: those of its limiters, joined by `+`.
        limiter: String,
    },
    /// Two captures were written in different deployments, or under different configurations.
    #[error("captures of {first} and {other} are not of one tier: {difference} differ")]
    DifferentTiers {
        /// Name of the limiter of the first capture, which the others are compared with.
        first: String,
        /// Name of the limiter whose capture differs from it.
        other: String,
        /// What differs first, in the order of the check.
        difference: TierDifference,
    },
    /// Two captures are of the same incarnation of a limiter, whose requests would count twice.
    #[error("limiter {number} is there twice, from the same start")]
    DuplicateLimiter {
        /// The limiter's number, from 0.
        number: u32,
    },
}

/// What tells the captures of two tiers apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TierDifference {
    /// The names of the classes or of the plans, or their order.
    #[error("classes or plans")]
    ClassesOrPlans,
    /// The secret keys of the hashes, so that one customer's hashes don't match.
    #[error("the keys of their hashes")]
    HashKeys,
    /// How many limiters the header says that the tier has.
    #[error("their numbers of limiters")]
    LimiterCounts,
}

#[cfg(test)]
mod tests;
