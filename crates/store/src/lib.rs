//! Persistence of one value across restarts, in a redb file.
//!
//! [`Store::save`] is atomic, and durable when it returns: after a crash the file has either the previous value or the
//! new one. A file that can't be used is never overwritten: [`Store::open`] renames it, reports why, and creates a new
//! file.
//!
//! The value is stored with its format and a checksum, so that files of newer releases and of other programs are
//! detected.
#![forbid(unsafe_code)]

mod encoding;
mod error;

use std::path::{Path, PathBuf};

use redb::{Database, ReadableDatabase, TableDefinition};

pub use crate::encoding::FORMAT_VERSION;
use crate::encoding::{decode, encode};
pub use crate::error::{StoreError, StoreFailure, UnusableFile};

const TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("sedgestack");
const KEY: &str = "value";

/// A file that can't be used and was renamed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantinedFile {
    /// New path of the file.
    pub moved_to: PathBuf,
    /// Why the file can't be used.
    pub reason: UnusableFile,
}

/// An open store. No other process can open its file at the same time.
pub struct Store {
    path: PathBuf,
    file: Database,
}

/// Result of [`Store::open`].
pub struct OpenedStore {
    /// The open store.
    pub store: Store,
    /// The value that was last saved; `None` in a new file.
    pub value: Option<Vec<u8>>,
    /// The file that was renamed because it can't be used.
    pub quarantined: Option<QuarantinedFile>,
}

/// An open file and its value.
struct ReadFile {
    file: Database,
    value: Option<Vec<u8>>,
}

/// Why a file could not be read.
enum ReadError {
    /// Another process has the file open.
    Locked,
    Unusable(UnusableFile),
}

impl ReadError {
    fn corrupt(error: impl std::fmt::Display) -> ReadError {
        ReadError::Unusable(UnusableFile::Corrupt(error.to_string()))
    }
}

/// Opens a file, creating it if it does not exist, and reads its value.
fn read(path: &Path) -> Result<ReadFile, ReadError> {
    let file = Database::create(path).map_err(|error| match error {
        redb::DatabaseError::DatabaseAlreadyOpen => ReadError::Locked,
        other => ReadError::corrupt(other),
    })?;
    let transaction = file.begin_read().map_err(ReadError::corrupt)?;
    let encoded = match transaction.open_table(TABLE) {
        Ok(table) => table.get(KEY).map_err(ReadError::corrupt)?.map(|found| found.value().to_vec()),
        Err(redb::TableError::TableDoesNotExist(_)) => None,
        Err(error) => return Err(ReadError::corrupt(error)),
    };
    drop(transaction);
    let value = encoded.map(|encoded| decode(&encoded)).transpose().map_err(ReadError::Unusable)?;
    Ok(ReadFile { file, value })
}

/// Like [`read`], but returns an error if redb panics, as it does on some truncated files, whose state
/// it assumes to be impossible.
fn read_catching_panics(path: &Path) -> Result<ReadFile, ReadError> {
    std::panic::catch_unwind(|| read(path))
        .unwrap_or_else(|_| Err(ReadError::corrupt("its pages do not match its length or each other")))
}

/// Returns the first unused path for renaming a file: `path` with `.aside-1` appended, or `.aside-2` and so on.
fn quarantine_path(path: &Path) -> PathBuf {
    let with_number = |number: u32| {
        let mut name = path.as_os_str().to_owned();
        name.push(format!(".aside-{number}"));
        PathBuf::from(name)
    };
    (1..).map(with_number).find(|candidate| !candidate.exists()).expect("the range of numbers is unlimited")
}

/// Renames a file that can't be used.
fn quarantine(path: &Path, reason: UnusableFile) -> Result<QuarantinedFile, StoreFailure> {
    let moved_to = quarantine_path(path);
    match std::fs::rename(path, &moved_to) {
        Ok(()) => Ok(QuarantinedFile { moved_to, reason }),
        Err(error) => Err(StoreFailure::Quarantine { reason, error }),
    }
}

impl Store {
    /// Opens the file at `path`, creating it if it does not exist. If the file can't be used, renames it to `path` with
    /// `.aside-1` appended (or the next unused number) and creates a new one.
    ///
    /// # Errors
    /// Returns an error if another process has the file open, or if the file can't be used and can't be replaced.
    pub fn open(path: &Path) -> Result<OpenedStore, StoreError> {
        let failed = |failure| StoreError::new(path, failure);
        let opened = |read: ReadFile, quarantined| OpenedStore {
            store: Store { path: path.to_path_buf(), file: read.file },
            value: read.value,
            quarantined,
        };
        let reason = match read_catching_panics(path) {
            Ok(read) => return Ok(opened(read, None)),
            Err(ReadError::Locked) => return Err(failed(StoreFailure::Locked)),
            Err(ReadError::Unusable(reason)) => reason,
        };
        let quarantined = quarantine(path, reason).map_err(failed)?;
        let new = read_catching_panics(path).map_err(|_| failed(StoreFailure::NewFile))?;
        Ok(opened(new, Some(quarantined)))
    }

    /// Replaces the value. Once this returns, the new value survives a crash of the process or the machine.
    ///
    /// # Errors
    /// Returns an error if the value can't be written. The previous value is then unchanged.
    pub fn save(&self, value: &[u8]) -> Result<(), StoreError> {
        self.write(value).map_err(|failure| StoreError::new(&self.path, failure))
    }

    fn write(&self, value: &[u8]) -> Result<(), StoreFailure> {
        let transaction = self.file.begin_write()?;
        {
            let mut table = transaction.open_table(TABLE)?;
            table.insert(KEY, encode(value).as_slice())?;
        }
        Ok(transaction.commit()?)
    }
}
