//! Changes while a limiter drains, is replaced, or has requests in flight.

use std::time::Duration;

use sedgestack_rehearse::tier::invariants::AnswerRecord;
use sedgestack_rehearse::tier::StoreState;

use super::harness::*;

#[test]
fn change_during_a_drain_reaches_the_replacement() {
    let tier = start_tier(3);
    assert_eq!(tier.call(2, "PUT", "quiesce", "").map(|response| response.status), Some(200));
    let first = begin_rate_change(&tier, 0, 6.5, "");
    // A second process with the same identity could vote differently. It must fail to start, and the first one keeps
    // running.
    assert_eq!(tier.start_second_process(2).expect("the process can be started"), Some(1));
    assert!(tier.log(2).iter().any(|l| l.contains("Address already in use")), "{:?}", tier.log(2));
    tier.expect_eventually("the change is decided", || tier.status(2).is_some_and(|s| s["decided"] == first));
    tier.terminate(2);
    tier.restart(2, StoreState::Intact).expect("the limiter starts");
    expect_version(&tier, &[0, 1, 2], first);
    tier.expect_eventually("new version", || tier.send_request(2).is_some_and(|s| s.version == Some(first)));
    expect_consistent(&tier);
}

#[test]
fn change_during_an_upgrade_reaches_the_new_process() {
    let tier = start_tier_with(3, |o| o.tier_block += "  hand_over = \"30s\"\n");
    tier.adopt();
    tier.start_load();
    let version = std::thread::scope(|s| {
        let upgraded = s.spawn(|| tier.upgrade(2));
        let version = begin_rate_change(&tier, 0, 6.5, "");
        upgraded.join().expect("the thread does not panic").expect("the new process starts");
        version
    });
    expect_version(&tier, &[0, 1, 2], version);
    tier.expect_eventually("version", || tier.send_request(2).is_some_and(|s| s.version == Some(version)));
    // The new process has the votes of the old one, so it does not wait for an operator.
    assert_eq!(tier.status(2).expect("the limiter answers")["waits_for_adopt"], false);
    expect_consistent(&tier);
}

#[test]
fn requests_in_flight_keep_their_version_and_retries_use_the_next_one() {
    let tier = start_tier_with(3, |o| o.backend_latency = Duration::from_millis(400));
    tier.adopt();
    tier.start_load();
    let mut answers = Vec::new();
    // Requests are admitted under version 0 and answered when version 1 is active, and then the same for the undo.
    for (version, is_undo) in [(0, false), (1, true)] {
        if is_undo {
            assert_eq!(tier.call(1, "PUT", "rules/undo", "").map(|response| response.status), Some(200));
        } else {
            begin_rate_change(&tier, 0, 6.5, "");
        }
        tier.expect_eventually("the decision", || tier.all_limiters(|s| s["decided"] == version + 1));
        let (mut crossed, mut waiting) =
            (0, (0..3).filter_map(|m| tier.start_request(m)).collect::<Vec<_>>());
        tier.expect_eventually("a request in flight during the switch", || {
            // Sends the next requests before reading the previous answers, so that some are always in flight.
            let next: Vec<_> = (0..3).filter_map(|m| tier.start_request(m)).collect();
            let previous = std::mem::replace(&mut waiting, next);
            answers.extend(previous.into_iter().filter_map(|w| tier.finish_request(w)));
            let switch = tier.status(0).and_then(|s| {
                s["history"].as_array()?.iter().find(|p| p["version"] == version + 1)?["at"].as_u64()
            });
            let switch = switch.expect("the change is decided");
            let across =
                |s: &&AnswerRecord| s.version == Some(version) && s.sent < switch && s.answered > switch;
            crossed = answers.iter().filter(across).count();
            crossed > 0
        });
        assert!(crossed > 0, "{answers:?}");
        // Once the next version is active, the clients' retries are served under it.
        expect_version(&tier, &[0, 1, 2], version + 1);
        tier.expect_eventually("a retry", || {
            (0..3).all(|m| tier.send_request(m).is_some_and(|s| s.version == Some(version + 1)))
        });
    }
    expect_consistent(&tier);
}
