//! Measures how many requests the model simulates per second on one core, for several fleet sizes.
//!
//! Run it with `cargo run --release -p sedgestack-model --example scale`. The load grows with the number of backends.
//! Each fleet size gives one line. Its last column is the peak memory of the process so far.

use std::time::Instant;

use sedgestack_fleet::Fleet;
use sedgestack_model::{demand, run, Scenario};

fn peak_mb() -> String {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    let kb = line.and_then(|l| l.trim().trim_end_matches("kB").trim().parse::<u64>().ok());
    kb.map_or("unknown".into(), |kb| format!("{}", kb / 1024))
}

fn main() {
    let text = include_str!("../../../deploy/fleet-sample.hcl");
    let sample = Fleet::parse("fleet-sample.hcl", text).expect("the sample fleet file is valid");
    println!(
        "workers limiters simulated_s requests wall_s requests_per_s events_per_s worth_in_time peak_mb"
    );
    for (backends, limiters, seconds) in [
        (10, 3, 40),
        (10, 10, 40),
        (100, 3, 10),
        (100, 10, 10),
        (100, 100, 10),
        (1_000, 10, 2),
        (1_000, 100, 2),
    ] {
        let mut fleet = sample.with_backends(backends).with_limiters(limiters);
        fleet.load.rate = 6.0 * f64::from(backends);
        fleet.counter.calls_per_second *= f64::from(backends) / 10.0;
        fleet.load.length = seconds * 1_000_000;
        let demand = demand::draw(&fleet, 1);
        let started_at = Instant::now();
        let outcome = run(&Scenario::new(&fleet, &demand), 1);
        let wall = started_at.elapsed().as_secs_f64();
        let tries = outcome.counts.first_tries as f64;
        println!(
            "{backends:7} {limiters:8} {seconds:11} {tries:8} {wall:6.2} {:14.0} {:12.0} {:13.3} {:>7}",
            tries / wall,
            outcome.events as f64 / wall,
            outcome.score.overall.share(),
            peak_mb()
        );
    }
}
