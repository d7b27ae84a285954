//! Errors of files and of the store.

use std::path::{Path, PathBuf};

use crate::encoding::FORMAT_VERSION;

/// Why a file can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnusableFile {
    /// redb can't read the file, or the stored value is shorter than its header.
    #[error("the file is corrupt or was not written by this program: {0}")]
    Corrupt(String),
    /// A newer release wrote the file.
    #[error("its format version {0} is newer than {FORMAT_VERSION}, the newest supported one")]
    UnknownFormat(u8),
    /// The value does not match its checksum.
    #[error("its checksum does not match")]
    ChecksumMismatch,
}

/// Why opening a store or saving a value failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreFailure {
    /// Another process has the file open.
    #[error("another process has the file open")]
    Locked,
    /// The file can't be used, and renaming it failed.
    #[error("{reason}; renaming the file failed: {error}")]
    Quarantine {
        /// Why the file can't be used.
        reason: UnusableFile,
        /// Why renaming it failed.
        error: std::io::Error,
    },
    /// Creating a new file in place of a renamed one failed.
    #[error("a new file can't be created")]
    NewFile,
    /// A write could not be started.
    #[error(transparent)]
    Transaction(#[from] redb::TransactionError),
    /// The table could not be opened for a write.
    #[error(transparent)]
    Table(#[from] redb::TableError),
    /// The value could not be written.
    #[error(transparent)]
    Storage(#[from] redb::StorageError),
    /// The write could not be made durable.
    #[error(transparent)]
    Commit(#[from] redb::CommitError),
}

/// An error of a store, with the path of its file.
#[derive(Debug, thiserror::Error)]
#[error("{path}: {failure}", path = .path.display())]
pub struct StoreError {
    /// Path of the store's file.
    pub path: PathBuf,
    /// What failed.
    pub failure: StoreFailure,
    /// Whether another process has the file open. It may close the file, so a later attempt may succeed.
    pub locked: bool,
}

impl StoreError {
    pub(crate) fn new(path: &Path, failure: StoreFailure) -> StoreError {
        let locked = matches!(failure, StoreFailure::Locked);
        StoreError { path: path.to_path_buf(), failure, locked }
    }
}

#[cfg(test)]
mod tests;
