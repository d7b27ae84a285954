//! The checker finds each kind of violation, and violations are printed and serialized in the format of reports.

use super::*;
use serde_json::json;

/// Returns the record of a served request that is answered after 10 microseconds.
fn answer(sent: Micros, version: u64) -> AnswerRecord {
    AnswerRecord { limiter: 0, sent, answered: sent + 10, plan: 2, status: 200, version: Some(version) }
}

/// Returns a history with the versions 1 and 3, active from 1,000 and 2,000, and the void version 2.
fn history() -> Value {
    json!([{"version": 1, "digest": "a", "void": false, "at": 1_000},
           {"version": 2, "digest": "a", "void": true, "at": 0},
           {"version": 3, "digest": "b", "void": false, "at": 2_000}])
}

#[test]
fn answers_outside_the_active_time_of_their_version_are_violations() {
    let good = [answer(0, 0), answer(1_000, 1), answer(1_500, 2), answer(2_050, 3), answer(2_090, 2)];
    let found = check(&good, &[history()], 100);
    assert_eq!((found.broken, found.largest_mixing_us), (vec![], 30));
    for bad in [answer(1_120, 0), answer(800, 1), answer(2_120, 1), answer(1_500, 3)] {
        let found = check(&[answer(1_000, 1), answer(2_000, 3), bad.clone()], &[history()], 100);
        assert!(matches!(found.broken[..], [Violation::OutOfForce { .. }]), "{bad:?}: {found:?}");
    }
    assert!(matches!(check(&[answer(1, 9)], &[history()], 100).broken[..], [Violation::Unknown { .. }]));
    let unversioned = AnswerRecord { version: None, ..answer(1, 0) };
    assert!(matches!(check(&[unversioned], &[history()], 100).broken[..], [Violation::Unversioned { .. }]));
}

#[test]
fn harmful_change_costs_rejected_requests_until_rollback() {
    let rejected = |sent, version| AnswerRecord { status: 429, ..answer(sent, version) };
    let answers =
        [answer(900, 0), rejected(1_100, 1), rejected(1_500, 1), answer(1_600, 1), rejected(2_100, 3)];
    let found = harmful_change_cost(&answers, &history(), "a", 2, 1.5);
    let cost = HarmfulChangeCost { undone_after_ms: Some(1), tries: 3, lost: 2, worth_lost: 3.0 };
    assert_eq!(found, Ok(Some(cost)));
    assert_eq!(harmful_change_cost(&answers, &history(), "z", 2, 1.5), Ok(None));
    let mut activated_twice = history();
    activated_twice[2]["digest"] = json!("a");
    assert!(matches!(
        harmful_change_cost(&answers, &activated_twice, "a", 2, 1.5),
        Err(Violation::UndoneTwice { made: 2, .. })
    ));
}

/// The activation time of version 1 is 1,000, but the change is decided late: the first answer under version 1 comes
/// after 1,700.
#[test]
fn late_change_becomes_active_with_its_first_answer() {
    let allowed = [answer(1_600, 0), answer(1_700, 1), answer(1_800, 0)];
    assert_eq!(check(&allowed, &[history()], 100).broken, vec![]);
    let too_late = [answer(1_700, 1), answer(1_811, 0)];
    assert!(matches!(
        check(&too_late, &[history()], 100).broken[..],
        [Violation::OutOfForce { by_us: 1, .. }]
    ));
}

#[test]
fn different_reports_of_a_version_are_a_violation() {
    let mut different = history();
    different[2]["digest"] = json!("c");
    let found = check(&[], &[history(), different], 0);
    assert!(matches!(found.broken[..], [Violation::TwoHistories { version: 3, .. }]));
    let Violation::TwoHistories { one, other, .. } = &found.broken[0] else { unreachable!() };
    assert_eq!((one.as_str(), other.as_str()), (r#"("\"b\"", false, 2000)"#, r#"("\"c\"", false, 2000)"#));
}

/// Scripts read the violations that `sedgestack-kit campaign` prints or writes as JSON.
#[test]
fn violations_are_printed_and_serialized_by_name() {
    let violation = Violation::OutOfForce { seen: answer(5, 2), by_us: 7 };
    assert_eq!(
        format!("{violation:?}"),
        "OutOfForce { seen: Seen { limiter: 0, sent: 5, answered: 15, plan: 2, status: 200, version: Some(2) }, \
         by_us: 7 }"
    );
    assert_eq!(
        serde_json::to_value(&violation).expect("the violation can be serialized"),
        json!({"OutOfForce": {"seen": {"limiter": 0, "sent": 5, "answered": 15, "plan": 2, "status": 200, "version": 2},
                              "by_us": 7}})
    );
}
