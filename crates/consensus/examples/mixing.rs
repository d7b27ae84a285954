//! Measures how long two versions are active at the same time, by size of the tier and loss of datagrams.
//!
//! `cargo run --profile kit -p sedgestack-consensus --example mixing [-- LIMITERS...]`
//!
//! Each line covers 20 simulated tiers (6 of 100 limiters, 2 of 300), with one change of 1,500 bytes in each. The
//! columns are:
//!
//! - `made`: tiers in which the change became active at all limiters, at the latest 15 s after its activation (20 s
//!   with 100 limiters, 40 s with 300);
//! - `median_s`: median time from the proposal of the change until it was active at all limiters;
//! - `mixed_current_ms`, `mixed_all_ms`: longest time during which two limiters served different versions, among
//!   limiters with status current and among all;
//! - `received_per_s`: most datagrams that a limiter received within one second.

#[path = "../tests/tier/mod.rs"]
#[allow(dead_code)]
mod tier;

use tier::{Tier, MS};

/// Time between two checks of whether a change is active everywhere, ms.
const CHECK_EVERY_MS: u64 = 250;
const LOSSES: [f64; 4] = [0.0, 0.08, 0.2, 0.5];

/// Runs the tiers of one size and loss, and returns the line to print.
fn line(replicas: u16, loss: f64) -> String {
    let (tiers, wait) = match replicas {
        0..=30 => (20, 40_000),
        31..=100 => (6, 80_000),
        _ => (2, 220_000),
    };
    let (mut made, mut current, mut all, mut busiest, mut durations) = (0, 0, 0, 0, Vec::new());
    for seed in 0..tiers {
        let mut tier = Tier::new(replicas, loss, seed);
        tier.run(if replicas > 100 { 30_000 } else { 10_000 });
        let is_proposed = tier.propose(0, &[7; 1_500]).is_ok();
        let (mut waited, mut done) = (0, false);
        while waited < wait {
            tier.run(CHECK_EVERY_MS);
            waited += CHECK_EVERY_MS;
            if is_proposed && !done && tier.active_versions().iter().all(|v| *v == 1) {
                (done, made) = (true, made + 1);
                durations.push(waited);
            }
        }
        current = current.max(tier.longest_mixed_current());
        all = all.max(tier.longest_mixed());
        busiest = busiest.max(tier.busiest_second);
    }
    durations.sort_unstable();
    let median =
        durations.get(durations.len() / 2).map_or("-".into(), |ms| format!("{:.1}", *ms as f64 / 1e3));
    format!(
        "{replicas:8} {loss:4} {made:2}/{tiers} {median:>8} {:16} {:12} {busiest:14}",
        current / MS,
        all / MS
    )
}

fn main() {
    println!("limiters loss made  median_s mixed_current_ms mixed_all_ms received_per_s");
    let requested: Vec<u16> = std::env::args().skip(1).filter_map(|n| n.parse().ok()).collect();
    let sizes = if requested.is_empty() { vec![3, 10, 30, 100, 300] } else { requested };
    for replicas in sizes {
        let lines: Vec<String> = std::thread::scope(|scope| {
            let threads: Vec<_> =
                LOSSES.iter().map(|loss| scope.spawn(move || line(replicas, *loss))).collect();
            threads.into_iter().map(|thread| thread.join().expect("no simulation panics")).collect()
        });
        lines.iter().for_each(|line| println!("{line}"));
    }
}
