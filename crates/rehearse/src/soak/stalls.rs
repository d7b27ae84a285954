//! Holds limiters up, as a machine does that gives them no processor time for a while.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::Rng;
use rustix::process::{kill_process, Pid, Signal};
use tokio::sync::watch;
use tokio::time::sleep;

use super::client::Phase;

/// Pause between two stalls, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 100..600;
/// Duration of a stall, in milliseconds. The platform allows 150.
const STALL_MS: std::ops::Range<u64> = 50..150;

/// Stops one of the processes for a moment, again and again, until the clients open no more connections.
pub async fn stall_processes(processes: Vec<Pid>, mut rng: StdRng, phase: watch::Receiver<Phase>) {
    while *phase.borrow() == Phase::Load {
        sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
        let process = processes[rng.random_range(0..processes.len())];
        let duration = Duration::from_millis(rng.random_range(STALL_MS));
        let _ = kill_process(process, Signal::STOP);
        sleep(duration).await;
        let _ = kill_process(process, Signal::CONT);
    }
}
