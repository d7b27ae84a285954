//! The file of cordons: read back, shared by two processes, damaged or missing.

use super::*;

fn fresh_dir(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("sedgestack-test-{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&dir);
    fs::create_dir_all(&dir).expect("a directory for this test");
    dir
}

#[test]
fn a_written_set_is_read_back_and_replaced_whole() {
    let dir = fresh_dir("cordons");
    let file = path(&dir, "127.0.0.1:8080".parse().expect("an address"));
    assert!(read(&file).is_empty(), "without a file nothing is cordoned");
    write(&file, ["w2", "w1"]).expect("written");
    assert_eq!(read(&file), BTreeSet::from(["w1".to_string(), "w2".to_string()]));
    write(&file, ["w1"]).expect("written");
    assert_eq!(read(&file), BTreeSet::from(["w1".to_string()]));
    assert_eq!(fs::read_dir(&dir).expect("listed").count(), 1, "no other file is left");
    fs::remove_dir_all(dir).expect("cleaned");
}

/// Neither process overwrites or misses what the other writes.
#[tokio::test]
async fn each_process_sees_what_the_other_writes() {
    let dir = fresh_dir("shared");
    let file = path(&dir, "127.0.0.1:8080".parse().expect("an address"));
    let (control, mut calls) = mpsc::channel(4);
    let order = Arc::new(Mutex::new(()));
    let follower = tokio::spawn(watch_file(file.clone(), order.clone(), control));
    let mut expect_replaced = async |expected: &[&str]| loop {
        let Some(ControlCommand::ReplaceCordons { names, reply }) = calls.recv().await else {
            panic!("the watch goes on")
        };
        reply.send(()).expect("it waits for the reply");
        if names.iter().map(String::as_str).eq(expected.iter().copied()) {
            return;
        }
    };
    change(&file, "w1", true).expect("written");
    expect_replaced(&["w1"]).await;
    change(&file, "w2", true).expect("written");
    expect_replaced(&["w1", "w2"]).await;
    fs::write(&file, b"{").expect("damaged");
    let before = COUNTERS.cordons_unreadable.get();
    while COUNTERS.cordons_unreadable.get() == before {
        tokio::task::yield_now().await;
    }
    change(&file, "w3", true).expect("written anew");
    expect_replaced(&["w3"]).await;
    drop(calls);
    change(&file, "w3", false).expect("written");
    follower.await.expect("it ends with the control actor");
    fs::remove_dir_all(dir).expect("cleaned");
}

#[test]
fn a_damaged_file_is_counted_and_read_as_empty() {
    let dir = fresh_dir("garbled");
    let file = path(&dir, "127.0.0.1:8080".parse().expect("an address"));
    fs::write(&file, b"{\"cordoned\": [\"w1\", ").expect("written");
    let before = COUNTERS.cordons_unreadable.get();
    assert!(read(&file).is_empty());
    assert_eq!(COUNTERS.cordons_unreadable.get(), before + 1);
    fs::remove_dir_all(dir).expect("cleaned");
}

#[test]
fn writing_into_a_missing_directory_fails_and_leaves_nothing() {
    let dir = fresh_dir("missing").join("not-there");
    let file = path(&dir, "127.0.0.1:8080".parse().expect("an address"));
    assert!(write(&file, ["w1"]).is_err());
    assert!(read(&file).is_empty());
}
