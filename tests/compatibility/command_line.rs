//! The command line: output of `--help`, `--version` and `check`, and of failed starts.

use std::path::Path;
use std::process::Output;

use serde_json::json;

use super::daemon::{assert_matches_recording, command, configuration, TestDirectory};

const SETTINGS: &str =
    "capture {\n  file = \"c.sedgecap\"\n  key  = \"000102030405060708090a0b0c0d0e0f\"\n}\n";
const TIER: &str = "tier {\n  unknown = \"refuse\"\n}\n";
const INVALID_SETTINGS: &str = "tier {\n  lease = \"soon\"\n}\n";

/// Formats a run of the program: its arguments, its exit status and its output.
fn format_run(directory: &TestDirectory, arguments: &[&str], output: &Output) -> String {
    let [stdout, stderr] = [&output.stdout, &output.stderr].map(|bytes| String::from_utf8_lossy(bytes));
    let status = output.status.code().expect("the program is not ended by a signal");
    let text = format!("$ sedgestack {}\nstatus {status}\n{stdout}{stderr}", arguments.join(" "));
    text.replace(&directory.path("").display().to_string(), "FOLDER/")
}

fn run(directory: &TestDirectory, arguments: &[&str]) -> String {
    let output = command(directory).args(arguments).output().expect("the program starts");
    format_run(directory, arguments, &output)
}

/// Runs `check` on a file with both output formats.
fn run_check(directory: &TestDirectory, file: &Path) -> String {
    let file = file.display().to_string();
    run(directory, &["check", &file]) + &run(directory, &["check", "--format", "json", &file])
}

#[test]
fn help_is_as_recorded() {
    let directory = TestDirectory::new();
    let options = ["--help", "--version"].map(|argument| run(&directory, &[argument]));
    let check = run(&directory, &["check", "--help"]);
    let unknown = run(&directory, &["--colour"]);
    assert_matches_recording("help.txt", &(options.concat() + &check + &unknown));
}

#[test]
fn check_output_is_as_recorded() {
    let directory = TestDirectory::new();
    let mut invalid = configuration();
    invalid["settings"]["plans"][0]["rate"] = json!(-2);
    let files = [
        directory.write("config.json", configuration().to_string()),
        directory.write("faulty.json", invalid.to_string()),
        directory.write("torn.json", "{"),
        directory.path("missing.json"),
        directory.write("capture.hcl", SETTINGS),
        directory.write("tier.hcl", TIER),
        directory.write("faulty.hcl", INVALID_SETTINGS),
    ];
    let output: String = files.iter().map(|file| run_check(&directory, file)).collect();
    assert_matches_recording("check.txt", &output);
}

#[test]
fn output_of_failed_starts_is_as_recorded() {
    let directory = TestDirectory::new();
    let mut invalid = configuration();
    invalid["settings"]["plans"][0]["rate"] = json!(-2);
    let starts =
        [("LB_CONFIG", directory.write("faulty.json", invalid.to_string())), ("LB_NAME", "n0".into())];
    let failed_starts = starts.map(|(variable, value)| {
        let output = command(&directory).env(variable, value).output().expect("the program starts");
        format_run(&directory, &[], &output)
    });
    let settings = directory.write("faulty.hcl", INVALID_SETTINGS).display().to_string();
    let invalid_settings = run(&directory, &["--settings", &settings]);
    assert_matches_recording("failed-starts.txt", &(failed_starts.concat() + &invalid_settings));
}
