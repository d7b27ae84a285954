//! A short rehearsal: real daemons between the kit's stand-ins, with a fault, and the captures that they write.
//!
//! All assertions hold for any timing, so the speed of the machine does not matter.

mod soak;

use std::path::PathBuf;

use sedgestack_capture::{merge, read_file, Outcome};
use sedgestack_fleet::Fleet;
use sedgestack_model::{demand, Fault};
use sedgestack_rehearse::{rehearse, Captures, Failure, Rehearsal, RehearsalReport};

const SECOND: u64 = 1_000_000;

/// Returns the sample fleet, with `seconds` seconds of load.
fn sample(seconds: u64) -> Fleet {
    let text = include_str!("../../deploy/fleet-sample.hcl");
    let mut fleet = Fleet::parse("fleet-sample.hcl", text).expect("the sample is valid");
    fleet.load.length = seconds * SECOND;
    // Short delays, so that changes of the endpoint list reach the limiters during the run.
    (fleet.discovery.removal_delay, fleet.discovery.addition_delay) =
        ((100_000, 200_000), (100_000, 200_000));
    fleet
}

/// Runs a rehearsal of a fleet and returns its result.
fn run_rehearsal(fleet: &Fleet, faults: &[Fault], captures: Option<Captures>) -> RehearsalReport {
    let demand = demand::draw(fleet, 3);
    let rehearsal = Rehearsal {
        fleet,
        demand: &demand,
        faults,
        seed: 3,
        daemon: PathBuf::from(env!("CARGO_BIN_EXE_sedgestack")),
        captures,
        progress: &|_| {},
    };
    rehearse(&rehearsal).expect("the rehearsal starts")
}

#[test]
fn each_client_request_ends_once_and_captures_match_the_counters() {
    let fleet = sample(4);
    let directory =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("captures-{}", std::process::id()));
    let zone_loss = Fault::ZoneLost { at: SECOND, span: SECOND, zone: 0, limiters: false, silent: false };
    let result =
        run_rehearsal(&fleet, &[zone_loss], Some(Captures { folder: directory.clone(), only: Vec::new() }));
    let client_requests = result.first_tries + result.retries;
    assert_eq!(client_requests, result.served + result.rejected + result.failed + result.timed_out);
    assert!(result.served > 0, "{result:?}");
    let admitted: u64 = result.daemons.iter().map(|d| d.taken).sum();
    assert!(admitted <= client_requests && admitted > 0);

    let capture = |n: u32| read_file(&directory.join(format!("n{n}.sedgecap"))).expect("a capture");
    let captures: Vec<_> = (0..3).map(capture).collect();
    assert_eq!(captures.len(), result.daemons.len());
    for (capture, daemon) in captures.iter().zip(&result.daemons) {
        assert_eq!(capture.damage, None);
        assert_eq!(capture.records.len() as u64 + capture.dropped, daemon.taken, "{}", daemon.name);
    }
    let merged = merge(captures).expect("captures of one tier");
    let served = merged.records.iter().filter(|r| r.outcome == Outcome::Served).count() as u64;
    // If a client gives up while its answer is on the way, only the limiter counts the request as served.
    assert!((result.served..=result.served + result.timed_out).contains(&served), "{served} {result:?}");
    let customers: std::collections::BTreeSet<u64> = merged.records.iter().map(|r| r.customer).collect();
    let customer_ids: Vec<u64> = demand::draw(&fleet, 3).arrivals.iter().map(|a| a.customer).collect();
    assert!(customers.iter().all(|c| !customer_ids.contains(c)), "a capture must not contain customer ids");
    let _ = std::fs::remove_dir_all(&directory);
}

#[test]
fn unsupported_faults_and_a_missing_daemon_are_reported() {
    let fleet = sample(1);
    let demand = demand::draw(&fleet, 1);
    let silent = [Fault::ZoneLost { at: 0, span: SECOND, zone: 0, limiters: false, silent: true }];
    let failure = |faults: &[Fault]| {
        let daemon = PathBuf::from("/nowhere/sedgestack");
        let rehearsal = Rehearsal {
            fleet: &fleet,
            demand: &demand,
            faults,
            seed: 1,
            daemon,
            captures: None,
            progress: &|_| {},
        };
        rehearse(&rehearsal).expect_err("the rehearsal must fail")
    };
    assert!(matches!(failure(&silent), Failure::UnsupportedFault(_)));
    let message = failure(&[]).to_string();
    assert!(message.starts_with("/nowhere/sedgestack: "), "{message}");
}
