//! Texts of the errors, and which errors are worth another attempt.

use super::*;

#[test]
fn error_texts_include_the_path() {
    let text = |failure| StoreError::new(Path::new("/srv/tier.redb"), failure).to_string();
    let reason = UnusableFile::ChecksumMismatch;
    let error = std::io::Error::other("no space");
    assert_eq!(text(StoreFailure::Locked), "/srv/tier.redb: another process has the file open");
    assert_eq!(
        text(StoreFailure::Quarantine { reason, error }),
        "/srv/tier.redb: its checksum does not match; renaming the file failed: no space"
    );
    assert_eq!(text(StoreFailure::NewFile), "/srv/tier.redb: a new file can't be created");
    let storage = redb::StorageError::Corrupted("page 3".into());
    assert_eq!(text(StoreFailure::Storage(storage)), "/srv/tier.redb: DB corrupted: page 3");
}

#[test]
fn only_lock_failures_are_marked_as_locked() {
    let locked = |failure| StoreError::new(Path::new("tier.redb"), failure).locked;
    assert!(locked(StoreFailure::Locked));
    assert!(!locked(StoreFailure::NewFile));
}
