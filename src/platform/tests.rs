//! Tests of the messages that operators read when settings or load reports are invalid.

use super::*;

/// A valid settings document.
fn document() -> serde_json::Value {
    serde_json::json!({
        "caps": {},
        "familyInfo": {},
        "granularityMs": 1.0,
        "nInstances": 2,
        "plans": [{"name": "basic"}],
        "profiles": [{"name": "read", "goalTimeMs": 100.0, "deadlineMs": 500.0, "repeat": "safe"}],
        "rules": {
            "coldFrom": 0.2, "coldMs": 100.0, "fallMs": 100.0, "fallMultiple": 2.0, "stopSendingWithinMs": 50.0
        },
    })
}

#[test]
fn setting_error_names_key_value_and_expectation() {
    let cases = [
        ("/selfIndex", 2.into(), "settings.selfIndex: 2, expected a number below nInstances"),
        ("/plans", serde_json::json!([]), "settings.plans: [], expected at least one entry"),
        ("/plans/0/name", "".into(), "settings.plans[0].name: '', expected a name"),
        ("/plans/0/rate", (-1.5).into(), "settings.plans[0].rate: -1.5, expected a number of 0 or more"),
        (
            "/profiles/0/credit",
            (-1.0).into(),
            "settings.profiles[0].credit: -1, expected a number of 0 or more",
        ),
        (
            "/profiles/0/repeat",
            "often".into(),
            "settings.profiles[0].repeat: often, expected safe, keyed or unsafe",
        ),
        ("/profiles/0/keyScope", "x".into(), "settings.profiles[0].keyScope: x, expected all, zone or cell"),
        ("/caps/maxAttempts", 0.into(), "settings.caps.maxAttempts: 0, expected 1 or more"),
        ("/rules/coldFrom", 1.5.into(), "settings.rules.coldFrom: 1.5, expected a share from 0 to 1"),
        (
            "/rules/coldMs",
            (-1.0).into(),
            "settings.rules.coldMs: -1, expected a time in milliseconds of 0 or more",
        ),
    ];
    for (pointer, value, expected) in cases {
        let mut json = document();
        let (parent, key) = pointer.rsplit_once('/').expect("the pointer has a parent");
        let parent = json.pointer_mut(parent).expect("the parent exists");
        parent[key] = value;
        let document: Document =
            serde_json::from_value(json).expect("the document has the platform's format");
        let error = document.decode().expect_err("the value is invalid");
        assert_eq!(error.to_string(), expected);
    }
    let document: Document =
        serde_json::from_value(document()).expect("the document has the platform's format");
    assert!(document.decode().is_ok());
}

#[test]
fn duplicate_name_is_reported() {
    let mut json = document();
    json["plans"] = serde_json::json!([{"name": "basic"}, {"name": "basic"}]);
    let document: Document = serde_json::from_value(json).expect("the document has the platform's format");
    let error = document.decode().expect_err("the name occurs twice");
    assert_eq!(error.to_string(), "settings.plans[1].name: 'basic', expected a unique name");
}

#[test]
fn load_report_error_quotes_the_invalid_text() {
    let names = NameIndex::new([], [], ["queue"]);
    let text = |report| names.load_report(report, '=').map_err(|e| e.to_string());
    assert_eq!(text("queue").unwrap_err(), "'queue' is not name=value");
    assert_eq!(text("queue=-1").unwrap_err(), "'-1' is not a finite number of 0 or more");
    assert_eq!(text("-, queue=3,other=4").map(|report| report.queue), Ok(Some(3.0)));
}
