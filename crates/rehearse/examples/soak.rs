//! Looks for violations of the platform's rules in short runs of real limiters.
//!
//! `cargo run --release -p sedgestack-rehearse --example soak -- [--seed N] [--seeds COUNT] [--seconds S] [--json]
//! [--daemon PATH]`
//!
//! Runs COUNT seeds starting at N, each with S seconds of load with faults before the signals. The exit status is 0 if
//! no violation was found, 1 if one was, and 2 if the arguments are invalid or a run failed.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use sedgestack_rehearse::soak::{soak, SoakOptions, SoakReport};

const USAGE: &str = "soak: expected [--seed N] [--seeds COUNT] [--seconds S] [--json] [--daemon PATH]";

/// The command line arguments.
struct Arguments {
    first_seed: u64,
    seeds: u64,
    seconds: u64,
    json: bool,
    daemon: PathBuf,
}

/// Parses the command line; `None` if it is invalid.
fn parse_arguments() -> Option<Arguments> {
    let mut parsed = Arguments {
        first_seed: 1,
        seeds: 1,
        seconds: 5,
        json: false,
        daemon: PathBuf::from("target/release/sedgestack"),
    };
    let mut words = std::env::args().skip(1);
    while let Some(word) = words.next() {
        match word.as_str() {
            "--seed" => parsed.first_seed = words.next()?.parse().ok()?,
            "--seeds" => parsed.seeds = words.next()?.parse().ok()?,
            "--seconds" => parsed.seconds = words.next()?.parse().ok()?,
            "--daemon" => parsed.daemon = PathBuf::from(words.next()?),
            "--json" => parsed.json = true,
            _ => return None,
        }
    }
    Some(parsed)
}

fn main() -> ExitCode {
    let Some(arguments) = parse_arguments() else {
        eprintln!("{USAGE}");
        return ExitCode::from(2);
    };
    let mut has_findings = false;
    for seed in arguments.first_seed..arguments.first_seed + arguments.seeds {
        let load = Duration::from_secs(arguments.seconds);
        match soak(&SoakOptions { seed, load, daemon: arguments.daemon.clone() }) {
            Ok(report) => {
                has_findings |= !report.findings.is_empty();
                print_report(&report, &arguments);
            }
            Err(failure) => {
                eprintln!("seed {seed}: {failure}");
                return ExitCode::from(2);
            }
        }
    }
    ExitCode::from(u8::from(has_findings))
}

fn print_report(report: &SoakReport, arguments: &Arguments) {
    if arguments.json {
        println!("{}", serde_json::to_string(report).expect("a report can be serialized"));
        return;
    }
    let SoakReport { seed, requests, attempts, served, findings, lateness, is_void } = report;
    if *is_void {
        println!("seed {seed}: timing rules not checked, timers were late by up to {lateness:?}");
    }
    println!(
        "seed {seed}: {requests} requests, {served} served, {attempts} attempts, {} findings",
        findings.len()
    );
    for finding in findings {
        println!("  {:?}: {}", finding.rule, finding.detail);
    }
    if !findings.is_empty() {
        let (seconds, daemon) = (arguments.seconds, arguments.daemon.display());
        println!("  reproduce: cargo run --release -p sedgestack-rehearse --example soak -- --seed {seed} --seconds {seconds} --daemon {daemon}");
    }
}
