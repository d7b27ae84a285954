//! What operators are answered: conflicting, stale, unconfirmed and invalid changes.

use sedgestack_rehearse::tier::{ChangeError, StoreState};

use super::harness::*;

#[test]
fn of_two_operators_in_one_instant_one_is_told_that_he_lost() {
    let tier = tier(3);
    let (one, two) = (next_document(&tier, 0, 6.5), next_document(&tier, 2, 6.0));
    let (a, b) = std::thread::scope(|s| {
        let a = s.spawn(|| tier.begin_change(0, &one, ""));
        let b = s.spawn(|| tier.begin_change(2, &two, ""));
        (a.join().expect("it ends"), b.join().expect("it ends"))
    });
    assert!(a.is_ok() || b.is_ok(), "{a:?} {b:?}");
    let outcome = |m: u32| tier.status(m).expect("it answers")["begun_here"]["outcome"].clone();
    tier.expect_eventually("both are told", || {
        (a.is_err() || outcome(0) != "open") && (b.is_err() || outcome(2) != "open")
    });
    let made = [(&a, 0), (&b, 2)].iter().filter(|(begun, m)| begun.is_ok() && outcome(*m) == "made").count();
    assert!(made <= 1, "{:?} {:?}", outcome(0), outcome(2));
    expect_consistent(&tier);
}

#[test]
fn a_commit_whose_parent_is_no_longer_in_force_is_refused() {
    let tier = tier(3);
    let old = next_document(&tier, 1, 6.5);
    let made = begin(&tier, 0, 6.0, "");
    expect_version(&tier, &[0, 1, 2], made);
    match tier.begin_change(1, &old, "") {
        Err(ChangeError::Rejected { status: 409, body: why }) => {
            assert!(why.starts_with("the document was made for version 0, but version 1 is active"), "{why}");
        }
        other => panic!("{other:?}"),
    }
    expect_consistent(&tier);
}

#[test]
fn a_change_for_all_is_given_up_where_one_is_silent_and_names_it() {
    let tier = tier(3);
    tier.kill(2);
    begin(&tier, 0, 6.5, "&scope=all");
    let told = || tier.status(0).expect("it answers")["begun_here"].clone();
    tier.expect_eventually("the end of the lead", || told()["outcome"] != "open");
    assert_eq!((told()["outcome"].as_str(), told()["unanswered"][0].as_u64()), (Some("void"), Some(2)));
    tier.expect_eventually("it is over", || tier.all_limiters(|s| s["standing"] == "current"));
    // Known to be gone, it is left out.
    let made = begin(&tier, 0, 6.5, "&scope=all&except=2");
    expect_version(&tier, &[0, 1], made);
    tier.expect_eventually("made", || told()["outcome"] == "made");
    tier.restart(2, StoreState::Intact).expect("it comes up");
    expect_version(&tier, &[2], made);
    expect_consistent(&tier);
}

#[test]
fn a_reload_and_a_change_in_one_instant_disturb_neither() {
    let tier = tier(3);
    let document = next_document(&tier, 0, 6.5);
    let made = std::thread::scope(|s| {
        let change = s.spawn(|| tier.begin_change(0, &document, ""));
        (0..3).for_each(|m| tier.reload(m));
        change.join().expect("it ends")
    });
    let version = made.unwrap_or_else(|_| begin(&tier, 0, 6.5, ""));
    expect_version(&tier, &[0, 1, 2], version);
    (0..3).for_each(|m| assert!(tier.log(m).iter().any(|l| l.contains("reload:")), "n{m} read it again"));
    expect_consistent(&tier);
}

#[test]
fn what_is_no_change_is_refused_with_its_place_and_changes_nothing() {
    let tier = tier(3);
    let good = next_document(&tier, 0, 6.5);
    let cases = [
        (good.replace("rate  = 6.5", "rate  = 0.72"), 422, "\"faculdade\".rate: changes to a tenth"),
        (good.replace("rate  = 6.5", "rate  = 6.5\n  speed = 2"), 400, "speed"),
        (good.replace("parent = 0", "parent = 7"), 409, "made for version 7, but version 0 is active"),
        (good.clone() + "\naddresses {\n  counter = \"127.0.0.1:1\"\n}\n", 400, "addresses"),
        (good.clone() + "\nplan \"gold\" {\n  rate  = 1\n  burst = 5\n}\n", 400, "plan \"gold\""),
        (good.clone() + &"# and more\n".repeat(6_000), 413, "at most"),
        ("version {".into(), 400, "document:1"),
    ];
    for (document, status, why) in cases {
        match tier.begin_change(0, &document, "") {
            Err(ChangeError::Rejected { status: found, body: text }) if found == status => {
                assert!(text.contains(why), "{text}");
            }
            other => panic!("{why}: {other:?}"),
        }
    }
    assert_eq!(tier.call(0, "PUT", "rules/commit?digest=abc", "").map(|response| response.status), Some(404));
    assert_eq!(tier.call(0, "PUT", "rules/commit?scope=some", "").map(|response| response.status), Some(400));
    assert_eq!(tier.call(0, "PUT", "rules/undo", "").map(|response| response.status), Some(409));
    assert_eq!(tier.call(0, "PUT", "rules/adopt", "").map(|response| response.status), Some(409));
    assert!(tier.all_limiters(|s| s["version"] == 0 && s["decided"] == 0));
    expect_consistent(&tier);
}
