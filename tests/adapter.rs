//! Runs the simulator's adapter with transcripts as its input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const TRANSCRIPT: &str = include_str!("transcripts/smoke.in");

/// Runs the adapter with an input and returns its output.
fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sedgestack-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("stdin is piped");
    // Ignores errors: the adapter may stop reading at an invalid line.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("the adapter ends")
}

/// Runs the adapter with an invalid input and returns its error message.
fn error_message(input: &str) -> String {
    let output = run_adapter(input);
    assert!(!output.status.success(), "accepted: {input}");
    let replies = String::from_utf8(output.stdout).unwrap();
    assert!(replies.lines().all(|l| l == "OK" || l.contains("gatewayId=")), "{replies}");
    let message = String::from_utf8(output.stderr).unwrap();
    assert!(!message.contains("panicked"), "{message}");
    message
}

#[test]
fn replies_are_as_recorded_with_one_ok_per_batch() {
    let output = run_adapter(TRANSCRIPT);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let replies = String::from_utf8(output.stdout).unwrap();
    assert_eq!(replies, include_str!("transcripts/smoke.out"));
    let batches = TRANSCRIPT.lines().filter(|l| *l == "END").count();
    assert_eq!(replies.lines().filter(|l| *l == "OK").count(), batches);
}

#[test]
fn instances_do_not_influence_each_other() {
    let instance_1_alone: Vec<&str> = TRANSCRIPT.lines().filter(|l| !l.contains("gatewayId=0")).collect();
    let output = run_adapter(&(instance_1_alone.join("\n") + "\n"));
    let of_instance_1 = |text: &str| -> Vec<String> {
        text.lines().filter(|l| l.contains("gatewayId=1")).map(String::from).collect()
    };
    let replies = String::from_utf8(output.stdout).unwrap();
    assert!(!of_instance_1(&replies).is_empty());
    assert_eq!(of_instance_1(&replies), of_instance_1(include_str!("transcripts/smoke.out")));
}

#[test]
fn errors_name_the_line_of_malformed_input() {
    let tick = "TICK momentMs=1.0\n";
    for (input, line, expected) in [
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
        let message = error_message(&input);
        assert!(
            message.contains(&format!("line {line}:")) && message.contains(expected),
            "{input:?}: {message}"
        );
    }
}

#[test]
fn errors_name_an_unknown_class_and_a_missing_list() {
    let message = error_message(&TRANSCRIPT.replace("category=book", "category=borrow"));
    assert!(message.contains("category=borrow"), "{message}");
    let message = error_message(&TRANSCRIPT.replace("kind=disk table=3", "kind=disk table=9"));
    assert!(message.contains("ROSTER 9"), "{message}");
}

#[test]
fn events_for_a_halted_instance_are_ignored() {
    let input = format!("{TRANSCRIPT}TICK momentMs=1200.0\nHALT gatewayId=1\nDUE gatewayId=1 ref=0\nEND\n");
    let output = run_adapter(&input);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
}
