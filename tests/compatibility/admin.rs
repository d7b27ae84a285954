//! Admin calls: paths, statuses and bodies, and the cordons file that two processes share.

use super::daemon::{assert_matches_recording, configuration, without_sizes, Daemon, TestDirectory};

/// Name of the cordons file. It contains the configured address for clients.
const CORDONS_FILE: &str = "sedgestack-cordons-127.0.0.1-0.json";
/// Cordons file of a release with two cordoned backends, one of which is no longer in the endpoint list.
const RECORDED_CORDONS: &[u8] = include_bytes!("fixtures/cordons.json");

/// Method, path and body of the calls.
const CALLS: [(&str, &str, &str); 24] = [
    ("GET", "/admin/health", ""),
    ("GET", "/admin/stats", ""),
    ("PUT", "/admin/cordon?name=s-1", ""),
    ("GET", "/admin/stats", ""),
    ("PUT", "/admin/uncordon?name=s-1", ""),
    ("GET", "/admin/stats", ""),
    ("PUT", "/admin/cordon?name=s%2d1", ""),
    ("PUT", "/admin/uncordon?name=s-1", ""),
    ("PUT", "/admin/cordon?name=s-9", ""),
    ("PUT", "/admin/uncordon?name=s-9", ""),
    ("PUT", "/admin/cordon", ""),
    ("PUT", "/admin/cordon?name=", ""),
    ("PUT", "/admin/cordon?name=s-1&name=s-2", ""),
    ("PUT", "/admin/cordon?name=%ff", ""),
    ("PUT", "/admin/cordon?name=s-1", "a body"),
    ("POST", "/admin/cordon?name=s-1", ""),
    ("PUT", "/admin/quiesce", ""),
    ("GET", "/admin/health", ""),
    ("PUT", "/admin/resume", ""),
    ("GET", "/admin/health", ""),
    ("PUT", "/admin/resume", "a body"),
    ("GET", "/admin/rules", ""),
    ("PUT", "/admin/rules/commit?digest=0", ""),
    ("GET", "/admin/nothing", ""),
];

#[test]
fn admin_calls_are_answered_as_recorded() {
    let directory = TestDirectory::new();
    let daemon = Daemon::start(&directory, &configuration(), "");
    let answers = CALLS.map(|(method, path, body)| {
        let answer = daemon.call_admin(method, path, body);
        let end = if answer.body.is_empty() { "(no body)\n" } else { "" };
        let answer_body = without_sizes(&answer.body);
        format!("{method} {path} {body}\n{} {} {answer_body}{end}", answer.status, answer.content_type)
    });
    assert_matches_recording("admin.txt", &answers.concat());
}

#[test]
fn recorded_cordons_file_is_read_and_rewritten_byte_for_byte() {
    let directory = TestDirectory::new();
    let file = directory.write(CORDONS_FILE, RECORDED_CORDONS);
    let daemon = Daemon::start(&directory, &configuration(), "");
    let unavailable = || daemon.call_admin_json("GET", "/admin/stats", "")["members_unavailable"].clone();
    assert_eq!(unavailable(), 1);
    daemon.call_admin_json("PUT", "/admin/uncordon?name=s-1", "");
    assert_eq!(unavailable(), 0);
    let text = std::fs::read_to_string(&file).expect("the file exists");
    assert_eq!(text, "{\"cordoned\":[\"room a/\\\"s-2\\\"\"]}");
    daemon.call_admin_json("PUT", "/admin/cordon?name=s-1", "");
    assert_eq!(std::fs::read(&file).expect("the file exists"), RECORDED_CORDONS);
}
