//! Tests of settings files: defaults, and how an invalid key is reported.

use super::*;

fn parse(text: &str) -> Result<Settings, String> {
    let document = Document::parse("ours.hcl", text).map_err(|e| e.to_string())?;
    decode(&document).map_err(|e| e.to_string())
}

#[test]
fn empty_file_enables_nothing() {
    let settings = parse("").expect("an empty file is in order");
    assert!(settings.capture.is_none());
    assert_eq!(settings.log, Format::Text);
}

#[test]
fn error_names_file_line_column_and_key() {
    let text = "capture {\n  file = \"c\"\n  key = \"abc\"\n}\n";
    let error = parse(text).err().expect("an error");
    assert_eq!(error, "ours.hcl:3:9: capture.key: expected 32 hex digits, the same at every limiter");
    let error = parse("log {\n  form = \"json\"\n}\n").err().expect("an error");
    assert!(error.starts_with("ours.hcl:2:3: log.form: unknown key or block"), "{error}");
}

#[test]
fn tier_has_defaults_and_no_clock_offset_outside_rehearsal() {
    let tier = parse("tier {\n  unknown = \"refuse\"\n}\n").expect("in order").tier.expect("it is on");
    assert_eq!(
        (tier.lease, tier.unknown_version_wait, tier.unknown_version_policy),
        (3_000_000, 3_000_000, UnknownVersionPolicy::Reject)
    );
    assert_eq!(tier.describe_version_overlap(), "two versions active at once: 400 ms at most (clock skew)");
    let error = parse("tier {\n  clock_offset_ms = 200\n}\n").err().expect("an error");
    assert_eq!(error, "ours.hcl:2:21: tier.clock_offset_ms: expected only where rehearsal = true");
}

#[test]
fn canary_needs_its_block_and_whole_seconds() {
    let of = |text: &str| parse(text).map(|s| s.tier.expect("it is on").canary);
    assert_eq!(of("tier {\n}\n"), Ok(None));
    assert_eq!(of("tier {\n  watch {\n  }\n}\n"), Ok(Some(sedgestack_canary::Settings::default())));
    let error = of("tier {\n  watch {\n    before = \"10500ms\"\n  }\n}\n").expect_err("an error");
    assert_eq!(error, "ours.hcl:3:14: tier.watch.before: expected whole seconds, from \"10s\" to \"600s\"");
    let error = of("tier {\n  watch {\n    span = \"4s\"\n  }\n}\n").expect_err("an error");
    assert!(error.contains("first_look: expected at least 3 seconds and at most span"), "{error}");
}

#[test]
fn capture_path_differs_by_limiter_and_start() {
    let text =
        "capture {\n file = \"c/{name}-{started}.cap\"\n key = \"000102030405060708090a0b0c0d0e0f\"\n}\n";
    let capture = parse(text).expect("in order").capture.expect("it is on");
    assert_eq!(capture.path("n1", 17), PathBuf::from("c/n1-17.cap"));
}
