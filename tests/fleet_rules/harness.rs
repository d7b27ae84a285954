//! Starts tiers, changes a plan, and checks consistency at the end of each test.

use std::path::PathBuf;

use sedgestack_fleet::Fleet;
use sedgestack_rehearse::tier::{ChangeError, Options, Tier};

/// Largest difference between the limiters' clocks in the settings, in microseconds.
pub const MAX_CLOCK_DIFFERENCE_US: u64 = 100_000;

/// Starts a tier whose options `customize` has changed.
pub fn start_tier_with(limiters: u32, customize: impl FnOnce(&mut Options)) -> Tier {
    let fleet = Fleet::parse("fleet-sample.hcl", include_str!("../../deploy/fleet-sample.hcl"))
        .expect("the sample is valid");
    let daemon = PathBuf::from(env!("CARGO_BIN_EXE_sedgestack"));
    let mut options = Options::quick(limiters, daemon);
    customize(&mut options);
    Tier::start(&fleet, options).expect("the tier starts")
}

/// Starts a tier that serves requests, with load.
pub fn start_tier(limiters: u32) -> Tier {
    let tier = start_tier_with(limiters, |_| {});
    tier.adopt();
    tier.start_load();
    tier
}

/// Returns a document for a limiter's next version, with another rate of the plan `faculdade`.
pub fn next_document(tier: &Tier, limiter: u32, rate: f64) -> String {
    tier.document_with_rate(limiter, "faculdade", rate)
}

/// Begins a change at a limiter and returns its version. Retries while the limiter does not respond or answers 409.
pub fn begin_change_until_accepted(
    tier: &Tier,
    limiter: u32,
    scope: &str,
    document: impl Fn() -> String,
) -> u64 {
    let mut version = 0;
    tier.expect_eventually("a change that is accepted", || {
        let answer = tier.begin_change(limiter, &document(), scope);
        if let Err(error) = &answer {
            let is_expected =
                matches!(error, ChangeError::NoResponse | ChangeError::Rejected { status: 409, .. });
            assert!(is_expected, "{error}");
        }
        version = answer.unwrap_or(0);
        version > 0
    });
    version
}

/// Begins a change of the rate of the plan `faculdade` and returns its version.
pub fn begin_rate_change(tier: &Tier, limiter: u32, rate: f64, scope: &str) -> u64 {
    begin_change_until_accepted(tier, limiter, scope, || next_document(tier, limiter, rate))
}

/// Waits until limiters have reached a version.
pub fn expect_version(tier: &Tier, limiters: &[u32], version: u64) {
    tier.expect_eventually(&format!("version {version} at {limiters:?}"), || {
        limiters.iter().all(|m| tier.version(*m) >= Some(version))
    });
}

/// Asserts that all running limiters have the same active version, and that no answer was given under a version that
/// was not active at its time.
pub fn expect_consistent(tier: &Tier) {
    tier.expect_eventually("the same version at all limiters", || {
        let first = tier.status(0).or_else(|| tier.status(1)).unwrap_or_default();
        tier.all_limiters(|s| {
            s["standing"] == "current" && s["digest"] == first["digest"] && s["version"] == first["version"]
        })
    });
    tier.stop_load();
    let report = tier.check_invariants(MAX_CLOCK_DIFFERENCE_US);
    assert!(report.broken.is_empty(), "{report:#?}");
    assert!(report.answers > 0);
}
