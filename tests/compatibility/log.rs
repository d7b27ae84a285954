//! Lines of the log and the counters, which operators and tools parse.

use super::daemon::{assert_matches_recording, configuration, distinct_lines, Daemon, TestDirectory};

/// Name of the cordons file. It contains the configured address for clients.
const CORDONS_FILE: &str = "sedgestack-cordons-127.0.0.1-0.json";

/// Runs a daemon with an unreadable cordons file, a capture, reloads and a request for its counters. Returns its log.
fn log_of_a_run(directory: &TestDirectory, format: &str) -> Vec<String> {
    directory.write(CORDONS_FILE, "{\"cordoned\": [");
    let capture = directory.path("{name}-{started}.sedgecap");
    let settings = format!(
        "log {{\n  format = \"{format}\"\n}}\ncapture {{\n  file = \"{}\"\n  key  = \"{:032x}\"\n}}\n",
        capture.display(),
        1
    );
    let mut daemon = Daemon::start(directory, &configuration(), &settings);
    daemon.wait_for_lines(&["keeping the current cordons", "list: watch from version"]);
    directory.write("config.json", "{");
    daemon.signal("HUP");
    daemon.wait_for_line("reload refused");
    let mut moved = configuration();
    moved["discovery"] = "127.0.0.1:2".into();
    directory.write("config.json", moved.to_string());
    daemon.signal("HUP");
    daemon.wait_for_lines(&["reload: discovery", "list: discovery moves", "list: watch from version 0"]);
    daemon.signal("USR1");
    daemon.wait_for_line("counters");
    daemon.stop()
}

#[test]
fn text_log_is_as_recorded() {
    let directory = TestDirectory::new();
    let lines = log_of_a_run(&directory, "text");
    assert_matches_recording("log-text.txt", &distinct_lines(&directory, &lines));
}

#[test]
fn json_log_is_as_recorded() {
    let directory = TestDirectory::new();
    let lines = log_of_a_run(&directory, "json");
    assert_matches_recording("log-json.txt", &distinct_lines(&directory, &lines));
}
