//! Generated timelines are reproducible, printed timelines parse to the same steps, and errors name their location.

use super::*;

#[test]
fn drawn_timelines_are_reproducible_and_parse_as_printed() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let path = directory.path().join("drawn.hcl");
    for seed in 0..200 {
        let steps = draw(seed, 5);
        assert_eq!(steps, draw(seed, 5));
        let text: Vec<String> = steps.iter().map(ToString::to_string).collect();
        std::fs::write(&path, text.join("\n")).expect("the file can be written");
        assert_eq!(read(&path, 5).expect("the timeline is valid"), steps, "seed {seed}");
    }
}

#[test]
fn invalid_steps_are_reported_with_their_location() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let path = directory.path().join("bad.hcl");
    for (text, expected) in [
        (
            "step \"kill\" {\n  limiter = 5\n}\n",
            "bad.hcl:2:13: step \"kill\".limiter: expected a whole number from 0 to 4, found 5",
        ),
        ("step \"burn\" {}\n", "expected step \"change\""),
        ("step \"mend\" {\n  all = true\n}\n", "bad.hcl:2:3: step \"mend\".all: unknown key or block"),
    ] {
        std::fs::write(&path, text).expect("the file can be written");
        let error = read(&path, 5).expect_err("the timeline is invalid").to_string();
        assert!(error.contains(expected), "{error}");
    }
}
