//! Canary analysis and automatic rollback of harmful changes.

use std::time::Duration;

use sedgestack_rehearse::tier::{ChangeError, NetworkConditions, Options, StoreState, Tier, CANARY_SETTINGS};

use super::harness::*;

/// Starts a tier with canary analysis and load, and records some seconds as the baseline for a change.
fn tier_with_canary(limiters: u32, customize: impl FnOnce(&mut Options)) -> Tier {
    let tier = start_tier_with(limiters, |o| {
        o.tier_block += CANARY_SETTINGS;
        customize(o);
    });
    tier.adopt();
    tier.start_load();
    extend_recording(&tier, 8);
    tier
}

/// Waits until the recording is longer by a number of seconds.
fn extend_recording(tier: &Tier, seconds: u64) {
    let until = tier.recorded_duration() + Duration::from_secs(seconds);
    tier.expect_eventually("a longer recording", || tier.recorded_duration() >= until);
}

/// Begins a change that sets a harmful rate for the plan `faculdade`.
fn begin_harmful_change(tier: &Tier, limiter: u32) -> u64 {
    begin_change_until_accepted(tier, limiter, "", || tier.harmful_document(limiter, "faculdade"))
}

/// Returns the versions in a limiter's history that were not void.
fn completed_versions(tier: &Tier, limiter: u32) -> Vec<u64> {
    let history = tier.status(limiter).expect("the limiter answers")["history"].clone();
    let history = history.as_array().expect("a list").clone();
    history.iter().filter(|p| p["void"] == false).filter_map(|p| p["version"].as_u64()).collect()
}

/// Asserts that exactly one rollback undid the change. Waits some seconds for a second rollback.
fn expect_one_rollback(tier: &Tier, limiters: &[u32]) {
    let is_rolled_back =
        |m: &u32| tier.status(*m).is_some_and(|s| s["text"].as_str().unwrap_or("").contains("rate  = 7.2"));
    tier.expect_eventually("the rollback at all limiters", || limiters.iter().all(is_rolled_back));
    extend_recording(tier, 5);
    tier.expect_eventually("no change is under way", || {
        tier.all_limiters(|s| s["begun_here"]["outcome"] != "open")
    });
    for limiter in limiters {
        assert_eq!(completed_versions(tier, *limiter).len(), 2, "{:#?}", tier.diagnostics());
    }
    assert!(limiters.iter().all(is_rolled_back), "{:#?}", tier.diagnostics());
    // Only `limiters` must have ended the analysis. Others that are cut off may still observe the version they know.
    for limiter in limiters {
        let mut state = None;
        tier.expect_eventually("an answer of the limiter", || {
            state = tier.status(*limiter).map(|s| s["watch"]["state"].clone());
            state.is_some()
        });
        assert_ne!(state.expect("the limiter answered"), "watched", "limiter {limiter}");
    }
}

#[test]
fn harmful_change_is_rolled_back_once_although_all_limiters_analyze_it() {
    let tier = tier_with_canary(5, |o| o.clock_offsets_ms = vec![40, -40, 0, 30, -30]);
    let bad = begin_harmful_change(&tier, 0);
    expect_version(&tier, &[0, 1, 2, 3, 4], bad);
    expect_one_rollback(&tier, &[0, 1, 2, 3, 4]);
    expect_consistent(&tier);
}

/// Every customer requests far more than its quota, so rejections are frequent before the change too. The reduced quota
/// only shows in comparison with the other plans, whose rejections do not change.
#[test]
fn quota_reduced_to_a_tenth_during_overload_is_rolled_back() {
    let tier = tier_with_canary(3, |o| o.customers = 24);
    let bad = begin_change_until_accepted(&tier, 1, "", || tier.tenth_of_quota_document(1, "faculdade"));
    expect_version(&tier, &[0, 1, 2], bad);
    expect_one_rollback(&tier, &[0, 1, 2]);
    expect_consistent(&tier);
}

