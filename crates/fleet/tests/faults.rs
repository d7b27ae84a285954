//! Decoding of the sample fleet file, and the errors of invalid fleet files.

use sedgestack_fleet::{platform, BackendLocation, Fleet};

const SAMPLE: &str = include_str!("../../../deploy/fleet-sample.hcl");

fn sample() -> Fleet {
    Fleet::parse("fleet-sample.hcl", SAMPLE).expect("the sample is valid")
}

/// Returns the error of the sample file in which `from` is replaced by `to`.
fn error(from: &str, to: &str) -> String {
    let text = SAMPLE.replacen(from, to, 1);
    assert_ne!(text, SAMPLE, "'{from}' is not in the sample");
    Fleet::parse("f.hcl", &text).expect_err("an error").to_string()
}

#[test]
fn errors_name_location_and_expected_value() {
    let message = error("cores        = 2", "cores        = 0");
    assert_eq!(
        message,
        "f.hcl:14:18: worker \"small-2c\".cores: expected a whole number from 1 to 256, found 0"
    );
    let message = error("aim        = \"800ms\"", "aim        = \"8s\"");
    assert!(
        message.contains("class \"report-read\".aim: expected a positive duration no longer than deadline"),
        "{message}"
    );
    let message = error("rate         = 7.2", "rat          = 7.2");
    assert!(message.contains("plan \"faculdade\".rate: is missing"), "{message}");
    let message = error("price        = 1.3", "prise        = 1.3");
    assert!(message.contains("plan \"faculdade\".prise: unknown key or block"), "{message}");
}

#[test]
fn inconsistent_keys_are_rejected() {
    let cases = [
        ("share        = 0.23", "share        = 0.33", "shares of all plan blocks to add up to 1"),
        ("window     = \"15s\"", "", "expected a positive duration, because repeats is keyed"),
        ("burst        = 6.5", "burst        = 2", "expected at least 4, the units of the largest request"),
        ("room             = \"room-a\"", "room             = \"room-d\"", "one of room-a, room-b, room-c"),
        ("room \"room-b\"", "room \"room-a\"", "a name that no other room has"),
        ("workers \"small-2c\"", "workers \"large\"", "expected the name of a worker block: small-2c"),
        ("spread       = [2, 3]", "spread       = [2, 5]", "from 1 to 3"),
    ];
    for (from, to, expected) in cases {
        let message = error(from, to);
        assert!(message.contains(expected), "{message}");
    }
}

#[test]
fn pods_do_not_span_zones_or_exceed_their_size() {
    let locations = sample().backend_locations();
    assert_eq!(locations.len(), 10);
    assert_eq!(locations[3], BackendLocation { zone: 0, kind: 0, pod: 0 });
    assert_eq!(locations[4], BackendLocation { zone: 1, kind: 0, pod: 1 });
    assert_eq!(locations[9], BackendLocation { zone: 2, kind: 0, pod: 2 });
}

#[test]
fn with_backends_distributes_evenly_over_zones() {
    let counts = |n| sample().with_backends(n).zones.iter().map(|zone| zone.backends[0]).collect::<Vec<_>>();
    assert_eq!(counts(11), [4, 4, 3]);
    assert_eq!(counts(12), [4, 4, 4]);
    assert_eq!(counts(2), [1, 1, 0]);
}

#[test]
fn fleet_is_converted_to_settings() {
    let (settings, names) = platform::settings(&sample(), 2);
    assert_eq!((settings.limiter, settings.limiters, settings.zone.as_str()), (2, 3, "room-c"));
    assert_eq!((names.class("text-submit"), names.plan("universidade")), (Some(1), Some(3)));
    assert_eq!(settings.counter_timeout, Some(30_000));
}
