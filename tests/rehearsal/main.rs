//! A rehearsal in small: real daemons between the kit's stand-ins, with a fault, and the captures they leave.
//!
//! Nothing here rests on how fast the machine is: what is checked holds for any timing.

mod soak;

use std::path::PathBuf;

use sedgestack_capture::{merge, read_file, Outcome};
use sedgestack_fleet::Fleet;
use sedgestack_model::{demand, Fault};
use sedgestack_rehearse::{rehearse, Captures, Failure, Rehearsal, RehearsalReport};

const SECOND: u64 = 1_000_000;

fn sample(seconds: u64) -> Fleet {
    let text = include_str!("../../deploy/fleet-sample.hcl");
    let mut fleet = Fleet::parse("fleet-sample.hcl", text).expect("the sample has no fault");
    fleet.load.length = seconds * SECOND;
    // Changes of the roster reach limiters within the run.
    (fleet.discovery.notice, fleet.discovery.add) = ((100_000, 200_000), (100_000, 200_000));
    fleet
}

fn play(fleet: &Fleet, faults: &[Fault], captures: Option<Captures>) -> RehearsalReport {
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
    rehearse(&rehearsal).expect("loopback and the daemon are there")
}

#[test]
fn every_try_ends_once_and_the_captures_agree_with_the_daemons() {
    let fleet = sample(4);
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("captures-{}", std::process::id()));
    let room = Fault::ZoneLost { at: SECOND, span: SECOND, zone: 0, limiters: false, silent: false };
    let held = play(&fleet, &[room], Some(Captures { folder: folder.clone(), only: Vec::new() }));
    let tries = held.first_tries + held.retries;
    assert_eq!(tries, held.served + held.rejected + held.failed + held.timed_out);
    assert!(held.served > 0, "{held:?}");
    let taken: u64 = held.daemons.iter().map(|d| d.taken).sum();
    assert!(taken <= tries && taken > 0);

    let capture = |n: u32| read_file(&folder.join(format!("n{n}.sedgecap"))).expect("a capture");
    let captures: Vec<_> = (0..3).map(capture).collect();
    assert_eq!(captures.len(), held.daemons.len());
    for (capture, daemon) in captures.iter().zip(&held.daemons) {
        assert_eq!(capture.damage, None);
        assert_eq!(capture.records.len() as u64 + capture.dropped, daemon.taken, "{}", daemon.name);
    }
    let merged = merge(captures).expect("one tier");
    let served = merged.records.iter().filter(|r| r.outcome == Outcome::Served).count() as u64;
    // A client that gives up as its answer is under way is served to its limiter alone.
    assert!((held.served..=held.served + held.timed_out).contains(&served), "{served} {held:?}");
    let customers: std::collections::BTreeSet<u64> = merged.records.iter().map(|r| r.customer).collect();
    let asked: Vec<u64> = demand::draw(&fleet, 3).arrivals.iter().map(|a| a.customer).collect();
    assert!(customers.iter().all(|c| !asked.contains(c)), "a capture tells no customer's id");
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn what_loopback_cannot_play_is_said_before_anything_starts() {
    let fleet = sample(1);
    let demand = demand::draw(&fleet, 1);
    let silent = [Fault::ZoneLost { at: 0, span: SECOND, zone: 0, limiters: false, silent: true }];
    let missing = |faults: &[Fault]| {
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
        rehearse(&rehearsal).expect_err("it can't be held")
    };
    assert!(matches!(missing(&silent), Failure::UnsupportedFault(_)));
    let told = missing(&[]).to_string();
    assert!(told.starts_with("/nowhere/sedgestack: "), "{told}");
}
