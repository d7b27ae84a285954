//! The adapter, run as a program over transcripts.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SMOKE: &str = include_str!("transcripts/smoke.in");

fn drill(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sedgestack-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("piped");
    // The adapter may stop reading at a fault; what it says is what counts.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("the adapter ends")
}

fn complaint(input: &str) -> String {
    let out = drill(input);
    assert!(!out.status.success(), "accepted: {input}");
    let replies = String::from_utf8(out.stdout).unwrap();
    assert!(replies.lines().all(|l| l == "OK" || l.contains("gatewayId=")), "{replies}");
    let text = String::from_utf8(out.stderr).unwrap();
    assert!(!text.contains("panicked"), "{text}");
    text
}

#[test]
fn transcript_is_answered_as_recorded_one_reply_a_batch() {
    let out = drill(SMOKE);
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    let replies = String::from_utf8(out.stdout).unwrap();
    assert_eq!(replies, include_str!("transcripts/smoke.out"));
    let batches = SMOKE.lines().filter(|l| *l == "END").count();
    assert_eq!(replies.lines().filter(|l| *l == "OK").count(), batches);
}

#[test]
fn instances_act_alike_alone_and_together() {
    let alone: Vec<&str> = SMOKE.lines().filter(|l| !l.contains("gatewayId=0")).collect();
    let out = drill(&(alone.join("\n") + "\n"));
    let of_one = |text: &str| -> Vec<String> {
        text.lines().filter(|l| l.contains("gatewayId=1")).map(String::from).collect()
    };
    let replies = String::from_utf8(out.stdout).unwrap();
    assert!(!of_one(&replies).is_empty());
    assert_eq!(of_one(&replies), of_one(include_str!("transcripts/smoke.out")));
}

#[test]
fn malformed_input_is_named_with_its_line() {
    let tick = "TICK momentMs=1.0\n";
    for (input, line, word) in [
        ("END\n".to_string(), 1, "outside a batch"),
        (format!("{tick}TICK momentMs=2.0\n"), 2, "inside a batch"),
        (format!("{tick}NONSENSE gatewayId=1\n"), 2, "never came up"),
        (format!("{tick}DUE gatewayId=1 ref=0\nEND\n"), 2, "never came up"),
        (format!("{tick}DUE ref=0\nEND\n"), 2, "lacks gatewayId"),
        (format!("{tick}DUE gatewayId=-1 ref=0\nEND\n"), 2, "whole number"),
        ("TICK momentMs=NaN\n".to_string(), 1, "finite"),
        (format!("{tick}ROSTER table=0 members=2\nEND\n"), 3, "missing"),
        (format!("{tick}ROSTER table=0 members=2\n"), 3, "inside a batch"),
        (format!("{tick}PROVISION gatewayId=0 nonce64=1 settings={{}}\nEND\n"), 2, "settings"),
        (tick.to_string(), 2, "inside a batch"),
    ] {
        let text = complaint(&input);
        assert!(text.contains(&format!("line {line}:")) && text.contains(word), "{input:?}: {text}");
    }
}

#[test]
fn unknown_class_and_missing_list_are_named() {
    let text = complaint(&SMOKE.replace("category=book", "category=borrow"));
    assert!(text.contains("category=borrow"), "{text}");
    let text = complaint(&SMOKE.replace("kind=disk table=3", "kind=disk table=9"));
    assert!(text.contains("ROSTER 9"), "{text}");
}

#[test]
fn event_for_a_halted_instance_is_dropped() {
    let halted = format!("{SMOKE}TICK momentMs=1200.0\nHALT gatewayId=1\nDUE gatewayId=1 ref=0\nEND\n");
    let out = drill(&halted);
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
}
