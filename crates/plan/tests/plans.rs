//! Tests of the planner under surges, quiet days, incomplete captures, quotas that limit before the backends do, and
//! heavy client retries.

use sedgestack_capture::{merge, Capture, KeyedHash, Merged};
use sedgestack_fleet::{Fleet, Growth, GrowthBy, Surge};
use sedgestack_model::demand::{self, Demand};
use sedgestack_plan::{
    evaluate, fit, impact, plan, synthesize, BusiestDay, CaptureError, FirstTries, Plan, Resource, Source,
};

const SECOND: u64 = 1_000_000;

fn sample(seconds: u64) -> Fleet {
    let text = include_str!("../../../deploy/fleet-sample.hcl");
    let mut fleet = Fleet::parse("fleet-sample.hcl", text).expect("the sample has no error");
    fleet.load.length = seconds * SECOND;
    fleet
}

fn captures(fleet: &Fleet, seed: u64) -> (Demand, Vec<Capture>) {
    let demand = demand::draw(fleet, seed);
    let captures = synthesize(fleet, &demand, &[], KeyedHash::new([3; 16]), seed);
    (demand, captures)
}

fn source(fleet: &Fleet, merged: &Merged) -> Source {
    let tries = FirstTries::of(fleet, merged).expect("a capture of this fleet");
    let fit = fit(fleet, &tries);
    Source::Captured { tries: Box::new(tries), fit }
}

fn captured(fleet: &Fleet, seed: u64) -> Source {
    source(fleet, &merge(captures(fleet, seed).1).expect("one tier"))
}

fn make_plan(fleet: &Fleet, source: &Source) -> Plan {
    plan(fleet, source, 3, &|_, _| {})
}

fn units(demand: &Demand) -> f64 {
    demand.arrivals.iter().map(|a| a.units).sum()
}

#[test]
fn work_surge_breaks_objective_that_run_mean_meets() {
    let mut fleet = sample(40);
    fleet.load.rate *= 0.7;
    fleet.surges.push(Surge { class: 1, from: 15 * SECOND, duration: 10 * SECOND, arrivals: 3.5, work: 3.0 });
    let source = captured(&fleet, 4);
    let class = &source.fit().expect("a capture is fitted").classes[1];
    assert!((15..25).contains(&class.highest_at_s), "{class:?}");
    assert!(class.highest > 1.5, "{class:?}");
    let evaluation = evaluate(&fleet, &source, 1.0, GrowthBy::Customers, &[], 3);
    let worst = evaluation.worst_in_time[0];
    assert!((6..=25).contains(&worst.from_s), "{worst:?}");
    assert!(worst.share < evaluation.in_time[0].mean - 0.005, "{worst:?} {:?}", evaluation.in_time);
    // The run as a whole meets an objective between the two shares, but the surge does not.
    let objective = (worst.share + evaluation.in_time[0].mean) / 2.0;
    assert!(evaluation.in_time[0].mean > objective && !evaluation.meets_objectives(&[objective, 0.0]));
}

#[test]
fn busiest_day_is_stated_only_with_growth_block() {
    let mut fleet = sample(12);
    fleet.load.rate *= 0.4;
    fleet.objectives.backends = (4, 20);
    let source = captured(&fleet, 2);
    let plan_without_growth = make_plan(&fleet, &source);
    let BusiestDay::Refused { why } = &plan_without_growth.busiest_day else {
        panic!("{:?}", plan_without_growth.busiest_day)
    };
    assert!(why.contains("Add a growth block"), "{why}");
    assert!(
        plan_without_growth.warnings.iter().any(|w| w.contains("quiet day")),
        "{:?}",
        plan_without_growth.warnings
    );
    let quiet = plan_without_growth.least.backends.expect("a quiet day needs few backends");
    fleet.growth = Some(Growth { factor: 2.0, by: GrowthBy::Customers, uncertainty: 0.25 });
    let grown = make_plan(&fleet, &source);
    let BusiestDay::Stated { seen_part, least_low, least_high, .. } = grown.busiest_day else {
        panic!("the growth block states the busiest day")
    };
    assert_eq!(seen_part, 0.5);
    let least = grown.least.backends.expect("in range");
    assert!(least > quiet, "{least} {quiet}");
    assert!(least_low.expect("in range") <= least && least <= least_high.expect("in range"));
    assert!(least_low != least_high);
}

