//! What `.ci/known-red` leaves out, and what it refuses.

use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};

const TESTS: &str = "a_test\nmodule::another\na_test_of_more\ntwice\ntwice\n";

fn file(text: &str) -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let name = format!("known-red-{}-{}", std::process::id(), NEXT.fetch_add(1, Relaxed));
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the target folder can be written");
    path
}

fn known_red(list: &str) -> Output {
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/known-red");
    Command::new(script).args([file(list), file(TESTS)]).output().expect("the script starts")
}

#[test]
fn exactly_the_tests_named_are_left_out_and_each_line_is_told() {
    let list = "a_test | it fails | 31\n\nmodule::another | it fails too | 32";
    let done = known_red(list);
    assert!(done.status.success());
    assert_eq!(String::from_utf8_lossy(&done.stdout), "--exact\n--skip\na_test\n--skip\nmodule::another\n");
    let told = String::from_utf8_lossy(&done.stderr);
    assert_eq!(told, "known red: a_test | it fails | 31\nknown red: module::another | it fails too | 32\n");
}

#[test]
fn an_empty_list_leaves_out_nothing() {
    let done = known_red("\n");
    assert!(done.status.success() && done.stdout.is_empty());
}

#[test]
fn a_faulty_list_leaves_out_nothing_and_fails() {
    let three = "a_test | a | 1\nmodule::another | b | 2\na_test_of_more | c | 3\n";
    for (list, why) in [
        ("a_tes | it fails | 31", "line 1: 'a_tes' is expected to name one test, and names 0"),
        ("twice | it fails | 31", "line 1: 'twice' is expected to name one test, and names 2"),
        ("a_test", "line 1: a cause is expected behind the test"),
        ("a_test | | 31", "line 1: a cause is expected behind the test"),
        ("\na_test | it fails", "line 2: an issue is expected behind the cause"),
        ("a_test | it fails | ", "line 1: an issue is expected behind the cause"),
        ("a_test | it | fails | 31", "line 1: 'test | cause | issue' is expected"),
        (&format!("{three}a_test | d | 4"), "line 4: three lines at most are expected"),
    ] {
        let done = known_red(list);
        assert!(!done.status.success(), "{list}");
        assert!(done.stdout.is_empty(), "{list}");
        let told = String::from_utf8_lossy(&done.stderr);
        assert!(told.trim_end().ends_with(why), "{list}: {told}");
    }
}
