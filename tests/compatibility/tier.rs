//! Versions of the rules: the store that outlives a process, the calls that change them, and the lines that tell.

use std::path::Path;

use sedgestack_store::Store;
use serde_json::{json, Value};

use super::daemon::{assert_as_recorded, configuration, distinct, Daemon, Folder};

/// The store of a limiter that stood alone, after a change of its rules and a pin; zstd-compressed.
const STORE: &[u8] = include_bytes!("fixtures/tier.redb.zst");
/// What that store holds: JSON that the process of an upgrade reads.
const KEPT: &str = include_str!("fixtures/tier-kept.json");
/// Room for the store unpacked, bytes.
const LONGEST_STORE: usize = 16 << 20;
/// Values that differ from run to run.
const TIMES: [&str; 3] = ["at", "at_us", "known_for_ms"];
/// Of them, what differs where the versions are recorded ones.
const TIME_LEFT: [&str; 1] = ["known_for_ms"];
/// A version made for version 0.
const CHANGE: &str = include_str!("fixtures/change.hcl");

/// A limiter that stands alone and keeps its versions in `tier.redb`.
fn start(folder: &Folder) -> Daemon {
    let mut alone = configuration();
    alone["settings"]["caps"]["peerMessages"] = json!(true);
    alone["peer_listen"] = json!("127.0.0.1:0");
    let settings = format!(
        "log {{\n  format = \"json\"\n}}\ntier {{\n  store = \"{}\"\n  round = \"50ms\"\n  lease = \"200ms\"\n  \
         skew = \"100ms\"\n  lead = \"700ms\"\n}}\n",
        folder.path("tier.redb").display()
    );
    let mut daemon = Daemon::start(folder, &alone, &settings);
    daemon.until("tier: replica status Current");
    daemon
}

/// An answer as indented JSON, without the values that differ from run to run.
fn worded(mut answer: Value, times: &[&str]) -> String {
    without_times(&mut answer, times);
    serde_json::to_string_pretty(&answer).expect("JSON can be written") + "\n"
}

fn without_times(value: &mut Value, times: &[&str]) {
    match value {
        Value::Object(entries) => {
            for (key, value) in entries.iter_mut() {
                if times.contains(&key.as_str()) && value.is_u64() {
                    *value = json!("NUMBER");
                }
                without_times(value, times);
            }
        }
        Value::Array(values) => values.iter_mut().for_each(|value| without_times(value, times)),
        _ => {}
    }
}

/// Calls and their answers.
struct Session {
    daemon: Daemon,
    transcript: String,
}

impl Session {
    fn ask(&mut self, method: &str, path: &str, body: &str) -> Value {
        let answer = self.daemon.json(method, path, body);
        self.transcript += &format!("{method} {path}\n{}", worded(answer.clone(), &TIMES));
        answer
    }

    fn refused(&mut self, method: &str, path: &str) {
        let answer = self.daemon.call(method, path, "");
        self.transcript += &format!("{method} {path}\n{} {}", answer.status, answer.body);
    }
}

fn stored(path: &Path) -> String {
    let opened = Store::open(path).expect("the daemon has let it go");
    assert_eq!(opened.quarantined, None);
    String::from_utf8(opened.value.expect("it was saved")).expect("it is text")
}

#[test]
fn a_change_and_a_pin_are_answered_and_told_as_recorded() {
    let folder = Folder::new();
    let mut session = Session { daemon: start(&folder), transcript: String::new() };
    session.ask("GET", "/admin/rules", "");
    let staged = session.ask("PUT", "/admin/rules/stage", CHANGE);
    let digest = staged["digest"].as_str().expect("a digest");
    session.ask("PUT", &format!("/admin/rules/commit?digest={digest}"), "");
    session.daemon.until("tier: version 1 is active");
    session.ask("GET", "/admin/rules", "");
    session.ask("PUT", "/admin/rules/pin", "");
    session.daemon.until("tier: version 2 is active");
    session.ask("GET", "/admin/rules", "");
    session.ask("GET", "/admin/stats", "");
    session.refused("PUT", "/admin/rules/undo");
    let Session { daemon, transcript } = session;
    assert_as_recorded("rules.txt", &transcript);
    // The other parts' lines name a version from when the first is known on, which is at no fixed moment.
    let lines: Vec<String> = daemon.end().into_iter().filter(|line| line.contains("tier:")).collect();
    assert_as_recorded("log-tier.txt", &distinct(&folder, &lines));
    let kept: Value = serde_json::from_str(&stored(&folder.path("tier.redb"))).expect("it is JSON");
    assert_eq!(kept["history"].as_array().map(Vec::len), Some(2), "{kept}");
}

#[test]
fn a_recorded_store_is_taken_up_and_written_again_to_the_byte() {
    let folder = Folder::new();
    let store = zstd::bulk::decompress(STORE, LONGEST_STORE).expect("the fixture is whole");
    let path = folder.write("tier.redb", store);
    assert_eq!(stored(&path), KEPT);
    let daemon = start(&folder);
    let status = daemon.json("GET", "/admin/rules", "");
    assert_as_recorded("rules-taken-up.json", &worded(status, &TIME_LEFT));
    let lines = daemon.end();
    let counters = lines.last().expect("the counters end the log");
    assert!(counters.contains("\"tier_set_aside\":0,"), "{counters}");
    assert!(!counters.contains("\"tier_saved\":0,"), "it was written again: {counters}");
    assert_eq!(stored(&path), KEPT);
}
