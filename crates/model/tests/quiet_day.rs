//! Test of quotas in a fleet of many limiters without faults or overload.

use sedgestack_fleet::Fleet;
use sedgestack_model::{demand, run, Scenario};

/// Guards against limiters that admit too much or too little when each sees only a small part of a customer's requests:
/// units forwarded beyond quotas cost at most a tenth of the value asked for within them, and at least 85 % of that
/// value is served.
#[test]
fn hundred_limiters_enforce_quotas_without_faults() {
    let text = include_str!("../../../deploy/fleet-sample.hcl");
    let mut fleet = Fleet::parse("fleet-sample.hcl", text)
        .expect("the sample fleet file is valid")
        .with_backends(60)
        .with_limiters(100);
    for plan in &mut fleet.plans {
        plan.spread = (50, 100);
    }
    fleet.load.rate = 440.0;
    fleet.load.length = 25_000_000;
    for seed in 1..=2 {
        let demand = demand::draw(&fleet, seed);
        let score = run(&Scenario::new(&fleet, &demand), seed).score;
        let cost = score.overrun_cost / score.overall.asked;
        let share = score.overall.share();
        assert!(cost <= 0.1, "seed {seed}: overrun cost {cost:.3}, value served {share:.3}");
        assert!(share >= 0.85, "seed {seed}: value served {share:.3}, overrun cost {cost:.3}");
    }
}
