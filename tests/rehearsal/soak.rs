//! A short soak with fixed seeds, a test each. A longer one can be started manually with
//! `crates/rehearse/examples/soak.rs`.

use std::path::PathBuf;
use std::time::Duration;

use sedgestack_rehearse::soak::{soak, SoakOptions};

/// Duration of the load in each run.
const LOAD: Duration = Duration::from_secs(4);

fn assert_limiters_keep_the_invariants(seed: u64) {
    let daemon = PathBuf::from(env!("CARGO_BIN_EXE_sedgestack"));
    let report = soak(&SoakOptions { seed, load: LOAD, daemon }).expect("the soak starts");
    assert!(report.served > 0, "{report:?}");
    assert!(report.findings.is_empty(), "{report:#?}");
}

macro_rules! soaks {
    ($($name:ident: $seed:literal),*) => {
        $(
            /// Guards against a violated rule under a random deployment, faults and signals.
            #[test]
            fn $name() {
                assert_limiters_keep_the_invariants($seed);
            }
        )*
    };
}

// Half of these seeds draw many idle clients or more than one limiter.
soaks! {
    limiters_keep_the_invariants_with_seed_1: 1,
    limiters_keep_the_invariants_with_seed_2: 2,
    limiters_keep_the_invariants_with_seed_3: 3,
    limiters_keep_the_invariants_with_seed_4: 4,
    limiters_keep_the_invariants_with_seed_5: 5,
    limiters_keep_the_invariants_with_seed_6: 6
}
