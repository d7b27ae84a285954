//! Measures false alarms and misses of the canary analysis over simulated runs.
//!
//! `cargo run --profile kit -p sedgestack-canary --example false_alarms [-- RUNS]`
//!
//! In the middle of each run the configuration changes, and a fault is injected at the same time. For each change and
//! fault the example prints in how many runs the change was rolled back, and after how many seconds (median).

use rayon::prelude::*;
use sedgestack_canary::{CanaryAnalysis, Second, Settings, Verdict};
use sedgestack_fleet::Fleet;
use sedgestack_model::{demand, run, ConfigurationChange, Fault, ObservedOutcome, ObservedRequest, Scenario};

const MICROS_PER_SECOND: u64 = 1_000_000;
const CHANGE_AT_S: u64 = 22;
const CHANGE_AT: u64 = CHANGE_AT_S * MICROS_PER_SECOND;
const RUN_LENGTH_S: u64 = 55;
const FAULT_LENGTH: u64 = 12 * MICROS_PER_SECOND;
const DEFAULT_RUNS: u64 = 300;
/// Index of the plan that the changes touch.
const TOUCHED_PLAN: usize = 2;
/// The simulated changes: name, and factor by which the touched plan's rate is multiplied.
const CHANGES: [(&str, f64); 6] = [
    ("none", 1.0),
    ("rate x 1.2", 1.2),
    ("rate x 0.75", 0.75),
    ("rate x 0.5", 0.5),
    ("rate x 0.25", 0.25),
    ("rate x 0.1", 0.1),
];

struct FaultScenario {
    name: &'static str,
    faults: Vec<Fault>,
}

fn fault_scenarios() -> Vec<FaultScenario> {
    let (at, span) = (CHANGE_AT, FAULT_LENGTH);
    let crash = Fault::BackendsCrash { at, span, share: 0.23 };
    let zone_lost = Fault::ZoneLost { at, span, zone: 1, limiters: false, silent: true };
    vec![
        FaultScenario { name: "none", faults: vec![] },
        FaultScenario { name: "backends crash (23%)", faults: vec![crash] },
        FaultScenario { name: "zone lost", faults: vec![zone_lost] },
        FaultScenario { name: "counter lost", faults: vec![Fault::CounterLost { at, span }] },
    ]
}

/// Returns the outcomes by second of the run, without client retries.
fn outcomes_by_second(fleet: &Fleet, observed: &[ObservedRequest]) -> Vec<Second> {
    let mut seconds = vec![Second::default(); RUN_LENGTH_S as usize + 1];
    for request in observed.iter().filter(|request| !request.is_retry) {
        let Some(second) = seconds.get_mut((request.at / MICROS_PER_SECOND) as usize) else { continue };
        let is_in_time = request.outcome == ObservedOutcome::Served
            && request.latency <= fleet.classes[request.class].latency_objective;
        let group = if request.plan == TOUCHED_PLAN { &mut second.touched } else { &mut second.control };
        group.attempts += 1;
        group.in_time += u32::from(is_in_time);
    }
    seconds
}

fn simulate(before: &Fleet, after: &Fleet, faults: &[Fault], seed: u64) -> Verdict {
    let demand = demand::draw(before, seed);
    let change = ConfigurationChange { at: CHANGE_AT, fleet: after.clone() };
    let scenario = Scenario {
        record: true,
        faults: faults.to_vec(),
        changes: vec![change],
        ..Scenario::new(before, &demand)
    };
    let seconds = outcomes_by_second(before, &run(&scenario, seed).observed);
    let (before, after) = seconds[..RUN_LENGTH_S as usize].split_at(CHANGE_AT_S as usize);
    analyse(before, after)
}

fn analyse(before: &[Second], after: &[Second]) -> Verdict {
    let settings = Settings::default();
    let baseline = &before[before.len() - settings.baseline_s as usize..];
    let mut analysis = CanaryAnalysis::new(settings).expect("the default settings are valid");
    let evaluate = |n: usize| analysis.evaluate(n as u32, baseline, &after[..n]);
    (1..=after.len()).map(evaluate).last().expect("the run continues after the change")
}

fn rollback_time(verdict: &Verdict) -> Option<u32> {
    match verdict {
        Verdict::Undo { at_s, .. } => Some(*at_s),
        Verdict::Goes | Verdict::Stands => None,
    }
}

fn main() {
    let runs: u64 = std::env::args().nth(1).and_then(|n| n.parse().ok()).unwrap_or(DEFAULT_RUNS);
    let text = include_str!("../../../deploy/fleet-sample.hcl");
    let mut fleet = Fleet::parse("fleet-sample.hcl", text).expect("the sample file is valid");
    fleet.load.length = RUN_LENGTH_S * MICROS_PER_SECOND;
    println!("change               fault                undone    runs median_s");
    for (change, factor) in CHANGES {
        let mut after = fleet.clone();
        after.plans[TOUCHED_PLAN].rate *= factor;
        for FaultScenario { name, faults } in fault_scenarios() {
            let verdicts: Vec<Verdict> =
                (1..=runs).into_par_iter().map(|seed| simulate(&fleet, &after, &faults, seed)).collect();
            let mut times: Vec<u32> = verdicts.iter().filter_map(rollback_time).collect();
            times.sort_unstable();
            let median = times.get(times.len() / 2).map_or("-".to_string(), u32::to_string);
            println!("{change:20} {name:20} {:6} {runs:7} {median:>8}", times.len());
        }
    }
}
