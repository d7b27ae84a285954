//! Limiters that are killed, suspended or restarted during a change, with and without their stores.

use sedgestack_rehearse::tier::{StoreState, Trigger};

use super::harness::*;

#[test]
fn limiter_that_was_down_catches_up_after_restart() {
    let tier = start_tier(5);
    tier.kill(4);
    assert_eq!(begin_rate_change(&tier, 0, 6.5, ""), 1);
    expect_version(&tier, &[0, 1, 2, 3], 1);
    tier.restart(4, StoreState::Intact).expect("the limiter starts");
    expect_version(&tier, &[4], 1);
    tier.expect_eventually("version 1", || tier.send_request(4).is_some_and(|s| s.version == Some(1)));
    expect_consistent(&tier);
}

#[test]
fn resumed_limiter_serves_no_request_under_an_old_version() {
    let tier = start_tier(5);
    assert_eq!(begin_rate_change(&tier, 0, 6.5, ""), 1);
    tier.expect_eventually("version 1 is decided", || tier.status(2).is_some_and(|s| s["decided"] == 1));
    tier.freeze(2);
    expect_version(&tier, &[0, 1, 3, 4], 1);
    // Limiter 2 gets no message about this second change.
    assert_eq!(begin_rate_change(&tier, 1, 6.0, ""), 2);
    expect_version(&tier, &[0, 1, 3, 4], 2);
    // When limiter 2 resumes, it handles these waiting requests before any message.
    let waiting: Vec<_> = (0..20).filter_map(|_| tier.start_request(2)).collect();
    assert_eq!(waiting.len(), 20);
    tier.thaw(2);
    let answers: Vec<_> = waiting.into_iter().filter_map(|w| tier.finish_request(w)).collect();
    assert!(!answers.is_empty(), "no waiting request was answered");
    expect_version(&tier, &[2], 2);
    expect_consistent(&tier);
}

#[test]
fn change_has_one_outcome_when_its_proposer_is_killed_at_any_step() {
    let steps: [(&str, u32); 4] = [("prepare", 1), ("accept", 1), ("accept", 2), ("beat", 40)];
    for (kind, nth) in steps {
        let tier = start_tier(3);
        let killed = tier.schedule_kill(Trigger { from: 0, kind, nth }, 0);
        let result = tier.begin_change(0, &next_document(&tier, 0, 6.5), "");
        killed.wait();
        // The other two limiters agree on the outcome, and the next change succeeds.
        let version = begin_rate_change(&tier, 1, 6.0, "");
        assert!(version > 0, "after {kind} {nth}: {result:?}");
        expect_version(&tier, &[1, 2], version);
        tier.restart(0, StoreState::Intact).expect("the limiter starts");
        expect_version(&tier, &[0], version);
        expect_consistent(&tier);
    }
}

#[test]
fn undo_happens_once_when_a_replica_is_killed_during_it() {
    let tier = start_tier(3);
    assert_eq!(begin_rate_change(&tier, 0, 6.5, ""), 1);
    expect_version(&tier, &[0, 1, 2], 1);
    let killed = tier.schedule_kill(Trigger { from: 1, kind: "promise", nth: 1 }, 1);
    tier.expect_eventually("an undo that is accepted", || {
        tier.call(0, "PUT", "rules/undo", "").is_some_and(|response| response.status == 200)
    });
    killed.wait();
    tier.expect_eventually("the undo's end", || {
        tier.status(0).is_some_and(|s| s["begun_here"]["outcome"] != "open")
    });
    tier.restart(1, StoreState::Intact).expect("the limiter starts");
    expect_version(&tier, &[0, 1, 2], 2);
    expect_consistent(&tier);
    let history = tier.status(0).expect("the limiter answers")["history"].clone();
    let completed = history.as_array().expect("a list").iter().filter(|p| p["void"] == false).count();
    let status = tier.status(2).expect("the limiter answers");
    assert!(completed == 2 && status["text"].as_str().expect("text").contains("rate  = 7.2"), "{history}");
}

#[test]
fn replica_without_store_does_not_vote_twice() {
    let tier = start_tier(3);
    // The replica loses its store after a promise. The second time it is killed before its vote, while the proposer
    // asks for votes.
    for (from, kind) in [(1, "promise"), (0, "accept")] {
        let killed = tier.schedule_kill(Trigger { from, kind, nth: 1 }, 1);
        let before = tier.status(0).expect("the limiter answers")["decided"].as_u64().expect("a number");
        let version = begin_rate_change(&tier, 0, if before == 0 { 6.5 } else { 6.0 }, "");
        killed.wait();
        tier.restart(1, StoreState::Missing).expect("the limiter starts");
        expect_version(&tier, &[0, 1, 2], version);
        tier.expect_eventually("all are current", || tier.all_limiters(|s| s["standing"] == "current"));
    }
    expect_consistent(&tier);
}

