//! Characterization test of the decisions: seeded runs of limiters, with a digest over every action of every step,
//! are compared with `recorded.txt`. The digests cover every bit of every number, so a change of the code that is
//! meant to keep the behavior must also keep the order of floating-point operations and of random draws.
//!
//! If a run differs, the test names the first checkpoint at which it does. To make a new recording, run
//!
//! ```text
//! RECORD_DECISIONS=1 cargo test --test decisions
//! ```
//!
//! This is allowed only if a change of the decisions, or of the runs, is intended; the commit message must name it.
//! The decisions and the model use the exponentials and logarithms of the C library, so recordings can be compared
//! only between machines on which these agree; the recording was made on Linux on x86-64 with glibc.
//!
//! Not covered are the last bits of numbers that reach an action only through a comparison, such as the scores of
//! two backends, or that are rounded to a few digits of time.

mod backends;
mod counter;
mod digest;
mod draws;
mod driver;
mod model;
mod recording;
mod runs;

use std::path::Path;

use digest::{ActionKind, KIND_NAMES};
use recording::{differences, Recording};

/// Environment variable that makes the test record the decisions anew.
const RECORD_VARIABLE: &str = "RECORD_DECISIONS";

/// Executes all runs, each on its own thread, and returns the recordings in the order of the runs.
fn execute_all() -> Vec<Recording> {
    let (runs, model_runs) = (runs::all(), model::all());
    std::thread::scope(|scope| {
        let driver_threads = runs.iter().map(|run| scope.spawn(|| driver::execute(run)));
        let model_threads = model_runs.iter().map(|run| scope.spawn(|| run.execute()));
        let threads: Vec<_> = driver_threads.chain(model_threads).collect();
        threads.into_iter().map(|thread| thread.join().expect("the run completes")).collect()
    })
}

/// Checks that every kind of action that limiters return occurs in the recordings; otherwise the runs cover
/// too little.
fn assert_covered(recordings: &[Recording]) {
    for kind in [
        ActionKind::StartAttempt,
        ActionKind::Reject,
        ActionKind::Fail,
        ActionKind::CallCounter,
        ActionKind::Subscribe,
        ActionKind::SetTimer,
    ] {
        let count: u64 = recordings.iter().map(|recording| recording.counts[kind as usize]).sum();
        assert!(count > 0, "no run contains an action of the kind {}", KIND_NAMES[kind as usize]);
    }
}

#[test]
fn decisions_match_recording() {
    let recordings = execute_all();
    assert_covered(&recordings);
    let lines: Vec<&str> = recordings.iter().flat_map(|r| r.lines.iter().map(String::as_str)).collect();
    let found = lines.join("\n") + "\n";
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/decisions/recorded.txt");
    if std::env::var_os(RECORD_VARIABLE).is_some() {
        std::fs::write(&path, &found).expect("the recording is writable");
        return;
    }
    let recorded = std::fs::read_to_string(&path).expect("the recording exists");
    let reports = differences(&recorded, &found);
    assert!(reports.is_empty(), "{} runs differ from the recording:\n{}", reports.len(), reports.join("\n"));
}

/// The comparison must report the first difference of a run, a missing run, and an additional run.
#[test]
fn difference_is_reported_at_first_checkpoint() {
    let recorded = "a step 1 0\na step 2 0\na whole 0\nb whole 0\n";
    assert!(differences(recorded, recorded).is_empty());
    let reports = differences(recorded, "a step 1 0\na step 2 1\na whole 1\nc whole 0\n");
    assert_eq!(reports.len(), 3);
    assert!(reports[0].starts_with("a: checkpoint 2 of 3"), "{}", reports[0]);
    assert!(
        reports[1].starts_with("b: checkpoint 1 of 1") && reports[1].ends_with("found    nothing"),
        "{}",
        reports[1]
    );
    assert!(reports[2].contains("recorded nothing"), "{}", reports[2]);
}
