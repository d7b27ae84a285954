//! Tests that drawn demand matches the description in the fleet file.

use super::*;

#[test]
fn drawn_demand_has_configured_rate_and_shares() {
    let mut fleet = crate::tests_support::sample();
    fleet.load.heavy_share = 0.0;
    fleet.load.spiky_share = 0.0;
    let demand = draw(&fleet, 1);
    let rate = demand.arrivals.len() as f64 / (fleet.load.length as f64 / 1e6);
    assert!((rate / fleet.load.rate - 1.0).abs() < 0.12, "{rate}");
    let reads = demand.arrivals.iter().filter(|a| a.class == 0).count() as f64;
    assert!((reads / demand.arrivals.len() as f64 - 0.77).abs() < 0.03);
    assert!(demand.arrivals.is_sorted_by_key(|a| a.at));
    assert_eq!(demand, draw(&fleet, 1));
    assert_ne!(demand, draw(&fleet, 2));
}

#[test]
fn surge_raises_arrivals_and_work_of_its_class_only() {
    let mut fleet = crate::tests_support::sample();
    let surge = Surge { class: 1, from: 20_000_000, duration: 10_000_000, arrivals: 3.0, work: 2.0 };
    fleet.surges.push(surge);
    let demand = draw(&fleet, 3);
    let rate = |class, from: u64, to: u64| {
        let within = |a: &&Arrival| a.class == class && (from..to).contains(&(a.at / 1_000_000));
        demand.arrivals.iter().filter(within).count() as f64 / (to - from) as f64
    };
    assert!(rate(1, 20, 30) > 2.0 * rate(1, 0, 20));
    assert!(rate(0, 20, 30) < 1.4 * rate(0, 0, 20));
    let work = |from: u64, to: u64| {
        let within = |a: &&Arrival| a.class == 1 && (from..to).contains(&(a.at / 1_000_000));
        let works: Vec<f64> = demand.arrivals.iter().filter(within).map(|a| a.work).collect();
        works.iter().sum::<f64>() / works.len() as f64
    };
    assert!(work(20, 30) > 1.5 * work(0, 20));
}

#[test]
fn work_drawn_for_units_matches_these_units() {
    let fleet = crate::tests_support::sample();
    let (class, rng) = (&fleet.classes[0], &mut stream(5, Concern::Work, 0));
    let work = WorkDistribution::new(class, 2.0);
    for units in [1.0, 2.0, 3.0] {
        let drawn = work.draw_for_units(rng, class, 4, units, 2.0) / 2.0;
        assert_eq!(units_for_work(drawn, class, 4), units);
    }
}
