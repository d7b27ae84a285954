//! Timelines are drawn alike from one seed, read back as written, and refused with their place.

use super::*;

#[test]
fn a_timeline_is_drawn_alike_and_reads_back_as_it_is_written() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("drawn.hcl");
    for seed in 0..200 {
        let steps = draw(seed, 5);
        assert_eq!(steps, draw(seed, 5));
        let text: Vec<String> = steps.iter().map(ToString::to_string).collect();
        std::fs::write(&path, text.join("\n")).expect("written");
        assert_eq!(read(&path, 5).expect("in order"), steps, "seed {seed}");
    }
}

#[test]
fn what_is_no_step_is_told_with_its_place() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("bad.hcl");
    for (text, why) in [
        (
            "step \"kill\" {\n  limiter = 5\n}\n",
            "bad.hcl:2:13: step \"kill\".limiter: expected a whole number from 0 to 4, found 5",
        ),
        ("step \"burn\" {}\n", "expected step \"change\""),
        ("step \"mend\" {\n  all = true\n}\n", "bad.hcl:2:3: step \"mend\".all: unknown key or block"),
    ] {
        std::fs::write(&path, text).expect("written");
        let told = read(&path, 5).expect_err("a fault").to_string();
        assert!(told.contains(why), "{told}");
    }
}
