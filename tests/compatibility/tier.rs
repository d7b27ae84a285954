//! Versions of the runtime configuration: the store, the admin calls that change versions, and the log lines.

use std::path::Path;

use sedgestack_store::Store;
use serde_json::{json, Value};

use super::daemon::{assert_matches_recording, configuration, distinct_lines, Daemon, TestDirectory};

/// Store of a single limiter after a change and a pin, compressed with zstd.
const RECORDED_STORE: &[u8] = include_bytes!("fixtures/tier.redb.zst");
/// Value in that store: JSON that the new process of an upgrade reads.
const RECORDED_VALUE: &str = include_str!("fixtures/tier-kept.json");
/// Maximum size of the decompressed store, in bytes.
const MAX_STORE_SIZE: usize = 16 << 20;
/// Keys whose values differ between runs.
const TIME_KEYS: [&str; 5] = ["at", "at_us", "known_for_ms", "allocated", "resident"];
/// Keys whose values differ between runs that start with the recorded store.
const TIME_KEYS_WITH_RECORDED_STORE: [&str; 1] = ["known_for_ms"];
/// A document whose parent is version 0.
const CHANGE: &str = include_str!("fixtures/change.hcl");

/// Starts a single limiter that stores its versions in `tier.redb`.
fn start(directory: &TestDirectory) -> Daemon {
    let mut config = configuration();
    config["settings"]["caps"]["peerMessages"] = json!(true);
    config["peer_listen"] = json!("127.0.0.1:0");
    let settings = format!(
        "log {{\n  format = \"json\"\n}}\ntier {{\n  store = \"{}\"\n  round = \"50ms\"\n  lease = \"200ms\"\n  \
         skew = \"100ms\"\n  lead = \"700ms\"\n}}\n",
        directory.path("tier.redb").display()
    );
    let mut daemon = Daemon::start(directory, &config, &settings);
    daemon.wait_for_line("tier: replica status Current");
    daemon
}

/// Formats an answer as indented JSON, without the values of `time_keys`.
fn format_answer(mut answer: Value, time_keys: &[&str]) -> String {
    replace_times(&mut answer, time_keys);
    serde_json::to_string_pretty(&answer).expect("JSON can be written") + "\n"
}

/// Replaces the numbers of `time_keys`.
fn replace_times(value: &mut Value, time_keys: &[&str]) {
    match value {
        Value::Object(entries) => {
            for (key, value) in entries.iter_mut() {
                if time_keys.contains(&key.as_str()) && value.is_u64() {
                    *value = json!("NUMBER");
                }
                replace_times(value, time_keys);
            }
        }
        Value::Array(values) => values.iter_mut().for_each(|value| replace_times(value, time_keys)),
        _ => {}
    }
}

/// A daemon, and a transcript of the admin calls to it.
struct Session {
    daemon: Daemon,
    transcript: String,
}

impl Session {
    /// Sends a call that succeeds, and returns its answer.
    fn call(&mut self, method: &str, path: &str, body: &str) -> Value {
        let answer = self.daemon.call_admin_json(method, path, body);
        self.transcript += &format!("{method} {path}\n{}", format_answer(answer.clone(), &TIME_KEYS));
        answer
    }

    /// Sends a call that is refused.
    fn call_refused(&mut self, method: &str, path: &str) {
        let answer = self.daemon.call_admin(method, path, "");
        self.transcript += &format!("{method} {path}\n{} {}", answer.status, answer.body);
    }
}

/// Returns the value in a store.
fn read_store(path: &Path) -> String {
    let opened = Store::open(path).expect("the daemon has closed the store");
    assert_eq!(opened.quarantined, None);
    String::from_utf8(opened.value.expect("the store has a value")).expect("the value is UTF-8")
}

#[test]
fn answers_and_log_of_a_change_and_a_pin_are_as_recorded() {
    let directory = TestDirectory::new();
    let mut session = Session { daemon: start(&directory), transcript: String::new() };
    session.call("GET", "/admin/rules", "");
    let staged = session.call("PUT", "/admin/rules/stage", CHANGE);
    let digest = staged["digest"].as_str().expect("a digest");
    session.call("PUT", &format!("/admin/rules/commit?digest={digest}"), "");
    session.daemon.wait_for_line("tier: version 1 is active");
    session.call("GET", "/admin/rules", "");
    session.call("PUT", "/admin/rules/pin", "");
    session.daemon.wait_for_line("tier: version 2 is active");
    session.call("GET", "/admin/rules", "");
    session.call("GET", "/admin/stats", "");
    session.call_refused("PUT", "/admin/rules/undo");
    let Session { daemon, transcript } = session;
    assert_matches_recording("rules.txt", &transcript);
    // Other lines are left out: they include a version from the time at which the first one is known, which varies.
    let lines: Vec<String> = daemon.stop().into_iter().filter(|line| line.contains("tier:")).collect();
    assert_matches_recording("log-tier.txt", &distinct_lines(&directory, &lines));
    let stored: Value = serde_json::from_str(&read_store(&directory.path("tier.redb"))).expect("valid JSON");
    assert_eq!(stored["history"].as_array().map(Vec::len), Some(2), "{stored}");
}

#[test]
fn recorded_store_is_read_and_rewritten_byte_for_byte() {
    let directory = TestDirectory::new();
    let store =
        zstd::bulk::decompress(RECORDED_STORE, MAX_STORE_SIZE).expect("the fixture can be decompressed");
    let path = directory.write("tier.redb", store);
    assert_eq!(read_store(&path), RECORDED_VALUE);
    let daemon = start(&directory);
    let status = daemon.call_admin_json("GET", "/admin/rules", "");
    assert_matches_recording("rules-taken-up.json", &format_answer(status, &TIME_KEYS_WITH_RECORDED_STORE));
    let lines = daemon.stop();
    let counters = lines.last().expect("the log ends with the counters");
    assert!(counters.contains("\"tier_set_aside\":0,"), "{counters}");
    assert!(!counters.contains("\"tier_saved\":0,"), "the store was not rewritten: {counters}");
    assert_eq!(read_store(&path), RECORDED_VALUE);
}
