//! Tests of the bounds that `sedgestack-kit bound` computes for the plans of the sample fleet.

use super::*;
use crate::{Cli, Command};
use clap::Parser;

fn arguments(line: &str) -> Arguments {
    let words = ["sedgestack-kit", "bound", "fleet.hcl"].into_iter().chain(line.split_whitespace());
    match Cli::try_parse_from(words).expect("a valid command line").command {
        Command::Bound(arguments) => arguments,
        _ => unreachable!("the command is bound"),
    }
}

fn rows(line: &str) -> Vec<Result<Result<Row, TargetError>, KitError>> {
    let text = include_str!("../../../../deploy/fleet-sample.hcl");
    let fleet = Fleet::parse("fleet-sample.hcl", text).expect("the sample fleet is valid");
    fleet.plans.iter().map(|plan| row(&arguments(line), &fleet, plan)).collect()
}

#[test]
fn largest_shares_reach_the_target_exactly() {
    for row in rows("--at-most 110") {
        let row = row.expect("valid input").expect("some share keeps the target");
        assert!((row.minute.ratio() - 1.1).abs() < 1e-6 && row.share_percent > 1.0, "{}", row.plan);
    }
}

#[test]
fn errors_name_the_largest_term_or_the_plan() {
    let reason = rows("--at-most 130 --counters 2").remove(0).expect("valid input").err();
    assert!(reason
        .expect("two counters alone exceed the target")
        .to_string()
        .starts_with("the term \"counters that lost their totals\" alone"));
    let error = rows("--share 300").remove(0).err().expect("a part above 1 is invalid");
    assert_eq!(
        error.to_string(),
        "plan basico: counter, lent and local share fractions: expected 0 to 1 each, and at least one above 0"
    );
}