#[test]
fn demand_of_incomplete_captures_is_scaled_up_with_warnings() {
    let fleet = sample(25);
    let (truth, whole) = captures(&fleet, 6);
    let demand = |captures: Vec<Capture>| {
        let source = source(&fleet, &merge(captures).expect("one tier"));
        (units(&source.demand(&fleet, 1.0, GrowthBy::Customers, 1)), source.warnings().join("\n"))
    };
    let near = |found: f64, within: f64| (found / units(&truth) - 1.0).abs() < within;
    let (all, _) = demand(whole.clone());
    assert!(near(all, 0.04), "{all} of {}", units(&truth));

    let mut dropped = whole.clone();
    let kept = |n: usize| !n.is_multiple_of(3);
    let count = dropped[1].records.len();
    let mut n = 0;
    dropped[1].records.retain(|_| {
        n += 1;
        kept(n)
    });
    dropped[1].dropped = (count - dropped[1].records.len()) as u64;
    let (found, warnings) = demand(dropped);
    assert!(near(found, 0.08) && warnings.contains("records were dropped"), "{found} {warnings}");

    let (found, warnings) = demand(vec![whole[0].clone(), whole[2].clone()]);
    assert!(near(found, 0.25) && warnings.contains("no capture of limiter 1"), "{found} {warnings}");
    assert!(warnings.contains("is an estimate of what the capture lacks"), "{warnings}");

    let mut off = whole;
    off[2].records.iter_mut().for_each(|r| r.at += SECOND);
    let (found, warnings) = demand(off);
    assert!(near(found, 0.04), "{found}");
    assert!(warnings.contains("its clock is") || warnings.contains("to compare its clock"), "{warnings}");
}

#[test]
fn quotas_break_before_backends_under_growth_of_use() {
    let mut fleet = sample(12).with_backends(30);
    fleet.load.usual_use = (0.7, 0.9);
    (fleet.load.heavy_share, fleet.load.spiky_share) = (0.0, 0.0);
    fleet.growth = Some(Growth { factor: 1.0, by: GrowthBy::Use, uncertainty: 0.0 });
    fleet.objectives.backends = (28, 30);
    let plan = make_plan(&fleet, &Source::Described);
    let first = plan.breaks.first().expect("something breaks");
    assert!(matches!(first.resource, Resource::PlanQuota { .. }), "{:?}", plan.breaks.breaks);
    assert!(
        plan.conclusions.iter().any(|c| c.contains("more workers buy nothing")),
        "{:?}",
        plan.conclusions
    );
}

#[test]
fn client_retries_under_overload_do_not_count_as_demand() {
    let mut fleet = sample(20);
    fleet.load.rate *= 2.0;
    fleet.clients.retries = 1.0;
    let (truth, captured) = captures(&fleet, 8);
    let merged = merge(captured).expect("one tier");
    assert!(merged.records.len() as f64 > 1.2 * truth.arrivals.len() as f64, "overload causes many retries");
    let tries = FirstTries::of(&fleet, &merged).expect("a capture of this fleet");
    let found = tries.tries.len() as f64 / truth.arrivals.len() as f64;
    assert!((found - 1.0).abs() < 0.06, "{found}");
    assert!(tries.retries_by_key > 0 && tries.retries_inferred > 0);
}

#[test]
fn fit_corrects_wrong_work_in_fleet_file() {
    let fleet = sample(25);
    let (_, captures) = captures(&fleet, 5);
    let mut wrong = fleet.clone();
    wrong.classes[0].work *= 2;
    let found = source(&wrong, &merge(captures).expect("one tier"));
    let fit = found.fit().expect("a capture is fitted");
    assert!((fit.classes[0].scale - 0.5).abs() < 0.1, "{:?}", fit.classes);
    assert!((fit.classes[1].scale - 1.0).abs() < 0.2, "{:?}", fit.classes);
    assert!(fit.unexplained < 0.1, "{}", fit.unexplained);
}

#[test]
fn capture_of_another_fleet_is_rejected_with_the_difference() {
    let fleet = sample(8);
    let (_, captures) = captures(&fleet, 1);
    let merged = merge(captures).expect("one tier");
    let mut other = fleet.clone();
    other.plans[2].name = "gold".into();
    let message = FirstTries::of(&other, &merged).expect_err("another fleet").to_string();
    assert_eq!(
        message,
        "the capture's plan faculdade is not in the fleet file, which has basico, escola, gold, universidade"
    );
    let mut few = merged.clone();
    few.records.truncate(20);
    assert!(
        matches!(FirstTries::of(&fleet, &few), Err(CaptureError::TooLittle { tries, .. }) if tries <= 20)
    );
}

#[test]
fn plan_is_identical_on_one_and_four_threads() {
    let fleet = {
        let mut fleet = sample(6);
        fleet.objectives.backends = (8, 12);
        fleet
    };
    let on = |threads: usize| {
        let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build().expect("threads");
        pool.install(|| format!("{:?}", make_plan(&fleet, &Source::Described)))
    };
    assert_eq!(on(1), on(4));
}

#[test]
fn tenfold_quota_cut_rejects_only_customers_of_that_plan() {
    let fleet = sample(15);
    let mut mistyped = fleet.clone();
    mistyped.plans[2].rate /= 10.0;
    let found = impact(&fleet, &mistyped, &Source::Described, 3);
    assert!(found[2].newly_refused >= 2.0, "{found:?}");
    assert!(found[2].refused_after.mean > found[2].refused_before.mean + 0.2, "{found:?}");
    for other in [0, 1, 3] {
        assert!(found[other].newly_refused <= 1.5, "{found:?}");
    }
    let same = impact(&fleet, &fleet, &Source::Described, 2);
    assert!(same.iter().all(|p| p.newly_refused == 0.0 && p.refused_before == p.refused_after));
}
