//! Compatibility with files of earlier releases in both directions: a store must survive an upgrade and a downgrade.

use std::path::{Path, PathBuf};

use redb::{Database, ReadableDatabase, TableDefinition};
use sedgestack_store::Store;
use tempfile::TempDir;

/// A file that an earlier release wrote in two saves, compressed with zstd because most of it is empty.
const RECORDED: &[u8] = include_bytes!("fixtures/store.redb.zst");
/// Maximum size of the decompressed file, in bytes.
const MAX_FILE_SIZE: usize = 16 << 20;

/// The value that was last saved in the recorded file. It is longer than a page.
fn recorded_value() -> Vec<u8> {
    (0..10_000u32).map(|n| (n / 7) as u8).collect()
}

/// Writes the recorded file into a directory and returns its path.
fn write_recorded_file(directory: &TempDir) -> PathBuf {
    let path = directory.path().join("recorded.redb");
    let file = zstd::bulk::decompress(RECORDED, MAX_FILE_SIZE).expect("the fixture can be decompressed");
    std::fs::write(&path, file).expect("the file can be written");
    path
}

/// Returns the encoded value in the file's table: the value with its format and checksum.
fn encoded_value(path: &Path) -> Vec<u8> {
    let table: TableDefinition<&str, &[u8]> = TableDefinition::new("sedgestack");
    let file = Database::create(path).expect("a valid redb file");
    let transaction = file.begin_read().expect("the file can be read");
    let table = transaction.open_table(table).expect("the table exists");
    let found = table.get("value").expect("the table can be read").expect("the value exists");
    found.value().to_vec()
}

#[test]
fn recorded_file_is_readable() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let path = write_recorded_file(&directory);
    let opened = Store::open(&path).expect("the file can be opened");
    assert_eq!((opened.value, opened.quarantined), (Some(recorded_value()), None));
    opened.store.save(b"the next value").expect("the value can be saved");
    drop(opened.store);
    assert_eq!(
        Store::open(&path).expect("the file can be opened").value.as_deref(),
        Some(&b"the next value"[..])
    );
}

#[test]
fn encoding_is_unchanged() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let path = directory.path().join("new.redb");
    Store::open(&path).expect("a new file").store.save(&recorded_value()).expect("the value can be saved");
    assert_eq!(encoded_value(&path), encoded_value(&write_recorded_file(&directory)));
}