#[test]
fn harmful_change_is_rolled_back_after_its_proposer_is_killed() {
    let tier = tier_with_canary(3, |_| {});
    let bad = begin_harmful_change(&tier, 0);
    expect_version(&tier, &[0, 1, 2], bad);
    tier.kill(0);
    expect_one_rollback(&tier, &[1, 2]);
    tier.restart(0, StoreState::Intact).expect("the limiter starts");
    expect_one_rollback(&tier, &[0, 1, 2]);
    expect_consistent(&tier);
}

#[test]
fn majority_rolls_back_and_minority_follows_after_a_partition() {
    let tier = tier_with_canary(5, |_| {});
    let bad = begin_harmful_change(&tier, 1);
    expect_version(&tier, &[0, 1, 2, 3, 4], bad);
    tier.links().partition(&[&[0, 1], &[2, 3, 4]]);
    expect_one_rollback(&tier, &[2, 3, 4]);
    assert!([0, 1].iter().all(|m| completed_versions(&tier, *m).len() == 1), "a minority must not roll back");
    tier.links().restore();
    expect_one_rollback(&tier, &[0, 1, 2, 3, 4]);
    expect_consistent(&tier);
}

#[test]
fn harmful_change_is_rolled_back_despite_packet_loss() {
    let tier = tier_with_canary(5, |_| {});
    let bad = begin_harmful_change(&tier, 0);
    expect_version(&tier, &[0, 1, 2, 3, 4], bad);
    tier.links().set_conditions(NetworkConditions {
        loss: 0.3,
        duplication: 0.1,
        corruption: 0.01,
        max_delay: Duration::from_millis(300),
    });
    expect_one_rollback(&tier, &[0, 1, 2, 3, 4]);
    tier.links().set_conditions(NetworkConditions::default());
    expect_consistent(&tier);
}

#[test]
fn good_change_is_kept_when_backends_and_quota_counter_fail() {
    let tier = tier_with_canary(3, |o| o.backends = 9);
    let good = begin_rate_change(&tier, 0, 8.0, "");
    expect_version(&tier, &[0, 1, 2], good);
    tier.lose_backends(2);
    tier.lose_counter();
    tier.expect_eventually("canary passed", || tier.all_limiters(|s| s["watch"]["state"] == "stands"));
    assert!((0..3).all(|m| completed_versions(&tier, m) == [good]), "{:#?}", tier.diagnostics());
    expect_consistent(&tier);
}

#[test]
fn held_change_is_kept_and_pinned_change_needs_force() {
    let tier = tier_with_canary(3, |_| {});
    let bad = begin_harmful_change(&tier, 0);
    expect_version(&tier, &[0, 1, 2], bad);
    // A hold is a version of its own. It competes with the automatic rollback, and here it is proposed first.
    let put = |limiter: u32, path: &str| tier.call(limiter, "PUT", path, "").expect("the limiter answers");
    assert_eq!(put(1, "rules/hold").status, 200);
    expect_version(&tier, &[0, 1, 2], bad + 1);
    extend_recording(&tier, 6);
    let is_harmful = |s: &serde_json::Value| s["text"].as_str().is_some_and(|t| t.contains("rate  = 0.001"));
    assert!(tier.all_limiters(|s| is_harmful(s) && s["version"] == bad + 1 && s["watch"]["state"] == "held"));
    assert_eq!(put(2, "rules/pin").status, 200);
    expect_version(&tier, &[0, 1, 2], bad + 2);
    assert!(tier.all_limiters(|s| s["pinned"] == true && is_harmful(s)));
    let response = put(0, "rules/undo");
    assert_eq!(
        (response.status, response.body.as_str()),
        (409, "version 3 is pinned: unpin it first, or force the change\n")
    );
    assert!(matches!(
        tier.begin_change(0, &next_document(&tier, 0, 0.0015), ""),
        Err(ChangeError::Rejected { status: 409, .. })
    ));
    // An undo restores the last different values, from before the hold and the pin.
    assert_eq!(put(0, "rules/undo?force=yes").status, 200);
    expect_version(&tier, &[0, 1, 2], bad + 3);
    assert!(tier.all_limiters(
        |s| s["text"].as_str().is_some_and(|t| t.contains("rate  = 7.2")) && s["pinned"] == false
    ));
    assert_eq!(put(0, "rules/pin?off=yes").status, 409);
    expect_consistent(&tier);
}