/// A replica stores what it has accepted before it sends `accepted`. If it is killed then, it still knows the value
/// after a restart, and a value that was decided by its vote can't be replaced by another.
#[test]
fn replica_killed_while_accepting_remembers_the_value() {
    let tier = start_tier(3);
    tier.links().cut(0, 2);
    let killed = tier.schedule_kill(Trigger { from: 1, kind: "accepted", nth: 1 }, 1);
    begin_rate_change(&tier, 0, 6.5, "");
    killed.wait();
    let first_digest = |m: u32| {
        let history = tier.status(m)?["history"].as_array()?.clone();
        history.into_iter().find(|p| p["version"] == 1).map(|p| p["digest"].clone())
    };
    let mut decided = None;
    tier.expect_eventually("the change is decided", || {
        decided = first_digest(0);
        decided.is_some()
    });
    tier.kill(0);
    tier.links().restore();
    tier.restart(1, StoreState::Intact).expect("the limiter starts");
    // Limiter 2 may begin its change before it knows of the first one. The first one then wins the same version.
    let version = begin_rate_change(&tier, 2, 6.0, "");
    expect_version(&tier, &[1, 2], version);
    tier.restart(0, StoreState::Intact).expect("the limiter starts");
    expect_version(&tier, &[0], version);
    expect_consistent(&tier);
    for limiter in 0..3 {
        tier.expect_eventually("the first decision is unchanged", || first_digest(limiter) == decided);
    }
}

#[test]
fn restarted_tier_resumes_with_the_stored_version() {
    let tier = start_tier(3);
    let version = begin_rate_change(&tier, 0, 6.5, "");
    expect_version(&tier, &[0, 1, 2], version);
    tier.stop_load();
    (0..3).for_each(|m| tier.terminate(m));
    // A majority of the stores is intact. The third is truncated and set aside.
    for (limiter, store) in [(0, StoreState::Intact), (1, StoreState::Intact), (2, StoreState::Truncated)] {
        tier.restart(limiter, store).expect("the limiter starts");
    }
    tier.expect_eventually("the truncated store is set aside", || {
        tier.log(2).iter().any(|line| line.contains("set aside as"))
    });
    tier.start_load();
    expect_version(&tier, &[0, 1, 2], version);
    expect_consistent(&tier);
    // Without any store the tier does not know its version. It reports that, and rejects all requests until an operator
    // adopts a version.
    (0..3).for_each(|m| tier.kill(m));
    (0..3).for_each(|m| tier.restart(m, StoreState::Missing).expect("the limiter starts"));
    assert!(tier.all_limiters(|s| s["waits_for_adopt"] == true && s["standing"] == "detached"));
    assert_eq!(tier.send_request(1).map(|s| (s.status, s.version)), Some((429, None)));
    tier.adopt();
    tier.expect_eventually("version 0", || tier.send_request(1).is_some_and(|s| s.version == Some(0)));
}

/// A suspended limiter does not answer `/ready`. After it resumes it must report not ready before it reports ready.
#[test]
fn limiter_suspended_beyond_its_lease_is_not_ready_until_it_is_current() {
    let tier = start_tier(3);
    tier.expect_eventually("limiter 2 is ready", || tier.is_ready(2) == Some(true));
    tier.freeze(2);
    let version = begin_rate_change(&tier, 0, 6.5, "");
    expect_version(&tier, &[0, 1], version);
    // Limiter 2 resumes without contact to the others, and its version lease has expired.
    tier.links().partition(&[&[0, 1], &[2]]);
    tier.thaw(2);
    tier.expect_eventually("limiter 2 is not ready", || tier.is_ready(2) == Some(false));
    assert_eq!(tier.send_request(2).map(|s| (s.status, s.version)), Some((429, None)));
    tier.links().restore();
    tier.expect_eventually("limiter 2 is ready again", || tier.is_ready(2) == Some(true));
    expect_version(&tier, &[2], version);
    expect_consistent(&tier);
}

/// Guards against an undo that takes back more than the active version: a limiter that was down for two changes took
/// the document that it had served before them for the one before the active version.
#[test]
fn undo_at_a_limiter_that_missed_two_changes_takes_back_only_the_last() {
    let tier = start_tier(3);
    tier.kill(2);
    for (version, rate) in [(1, 6.5), (2, 6.0)] {
        assert_eq!(begin_rate_change(&tier, 0, rate, ""), version);
        expect_version(&tier, &[0, 1], version);
    }
    tier.restart(2, StoreState::Intact).expect("the limiter starts");
    expect_version(&tier, &[2], 2);
    tier.expect_eventually("all are current", || tier.all_limiters(|s| s["standing"] == "current"));
    tier.expect_eventually("an undo that is accepted", || {
        tier.call(2, "PUT", "rules/undo", "").is_some_and(|response| response.status == 200)
    });
    expect_version(&tier, &[0, 1, 2], 3);
    expect_consistent(&tier);
    let status = tier.status(2).expect("the limiter answers");
    assert!(status["text"].as_str().expect("text").contains("rate  = 6.5"), "{status}");
}
