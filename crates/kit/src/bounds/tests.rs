//! The bound of each plan of the sample fleet, by command line.

use super::*;
use crate::{Cli, Command};
use clap::Parser;

fn arguments(line: &str) -> Arguments {
    let words = ["sedgestack-kit", "bound", "fleet.hcl"].into_iter().chain(line.split_whitespace());
    match Cli::try_parse_from(words).expect("words of this command").command {
        Command::Bound(arguments) => arguments,
        _ => unreachable!("it is bound"),
    }
}

fn rows(line: &str) -> Vec<Result<Result<Row, TargetError>, KitError>> {
    let text = include_str!("../../../../deploy/fleet-sample.hcl");
    let fleet = Fleet::parse("fleet-sample.hcl", text).expect("in order");
    fleet.plans.iter().map(|plan| row(&arguments(line), &fleet, plan)).collect()
}

#[test]
fn the_largest_shares_within_a_target_reach_it_exactly() {
    for row in rows("--at-most 110") {
        let row = row.expect("good input").expect("shares of some percent keep it");
        assert!((row.minute.ratio() - 1.1).abs() < 1e-6 && row.share_percent > 1.0, "{}", row.plan);
    }
}

#[test]
fn an_unreachable_target_names_its_largest_term_and_bad_parts_name_their_plan() {
    let reason = rows("--at-most 130 --counters 2").remove(0).expect("good input").err();
    assert!(reason
        .expect("twice the quota")
        .to_string()
        .starts_with("the term \"counters that lost their totals\" alone"));
    let error = rows("--share 300").remove(0).err().expect("no part is over 1");
    assert_eq!(
        error.to_string(),
        "plan basico: counter, lent and local share fractions: expected 0 to 1 each, and at least one above 0"
    );
}
