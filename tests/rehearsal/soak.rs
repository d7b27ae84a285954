//! A short soak with fixed seeds. A longer one can be started manually with `crates/rehearse/examples/soak.rs`.

use std::path::PathBuf;
use std::time::Duration;

use sedgestack_rehearse::soak::{soak, SoakOptions};

/// Half of these seeds draw many idle clients or more than one limiter.
const SEEDS: std::ops::Range<u64> = 1..7;
/// Duration of the load in each run.
const LOAD: Duration = Duration::from_secs(4);

#[test]
fn limiters_keep_the_invariants_under_random_deployments_faults_and_signals() {
    let runs: Vec<_> = SEEDS
        .map(|seed| {
            let daemon = PathBuf::from(env!("CARGO_BIN_EXE_sedgestack"));
            let options = SoakOptions { seed, load: LOAD, daemon };
            std::thread::spawn(move || soak(&options).expect("the soak starts"))
        })
        .collect();
    for run in runs {
        let report = run.join().expect("the run does not panic");
        assert!(report.served > 0, "{report:?}");
        assert!(report.findings.is_empty(), "{report:#?}");
    }
}
