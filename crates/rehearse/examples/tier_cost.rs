//! Measures what consensus costs a limiter: CPU time per request and peak memory.
//!
//! `cargo run --profile kit -p sedgestack-rehearse --example tier_cost -- DAEMON [SECONDS]`
//!
//! Compares tiers of three limiters under the same load: without a `tier` block, with one but no changes, with canary
//! analysis but no changes, and with continuous changes. Each tier runs for SECONDS.

use std::path::PathBuf;
use std::time::Duration;

use sedgestack_fleet::Fleet;
use sedgestack_rehearse::tier::{Options, Tier, CANARY_SETTINGS, QUICK_SETTINGS};

/// Number of limiters.
const LIMITERS: u32 = 3;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let Some(daemon) = arguments.next().map(PathBuf::from) else {
        eprintln!("tier_cost: expected DAEMON [SECONDS]");
        std::process::exit(2);
    };
    let seconds: u64 = arguments.next().and_then(|text| text.parse().ok()).unwrap_or(20);
    let text = include_str!("../../../deploy/fleet-sample.hcl");
    let fleet = Fleet::parse("fleet-sample.hcl", text).expect("the sample fleet is valid");
    println!("tier                  requests    us/request  peak memory MB");
    let watched = format!("{QUICK_SETTINGS}{CANARY_SETTINGS}");
    for (name, settings, changes) in [
        ("off", "", false),
        ("on, idle", QUICK_SETTINGS, false),
        ("on, watching", &watched, false),
        ("on, changing", &watched, true),
    ] {
        let options = Options { tier_block: settings.into(), ..Options::quick(LIMITERS, daemon.clone()) };
        let tier = Tier::start(&fleet, options).expect("the daemon starts on loopback");
        if !settings.is_empty() {
            tier.adopt();
        }
        tier.start_load();
        tier.eventually(|| tier.recorded_duration() >= Duration::from_secs(2));
        let cpu_used = || -> Duration {
            (0..LIMITERS).filter_map(|limiter| tier.resource_use(limiter)).map(|used| used.cpu).sum()
        };
        let (cpu_before, answers, end) =
            (cpu_used(), tier.answer_count(), tier.recorded_duration() + Duration::from_secs(seconds));
        let mut rates = [6.5, 7.2].iter().cycle();
        tier.eventually(|| {
            let document = |rate: f64| tier.document_with_rate(0, "faculdade", rate);
            if changes && tier.status(0).is_some_and(|status| status["begun_here"]["outcome"] != "open") {
                let rate = *rates.next().expect("a cycle does not end");
                // Rejected while another change is in progress; the next poll tries again.
                let _ = tier.begin_change(0, &document(rate), "");
            }
            tier.recorded_duration() >= end
        });
        let (cpu, answers) = (cpu_used() - cpu_before, tier.answer_count() - answers);
        tier.stop_load();
        let memory = (0..LIMITERS)
            .filter_map(|limiter| tier.resource_use(limiter))
            .map(|used| used.peak_memory_mb)
            .fold(0.0, f64::max);
        let us_per_request = cpu.as_secs_f64() * 1e6 / answers.max(1) as f64;
        println!("{name:20} {answers:9} {us_per_request:13.1} {memory:15.1}");
    }
}
