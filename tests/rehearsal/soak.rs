//! A short soak with seeds of its own; the long one is started by hand (`crates/rehearse/examples/soak.rs`).

use std::path::PathBuf;
use std::time::Duration;

use sedgestack_rehearse::soak::{soak, SoakOptions};

/// Half of them draw a crowd of idle clients or more than one limiter.
const SEEDS: std::ops::Range<u64> = 1..7;
const LOAD: Duration = Duration::from_secs(4);

#[test]
fn limiters_keep_the_rules_under_drawn_deployments_faults_and_signals() {
    let runs: Vec<_> = SEEDS
        .map(|seed| {
            let daemon = PathBuf::from(env!("CARGO_BIN_EXE_sedgestack"));
            let options = SoakOptions { seed, load: LOAD, daemon };
            std::thread::spawn(move || soak(&options).expect("loopback and the daemon are there"))
        })
        .collect();
    for run in runs {
        let report = run.join().expect("a run ends");
        assert!(report.served > 0, "{report:?}");
        assert!(report.findings.is_empty(), "{report:#?}");
    }
}
