//! Changes during partitions, one-way link failures, packet loss and service failures.

use std::time::Duration;

use sedgestack_rehearse::tier::service_links::LinkState;
use sedgestack_rehearse::tier::{ChangeError, NetworkConditions, Service};

use super::harness::*;

#[test]
fn operator_at_a_minority_can_not_change_the_version() {
    let tier = start_tier(5);
    tier.links().partition(&[&[0, 1], &[2, 3, 4]]);
    // The limiter may accept a change just after the partition, but the change can't be decided.
    let _ = tier.begin_change(0, &next_document(&tier, 0, 6.5), "");
    tier.expect_eventually("the minority is detached", || {
        [0, 1].iter().all(|m| tier.status(*m).is_some_and(|s| s["standing"] == "detached"))
    });
    assert!(matches!(
        tier.begin_change(1, &next_document(&tier, 1, 6.4), ""),
        Err(ChangeError::Rejected { status: 409, .. })
    ));
    tier.expect_eventually("a detached limiter rejects", || {
        tier.send_request(0).is_some_and(|s| s.status == 429 && s.version.is_none())
    });
    let version = begin_rate_change(&tier, 2, 6.0, "");
    expect_version(&tier, &[2, 3, 4], version);
    tier.links().restore();
    expect_version(&tier, &[0, 1], version);
    expect_consistent(&tier);
    let digest = |m: u32| tier.status(m).expect("the limiter answers")["digest"].clone();
    assert_eq!(digest(0), digest(3));
}

#[test]
fn no_change_is_decided_without_a_majority() {
    let tier = start_tier(5);
    tier.links().partition(&[&[0, 1], &[2, 3], &[4]]);
    tier.expect_eventually("all are detached", || tier.all_limiters(|s| s["standing"] == "detached"));
    for limiter in [0, 2, 4] {
        assert!(matches!(
            tier.begin_change(limiter, &next_document(&tier, limiter, 6.5), ""),
            Err(ChangeError::Rejected { status: 409, .. })
        ));
    }
    tier.links().restore();
    let version = begin_rate_change(&tier, 4, 6.5, "");
    expect_version(&tier, &[0, 1, 2, 3, 4], version);
    expect_consistent(&tier);
}

#[test]
fn change_succeeds_despite_a_ring_of_one_way_link_failures() {
    let tier = start_tier(5);
    (0..5).for_each(|m| tier.links().cut(m, (m + 1) % 5));
    let version = begin_rate_change(&tier, 0, 6.5, "");
    expect_version(&tier, &[0, 1, 2, 3, 4], version);
    expect_consistent(&tier);
}

#[test]
fn versions_stay_consistent_on_an_unreliable_network() {
    let tier = start_tier_with(5, |o| o.clock_offsets_ms = vec![40, -40, 0, 30, -30]);
    tier.adopt();
    tier.start_load();
    tier.links().set_conditions(NetworkConditions {
        loss: 0.3,
        duplication: 0.1,
        corruption: 0.01,
        max_delay: Duration::from_millis(300),
    });
    for (limiter, rate) in [(0, 6.5), (3, 6.0), (4, 5.5)] {
        // Packet loss can make a change void. The limiter reports that, and the change is begun again.
        let outcome = || tier.status(limiter).expect("the limiter answers")["begun_here"]["outcome"].clone();
        tier.expect_eventually("a change that succeeds", || {
            begin_rate_change(&tier, limiter, rate, "");
            tier.expect_eventually("the outcome of the change", || outcome() != "open");
            outcome() == "made"
        });
        tier.expect_eventually("the active version is the decided one", || {
            tier.status(limiter).is_some_and(|s| s["version"] == s["decided"])
        });
    }
    tier.links().set_conditions(NetworkConditions::default());
    expect_consistent(&tier);
    let counts = tier.links().counts();
    assert!(counts.lost * 10 > counts.received, "{counts:?}");
}

/// The links of limiters to the quota counter and to discovery stall or are cut. Consensus only needs the links between
/// limiters.
#[test]
fn change_succeeds_without_quota_counter_and_discovery() {
    let tier = start_tier(3);
    for (limiter, service, state) in [
        (0, Service::Counter, LinkState::Stalled),
        (0, Service::Discovery, LinkState::Stalled),
        (1, Service::Counter, LinkState::Cut),
        (2, Service::Discovery, LinkState::Cut),
    ] {
        tier.links().set_service(limiter, service, state);
    }
    let version = begin_rate_change(&tier, 0, 6.5, "");
    expect_version(&tier, &[0, 1, 2], version);
    tier.expect_eventually("all limiters serve requests", || {
        (0..3).all(|m| tier.send_request(m).is_some_and(|s| s.version == Some(version)))
    });
    tier.links().restore();
    expect_consistent(&tier);
}
