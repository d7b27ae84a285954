//! Answers to operators for conflicting, outdated, unconfirmed and invalid changes.

use sedgestack_rehearse::tier::{ChangeError, StoreState};

use super::harness::*;

#[test]
fn at_most_one_of_two_concurrent_changes_succeeds() {
    let tier = start_tier(3);
    let (first_document, second_document) = (next_document(&tier, 0, 6.5), next_document(&tier, 2, 6.0));
    let (a, b) = std::thread::scope(|s| {
        let a = s.spawn(|| tier.begin_change(0, &first_document, ""));
        let b = s.spawn(|| tier.begin_change(2, &second_document, ""));
        (a.join().expect("the thread does not panic"), b.join().expect("the thread does not panic"))
    });
    assert!(a.is_ok() || b.is_ok(), "{a:?} {b:?}");
    let outcome = |m: u32| tier.status(m).expect("the limiter answers")["begun_here"]["outcome"].clone();
    tier.expect_eventually("the outcome of both changes", || {
        (a.is_err() || outcome(0) != "open") && (b.is_err() || outcome(2) != "open")
    });
    let success_count =
        [(&a, 0), (&b, 2)].iter().filter(|(result, m)| result.is_ok() && outcome(*m) == "made").count();
    assert!(success_count <= 1, "{:?} {:?}", outcome(0), outcome(2));
    expect_consistent(&tier);
}

#[test]
fn change_with_an_outdated_parent_is_rejected() {
    let tier = start_tier(3);
    let outdated = next_document(&tier, 1, 6.5);
    let version = begin_rate_change(&tier, 0, 6.0, "");
    expect_version(&tier, &[0, 1, 2], version);
    match tier.begin_change(1, &outdated, "") {
        Err(ChangeError::Rejected { status: 409, body: message }) => {
            assert!(
                message.starts_with("the document is based on version 0, but version 1 is active"),
                "{message}"
            );
        }
        other => panic!("{other:?}"),
    }
    expect_consistent(&tier);
}

#[test]
fn change_for_all_limiters_is_void_if_one_does_not_answer() {
    let tier = start_tier(3);
    tier.kill(2);
    begin_rate_change(&tier, 0, 6.5, "&scope=all");
    let change = || tier.status(0).expect("the limiter answers")["begun_here"].clone();
    tier.expect_eventually("the outcome of the change", || change()["outcome"] != "open");
    assert_eq!((change()["outcome"].as_str(), change()["unanswered"][0].as_u64()), (Some("void"), Some(2)));
    tier.expect_eventually("all limiters are current", || tier.all_limiters(|s| s["standing"] == "current"));
    // The change succeeds when the operator excludes limiter 2.
    let version = begin_rate_change(&tier, 0, 6.5, "&scope=all&except=2");
    expect_version(&tier, &[0, 1], version);
    tier.expect_eventually("the change succeeds", || change()["outcome"] == "made");
    tier.restart(2, StoreState::Intact).expect("the limiter starts");
    expect_version(&tier, &[2], version);
    expect_consistent(&tier);
}

#[test]
fn concurrent_reload_and_change_both_succeed() {
    let tier = start_tier(3);
    let document = next_document(&tier, 0, 6.5);
    let result = std::thread::scope(|s| {
        let change = s.spawn(|| tier.begin_change(0, &document, ""));
        (0..3).for_each(|m| tier.reload(m));
        change.join().expect("the thread does not panic")
    });
    let version = result.unwrap_or_else(|_| begin_rate_change(&tier, 0, 6.5, ""));
    expect_version(&tier, &[0, 1, 2], version);
    (0..3).for_each(|m| assert!(tier.log(m).iter().any(|l| l.contains("reload:")), "n{m}: no reload"));
    expect_consistent(&tier);
}

#[test]
fn invalid_changes_are_rejected_with_their_position() {
    let tier = start_tier(3);
    let valid = next_document(&tier, 0, 6.5);
    let cases = [
        (valid.replace("rate  = 6.5", "rate  = 0.72"), 422, "\"faculdade\".rate: changes to a tenth"),
        (valid.replace("rate  = 6.5", "rate  = 6.5\n  speed = 2"), 400, "speed"),
        (valid.replace("parent = 0", "parent = 7"), 409, "based on version 7, but version 0 is active"),
        (valid.clone() + "\naddresses {\n  counter = \"127.0.0.1:1\"\n}\n", 400, "addresses"),
        (valid.clone() + "\nplan \"gold\" {\n  rate  = 1\n  burst = 5\n}\n", 400, "plan \"gold\""),
        (valid.clone() + &"# and more\n".repeat(6_000), 413, "at most"),
        ("version {".into(), 400, "document:1"),
    ];
    for (document, status, expected) in cases {
        match tier.begin_change(0, &document, "") {
            Err(ChangeError::Rejected { status: found, body: message }) if found == status => {
                assert!(message.contains(expected), "{message}");
            }
            other => panic!("{expected}: {other:?}"),
        }
    }
    assert_eq!(tier.call(0, "PUT", "rules/commit?digest=abc", "").map(|response| response.status), Some(404));
    assert_eq!(tier.call(0, "PUT", "rules/commit?scope=some", "").map(|response| response.status), Some(400));
    assert_eq!(tier.call(0, "PUT", "rules/undo", "").map(|response| response.status), Some(409));
    assert_eq!(tier.call(0, "PUT", "rules/adopt", "").map(|response| response.status), Some(409));
    assert!(tier.all_limiters(|s| s["version"] == 0 && s["decided"] == 0));
    expect_consistent(&tier);
}
