//! Files left by a crash, by another program or by a newer release.

use sedgestack_store::{Store, UnusableFile, FORMAT_VERSION};

#[test]
fn last_saved_value_survives_a_restart() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let path = directory.path().join("tier.redb");
    let opened = Store::open(&path).expect("a new file can be created");
    assert_eq!((opened.value, opened.quarantined), (None, None));
    opened.store.save(b"one").expect("the value can be saved");
    opened.store.save(b"two").expect("the value can be saved");
    assert!(Store::open(&path).is_err(), "two processes with one store would vote twice");
    drop(opened.store);
    assert_eq!(Store::open(&path).expect("the file can be opened").value, Some(b"two".to_vec()));
}

#[test]
fn unusable_files_are_renamed() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let path = directory.path().join("tier.redb");
    Store::open(&path)
        .expect("a new file can be created")
        .store
        .save(&[7; 3_000])
        .expect("the value can be saved");
    let intact = std::fs::read(&path).expect("the file can be read");
    let mut corrupt_header = intact.clone();
    corrupt_header[..64].iter_mut().for_each(|b| *b ^= 0x5a);
    let half_zeroed = [&intact[..intact.len() / 2], &vec![0; intact.len() / 2][..]].concat();
    let cases: [(&str, Vec<u8>); 4] = [
        ("truncated", intact[..intact.len() / 3].to_vec()),
        ("other program", b"#!/bin/sh\necho this is no store\n".repeat(200)),
        ("corrupt header", corrupt_header),
        ("half zeroed", half_zeroed),
    ];
    for (n, (name, bytes)) in cases.into_iter().enumerate() {
        std::fs::write(&path, &bytes).expect("the file can be written");
        let opened = Store::open(&path).unwrap_or_else(|e| panic!("{name}: {e}"));
        let quarantined = opened.quarantined.unwrap_or_else(|| panic!("{name}: the file was accepted"));
        // redb may repair a half-written file. The value must then be the saved one or none, never another.
        assert_eq!(opened.value, None, "{name}");
        assert_eq!(
            quarantined.moved_to,
            directory.path().join(format!("tier.redb.aside-{}", n + 1)),
            "{name}"
        );
        assert!(
            matches!(quarantined.reason, UnusableFile::Corrupt(_) | UnusableFile::ChecksumMismatch),
            "{name}: {:?}",
            quarantined.reason
        );
        assert_eq!(
            std::fs::read(&quarantined.moved_to).expect("the renamed file can be read").len(),
            bytes.len(),
            "{name}"
        );
    }
}

#[test]
fn file_of_newer_format_is_not_overwritten() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let path = directory.path().join("tier.redb");
    let table: redb::TableDefinition<&str, &[u8]> = redb::TableDefinition::new("sedgestack");
    {
        let file = redb::Database::create(&path).expect("a new file can be created");
        let transaction = file.begin_write().expect("the file can be written");
        transaction
            .open_table(table)
            .expect("the table can be created")
            .insert("value", &[FORMAT_VERSION + 1; 40][..])
            .expect("the value can be inserted");
        transaction.commit().expect("the write can be committed");
    }
    let opened = Store::open(&path).expect("a new file can be created");
    assert_eq!(
        opened.quarantined.expect("the file was renamed").reason,
        UnusableFile::UnknownFormat(FORMAT_VERSION + 1)
    );
    assert_eq!(opened.value, None);
}
