//! Compatibility of timelines: existing files parse to the recorded steps, and seeds generate the recorded timelines.
//!
//! `tests/timelines` contains copies of timelines that must stay readable even if those in `deploy/rehearsals` change.
//! `tests/recorded` contains the text that each timeline is printed as after parsing. With `RECORD_OUTPUT=1`, the tests
//! rewrite the files in `tests/recorded` and fail. Use it only for an intended change of the printed text, and list the
//! changed words in the commit.

use std::fmt::Display;
use std::fs;
use std::path::{Path, PathBuf};

use sedgestack_rehearse::tier::timeline::{draw, read, Step};

/// Number of limiters in the tiers that the timelines are written for.
const LIMITERS: u32 = 5;
/// Seeds whose generated timelines are recorded.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=12;

/// Returns the path of a directory, given relative to this crate.
fn directory(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(name)
}

/// Returns the names and paths of the timelines in a directory, sorted by name.
fn timelines(directory: &Path) -> Vec<(String, PathBuf)> {
    let entries = fs::read_dir(directory).expect("the directory is readable");
    let paths = entries.map(|entry| entry.expect("the directory can be listed").path());
    let mut found: Vec<(String, PathBuf)> = paths
        .filter(|path| path.extension().is_some_and(|extension| extension == "hcl"))
        .map(|path| (path.file_stem().expect("the file has a name").to_string_lossy().into_owned(), path))
        .collect();
    found.sort();
    assert!(!found.is_empty(), "{}", directory.display());
    found
}

/// Reads the steps of a timeline.
fn steps(path: &Path) -> Vec<Step> {
    read(path, LIMITERS).unwrap_or_else(|error| panic!("{error}"))
}

/// Prints a timeline as HCL.
fn printed(steps: &[Step]) -> String {
    steps.iter().map(|step| format!("{step}\n")).collect()
}

/// Compares a text with the recorded file of the given name. Writes the file instead if `RECORD_OUTPUT` is 1.
fn compare_or_record(name: impl Display, text: &str) {
    let path = directory("tests/recorded").join(format!("{name}.hcl"));
    if std::env::var("RECORD_OUTPUT").is_ok_and(|set| set == "1") {
        fs::write(&path, text).expect("the recorded timelines can be written");
        return;
    }
    let expected = fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    for (n, (found, line)) in text.lines().zip(expected.lines()).enumerate() {
        assert_eq!(found, line, "{name}, line {}", n + 1);
    }
    assert!(text == expected, "{name}: one text is longer than the other");
}

/// Fails if `RECORD_OUTPUT` is set, as a run that compares nothing must not pass.
fn assert_not_recording() {
    assert!(std::env::var_os("RECORD_OUTPUT").is_none(), "texts were recorded, not compared");
}

#[test]
fn existing_timelines_are_printed_as_recorded() {
    for (name, path) in timelines(&directory("tests/timelines")) {
        compare_or_record(name, &printed(&steps(&path)));
    }
    assert_not_recording();
}

#[test]
fn shipped_timelines_have_the_steps_of_their_copies() {
    let shipped = timelines(&directory("../../deploy/rehearsals"));
    let names: Vec<&str> = shipped.iter().map(|(name, _)| name.as_str()).collect();
    assert_eq!(
        names,
        ["bad-change", "bad-change-stays", "one-down", "proposer-dies", "split-and-bad-weather"]
    );
    for (name, path) in &shipped {
        let copy = directory("tests/timelines").join(format!("{name}.hcl"));
        assert_eq!(steps(path), steps(&copy), "{name}");
    }
}

#[test]
fn generated_timelines_match_the_recorded_text() {
    let text: String =
        SEEDS.map(|seed| format!("# Seed {seed}.\n{}", printed(&draw(seed, LIMITERS)))).collect();
    compare_or_record("drawn", &text);
    assert_not_recording();
}

#[test]
fn printed_timelines_parse_to_the_same_steps() {
    let file = tempfile::NamedTempFile::new().expect("a temporary file");
    for (name, path) in timelines(&directory("tests/timelines")) {
        let steps = steps(&path);
        fs::write(file.path(), printed(&steps)).expect("the file can be written");
        assert_eq!(read(file.path(), LIMITERS).unwrap_or_else(|error| panic!("{error}")), steps, "{name}");
    }
}
