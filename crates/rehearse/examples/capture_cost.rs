//! Measures what recording a capture costs a daemon: two daemons share a load evenly, and one of them records it.
//!
//! `cargo run --profile kit -p sedgestack-rehearse --example capture_cost -- target/release/sedgestack [ROUNDS]`
//!
//! Prints for each round the CPU time per request and the peak memory of both daemons. The daemons take turns at
//! recording, so that other differences between them cancel out.

use std::path::PathBuf;

use sedgestack_fleet::Fleet;
use sedgestack_model::demand;
use sedgestack_rehearse::{rehearse, Captures, Rehearsal};

/// Requests per second.
const RATE: f64 = 1_200.0;
/// Number of backends.
const BACKENDS: u32 = 120;
/// Duration of the load of a round.
const SECONDS: u64 = 10;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let daemon: PathBuf = arguments.next().unwrap_or_else(|| "target/release/sedgestack".into()).into();
    let rounds: u64 = arguments.next().and_then(|n| n.parse().ok()).unwrap_or(6);
    let text = include_str!("../../../deploy/fleet-sample.hcl");
    let mut fleet =
        Fleet::parse("fleet-sample.hcl", text).expect("the sample fleet is valid").with_backends(BACKENDS);
    fleet.zones[2].limiters = 0;
    fleet.plans.iter_mut().for_each(|plan| plan.spread = (2, 2));
    fleet.load.skew = 0.0;
    fleet.load.rate = RATE;
    fleet.load.length = SECONDS * 1_000_000;
    fleet.counter.calls_per_second *= 10.0;
    let directory = std::env::temp_dir().join(format!("sedgestack-capture-cost-{}", std::process::id()));
    println!("round requests us_with us_without ratio mb_with mb_without late_ms");
    let mut ratios = Vec::new();
    for round in 0..rounds {
        let demand = demand::draw(&fleet, round + 1);
        let capturing = (round % 2) as u32;
        let report = rehearse(&Rehearsal {
            fleet: &fleet,
            demand: &demand,
            faults: &[],
            seed: round + 1,
            daemon: daemon.clone(),
            captures: Some(Captures { folder: directory.join(round.to_string()), only: vec![capturing] }),
            progress: &|_| {},
        });
        let report = match report {
            Ok(report) => report,
            Err(failure) => {
                eprintln!("capture_cost: {failure}");
                std::process::exit(2);
            }
        };
        let (with, without) = (&report.daemons[capturing as usize], &report.daemons[1 - capturing as usize]);
        let ratio = with.cpu_us_per_request / without.cpu_us_per_request;
        ratios.push(ratio);
        println!(
            "{round:5} {:8} {:7.1} {:10.1} {ratio:5.3} {:7.1} {:10.1} {:7.1}",
            with.taken + without.taken,
            with.cpu_us_per_request,
            without.cpu_us_per_request,
            with.peak_mb,
            without.peak_mb,
            report.lateness_ms
        );
    }
    ratios.sort_by(f64::total_cmp);
    println!("median ratio {:.3}", ratios[ratios.len() / 2]);
    let _ = std::fs::remove_dir_all(&directory);
}
