//! Lines of the log and of the counters, as operators and tools parse them.

use super::daemon::{assert_as_recorded, configuration, distinct, Daemon, Folder};

/// The name of the file of cordons follows the clients' address, as it is configured.
const CORDONS: &str = "sedgestack-cordons-127.0.0.1-0.json";

/// A daemon's life with what it has to tell: a file of cordons that can't be read, a capture, reloads, counters.
fn log_of_a_life(folder: &Folder, format: &str) -> Vec<String> {
    folder.write(CORDONS, "{\"cordoned\": [");
    let capture = folder.path("{name}-{started}.sedgecap");
    let settings = format!(
        "log {{\n  format = \"{format}\"\n}}\ncapture {{\n  file = \"{}\"\n  key  = \"{:032x}\"\n}}\n",
        capture.display(),
        1
    );
    let mut daemon = Daemon::start(folder, &configuration(), &settings);
    daemon.until_all(&["keeping the current cordons", "list: watch from version"]);
    folder.write("config.json", "{");
    daemon.signal("HUP");
    daemon.until("reload refused");
    let mut moved = configuration();
    moved["discovery"] = "127.0.0.1:2".into();
    folder.write("config.json", moved.to_string());
    daemon.signal("HUP");
    daemon.until_all(&["reload: discovery", "list: discovery moves", "list: watch from version 0"]);
    daemon.signal("USR1");
    daemon.until("counters");
    daemon.end()
}

#[test]
fn lines_of_the_text_log_are_as_recorded() {
    let folder = Folder::new();
    let lines = log_of_a_life(&folder, "text");
    assert_as_recorded("log-text.txt", &distinct(&folder, &lines));
}

#[test]
fn lines_of_the_json_log_are_as_recorded() {
    let folder = Folder::new();
    let lines = log_of_a_life(&folder, "json");
    assert_as_recorded("log-json.txt", &distinct(&folder, &lines));
}
