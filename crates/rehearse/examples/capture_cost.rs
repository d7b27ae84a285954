//! What a capture costs a daemon: two daemons share a load evenly, one captures.
//!
//! `cargo run --profile kit -p sedgestack-rehearse --example capture_cost -- target/release/sedgestack [ROUNDS]`
//!
//! Prints for each round the CPU of a request with and without, and both daemons' peak memory; the capturing one
//! changes from round to round, so that what differs between the two cancels.

use std::path::PathBuf;

use sedgestack_fleet::Fleet;
use sedgestack_model::demand;
use sedgestack_rehearse::{rehearse, Captures, Rehearsal};

const RATE: f64 = 1_200.0;
const WORKERS: u32 = 120;
const SECONDS: u64 = 10;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let daemon: PathBuf = arguments.next().unwrap_or_else(|| "target/release/sedgestack".into()).into();
    let rounds: u64 = arguments.next().and_then(|n| n.parse().ok()).unwrap_or(6);
    let text = include_str!("../../../deploy/fleet-sample.hcl");
    let mut fleet =
        Fleet::parse("fleet-sample.hcl", text).expect("the sample has no fault").with_backends(WORKERS);
    fleet.zones[2].limiters = 0;
    fleet.plans.iter_mut().for_each(|p| p.spread = (2, 2));
    fleet.load.skew = 0.0;
    fleet.load.rate = RATE;
    fleet.load.length = SECONDS * 1_000_000;
    fleet.counter.calls_per_second *= 10.0;
    let folder = std::env::temp_dir().join(format!("sedgestack-capture-cost-{}", std::process::id()));
    println!("round requests us_with us_without ratio mb_with mb_without late_ms");
    let mut ratios = Vec::new();
    for round in 0..rounds {
        let demand = demand::draw(&fleet, round + 1);
        let with = (round % 2) as u32;
        let held = rehearse(&Rehearsal {
            fleet: &fleet,
            demand: &demand,
            faults: &[],
            seed: round + 1,
            daemon: daemon.clone(),
            captures: Some(Captures { folder: folder.join(round.to_string()), only: vec![with] }),
            progress: &|_| {},
        });
        let held = match held {
            Ok(held) => held,
            Err(e) => {
                eprintln!("capture_cost: {e}");
                std::process::exit(2);
            }
        };
        let (on, off) = (&held.daemons[with as usize], &held.daemons[1 - with as usize]);
        let ratio = on.cpu_us_per_request / off.cpu_us_per_request;
        ratios.push(ratio);
        println!(
            "{round:5} {:8} {:7.1} {:10.1} {ratio:5.3} {:7.1} {:10.1} {:7.1}",
            on.taken + off.taken,
            on.cpu_us_per_request,
            off.cpu_us_per_request,
            on.peak_mb,
            off.peak_mb,
            held.lateness_ms
        );
    }
    ratios.sort_by(f64::total_cmp);
    println!("median ratio {:.3}", ratios[ratios.len() / 2]);
    let _ = std::fs::remove_dir_all(&folder);
}
