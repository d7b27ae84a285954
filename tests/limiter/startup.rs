//! Stop signals during startup.

use std::io::Read;
use std::process::{Child, Command};
use std::time::{Duration, Instant};

use crate::harness::*;

/// Maximum duration of a shutdown: at most 3 s for the longest deadline, plus 0.7 s.
const MAX_SHUTDOWN: Duration = Duration::from_millis(3_700);
/// Times after the start of the process at which it gets SIGTERM, in milliseconds.
const SIGNAL_TIMES_MS: std::ops::Range<u64> = 0..40;

fn signal(child: &Child, name: &str) {
    let status = Command::new("kill").args([&format!("-{name}"), &child.id().to_string()]).status();
    assert!(status.expect("kill can be started").success());
}

/// A program that gets SIGTERM at any time during its start ends in time and without a panic. Before its signal
/// handlers are installed, the signal itself ends it. SIGINT is not tested: a shell that starts the tests in the
/// background makes them ignore it until a handler is installed.
#[test]
fn stop_signal_during_startup_ends_the_program() {
    let (discovery, _push) = discovery();
    let (counter, _) = quota_counter(true);
    let mut config = config(discovery, counter, vec![]);
    for profile in config["settings"]["profiles"].as_array_mut().expect("a list") {
        profile["deadlineMs"] = serde_json::json!(500.0);
        profile["goalTimeMs"] = serde_json::json!(500.0);
    }
    let config = config.to_string();
    for signal_time_ms in SIGNAL_TIMES_MS.step_by(2) {
        let mut child = command(&config).spawn().expect("the program starts");
        std::thread::sleep(Duration::from_millis(signal_time_ms));
        signal(&child, "TERM");
        let signaled_at = Instant::now();
        let mut log = String::new();
        child.stderr.take().expect("piped").read_to_string(&mut log).expect("the log is UTF-8");
        child.wait().expect("the program ends");
        let duration = signaled_at.elapsed();
        assert!(
            duration < MAX_SHUTDOWN,
            "SIGTERM after {signal_time_ms} ms: ended after {duration:?}; {log}"
        );
        assert!(!log.contains("panicked"), "SIGTERM after {signal_time_ms} ms: {log}");
    }
}
