//! The cordon file: round trips, sharing between two processes, and damaged or missing files.

use super::*;

fn fresh_dir(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("sedgestack-test-{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&dir);
    fs::create_dir_all(&dir).expect("created");
    dir
}

#[test]
fn written_set_is_read_back_and_fully_replaced() {
    let dir = fresh_dir("cordons");
    let file = path(&dir, "127.0.0.1:8080".parse().expect("an address"));
    assert!(read(&file).is_empty(), "without a file nothing is cordoned");
    write(&file, ["w2", "w1"]).expect("written");
    assert_eq!(read(&file), BTreeSet::from(["w1".to_string(), "w2".to_string()]));
    write(&file, ["w1"]).expect("written");
    assert_eq!(read(&file), BTreeSet::from(["w1".to_string()]));
    assert_eq!(fs::read_dir(&dir).expect("listed").count(), 1, "no temporary file is left");
    fs::remove_dir_all(dir).expect("cleaned");
}

/// A process neither overwrites nor misses the changes of another.
#[tokio::test]
async fn each_process_sees_changes_of_the_other() {
    let dir = fresh_dir("shared");
    let file = path(&dir, "127.0.0.1:8080".parse().expect("an address"));
    let (control, mut calls) = mpsc::channel(4);
    let update_lock = Arc::new(Mutex::new(()));
    let watch_task = tokio::spawn(watch_file(file.clone(), update_lock.clone(), control));
    let mut expect_replaced = async |expected: &[&str]| loop {
        let Some(ControlCommand::ReplaceCordons { names, reply }) = calls.recv().await else {
            panic!("the watch ended")
        };
        reply.send(()).expect("the watch waits for the reply");
        if names.iter().map(String::as_str).eq(expected.iter().copied()) {
            return;
        }
    };
    change(&file, "w1", true).expect("written");
    expect_replaced(&["w1"]).await;
    change(&file, "w2", true).expect("written");
    expect_replaced(&["w1", "w2"]).await;
    fs::write(&file, b"{").expect("damaged");
    let count_before = COUNTERS.cordons_unreadable.get();
    while COUNTERS.cordons_unreadable.get() == count_before {
        tokio::task::yield_now().await;
    }
    change(&file, "w3", true).expect("written anew");
    expect_replaced(&["w3"]).await;
    drop(calls);
    change(&file, "w3", false).expect("written");
    watch_task.await.expect("the watch ends with the control actor");
    fs::remove_dir_all(dir).expect("cleaned");
}

#[test]
fn damaged_file_is_counted_and_read_as_empty() {
    let dir = fresh_dir("garbled");
    let file = path(&dir, "127.0.0.1:8080".parse().expect("an address"));
    fs::write(&file, b"{\"cordoned\": [\"w1\", ").expect("written");
    let count_before = COUNTERS.cordons_unreadable.get();
    assert!(read(&file).is_empty());
    assert_eq!(COUNTERS.cordons_unreadable.get(), count_before + 1);
    fs::remove_dir_all(dir).expect("cleaned");
}

#[test]
fn writing_to_missing_directory_fails_and_leaves_no_file() {
    let dir = fresh_dir("missing").join("not-there");
    let file = path(&dir, "127.0.0.1:8080".parse().expect("an address"));
    assert!(write(&file, ["w1"]).is_err());
    assert!(read(&file).is_empty());
}
