use super::*;

fn error_text<T: std::fmt::Debug>(result: Result<T, ConfigError>) -> String {
    result.expect_err("an error").to_string()
}

#[test]
fn errors_state_the_position_the_key_and_the_expected_value() {
    let text = "a = 1\nworker \"w\" {\n  cores = \"two\"\n  wait = \"3 parsecs\"\n}\n";
    let document = Document::parse("f.hcl", text).expect("valid HCL");
    let root = document.root();
    let worker = root.block("worker").expect("a block");
    assert_eq!(
        error_text(worker.integer("cores", 1..=64)),
        "f.hcl:3:11: worker \"w\".cores: expected a whole number from 1 to 64, found \"two\""
    );
    assert!(
        error_text(worker.duration("wait")).starts_with("f.hcl:4:10: worker \"w\".wait: expected a duration")
    );
    assert!(error_text(worker.number("speed", 0.0..=1.0))
        .starts_with("f.hcl:2:1: worker \"w\".speed: is missing"));
}

#[test]
fn keys_that_were_not_read_are_rejected() {
    let document = Document::parse("f.hcl", "room = 1\nrom = 2\n").expect("valid HCL");
    let root = document.root();
    assert_eq!(root.integer("room", 0..=9), Ok(1));
    assert_eq!(
        error_text(root.reject_unknown_keys()),
        "f.hcl:2:1: rom: unknown key or block; known here: room"
    );
}

#[test]
fn syntax_errors_state_their_position() {
    let error = Document::parse("f.hcl", "a = 1\nb = = 2\n").err().expect("invalid HCL");
    assert!(error.to_string().starts_with("f.hcl:2:"), "{error}");
}

#[test]
fn ranges_numbers_and_durations_are_checked() {
    let document = Document::parse("f.hcl", "r = [3, 1]\none = 2\nneg = -1\n").expect("valid HCL");
    let root = document.root();
    assert!(error_text(root.range("r", 0.0..=9.0)).contains("[lowest, highest]"));
    assert_eq!(root.range("one", 0.0..=9.0), Ok((2.0, 2.0)));
    assert!(error_text(root.number("neg", 0.0..=9.0)).contains("found -1"));
    assert_eq!(
        (parse_duration("1.5s"), parse_duration("2m"), parse_duration("7")),
        (Some(1_500_000), Some(120_000_000), None)
    );
}
