//! Rehearsals: run real daemons against stand-ins on loopback, under a load whose results are scored.
//!
//! The stand-ins for the backends and the quota counter step the model's state machines in real time. The stand-in for
//! discovery implements the platform's protocol, and the load player sends the same demand that the model simulates.
//! The seed determines everything random except the timing of real sockets and timers, which is what a rehearsal adds
//! to the model. The load player measures how late it sends: on a machine that is too busy to send the load on time,
//! the rehearsal is void rather than failed.
#![forbid(unsafe_code)]

mod backends;
mod counter;
mod daemons;
mod discovery;
mod fault_player;
mod load_player;
mod request_log;
pub mod scenarios;
pub mod soak;
mod sync;
pub mod tier;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;

use sedgestack_fleet::Fleet;
use sedgestack_model::demand::Demand;
use sedgestack_model::score::Score;
use sedgestack_model::Fault;

use backends::Backends;
use discovery::Discovery;
use fault_player::FaultPlayer;
use request_log::RequestLog;

/// 99th percentile of the load player's lateness, in milliseconds, above which a rehearsal is void.
const VOID_LATENESS_MS: f64 = 50.0;
/// Time between all daemons being ready and the start of the load.
const START_DELAY: Duration = Duration::from_millis(500);

/// The input of a rehearsal.
pub struct Rehearsal<'a> {
    /// The deployment: its limiters, backends, classes and plans.
    pub fleet: &'a Fleet,
    /// The requests that the load player sends, and when.
    pub demand: &'a Demand,
    /// Faults to inject, with times relative to the start of the load.
    pub faults: &'a [Fault],
    /// Seed of the random numbers of the stand-ins and the load player.
    pub seed: u64,
    /// Path of the daemon's binary.
    pub daemon: PathBuf,
    /// Which daemons record a capture, and where; `None` if none do.
    pub captures: Option<Captures>,
    /// Called about once a second with the fraction of the load sent so far, from 0 to 1.
    pub progress: &'a (dyn Fn(f64) + Sync),
}

/// Captures that the daemons record.
#[derive(Clone, Debug)]
pub struct Captures {
    /// Directory of the captures. Files are named after the daemon's number: `n0.sedgecap`.
    pub folder: PathBuf,
    /// Numbers of the daemons that record a capture; if empty, all do.
    pub only: Vec<u32>,
}

impl Captures {
    /// Path of a daemon's capture, or `None` if the daemon records none.
    fn path_for(&self, number: u32) -> Option<PathBuf> {
        let is_captured = self.only.is_empty() || self.only.contains(&number);
        is_captured.then(|| self.folder.join(format!("n{number}.sedgecap")))
    }
}

/// Resources used by a daemon.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DaemonUsage {
    /// The daemon's name.
    pub name: String,
    /// CPU time used since the daemon became ready, in seconds.
    pub cpu_s: f64,
    /// Peak resident memory, in MB.
    pub peak_mb: f64,
    /// Number of requests accepted, as counted by the daemon.
    pub taken: u64,
    /// CPU time per accepted request, in microseconds.
    pub cpu_us_per_request: f64,
}

/// The results of a rehearsal.
#[derive(Clone, Debug)]
pub struct RehearsalReport {
    /// The score of the responses, computed as in the model.
    pub score: Score,
    /// Resources used by each daemon.
    pub daemons: Vec<DaemonUsage>,
    /// 99th percentile of how late the load player sent requests, in milliseconds.
    pub lateness_ms: f64,
    /// Number of requests in the demand, not counting retries.
    pub first_tries: u64,
    /// Number of client retries.
    pub retries: u64,
    /// Number of tries, retries included, that received the complete expected response.
    pub served: u64,
    /// Number of tries that ended with a 429 or 503.
    pub rejected: u64,
    /// Number of tries that ended with a connection error or any other response.
    pub failed: u64,
    /// Number of tries that the client gave up at its timeout.
    pub timed_out: u64,
    /// Number of backend crashes caused by too much load during warm-up.
    pub warmup_crashes: u64,
}

impl RehearsalReport {
    /// Whether the machine was too busy to send the load on time, so that the results are meaningless.
    pub fn is_void(&self) -> bool {
        self.lateness_ms > VOID_LATENESS_MS
    }
}

/// Errors that prevent a rehearsal or abort it.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// An operation on a socket, file or process failed.
    #[error("{what}: {why}")]
    Io {
        /// The resource or operation that failed.
        what: String,
        /// The error from the operating system.
        why: std::io::Error,
    },
    /// A daemon exited before it was ready.
    #[error("{name} exited before it was ready; log: {log}")]
    DaemonEnded {
        /// The daemon that exited.
        name: String,
        /// Lines of the daemon's log, joined by ` | `.
        log: String,
    },
    /// A daemon was killed by SIGKILL before it was ready, for example by a scheduled kill.
    #[error("{name} was killed before it was ready")]
    Killed {
        /// The daemon that was killed.
        name: String,
    },
    /// A daemon that should have recorded a capture exited without one.
    #[error("{name} wrote no capture; log: {log}")]
    NoCapture {
        /// The daemon whose capture is missing.
        name: String,
        /// Lines of the daemon's log, joined by ` | `.
        log: String,
    },
    /// A daemon is running but did not become ready in time.
    #[error("{name} was not ready within {seconds} s; log: {log}")]
    NotReady {
        /// The daemon that is not ready.
        name: String,
        /// How long the rehearsal waited, in seconds.
        seconds: u64,
        /// Lines of the daemon's log, joined by ` | `.
        log: String,
    },
    /// A fault, named by the text, that only the model supports.
    #[error("{0} can't be rehearsed on loopback; use the model")]
    UnsupportedFault(&'static str),
}

/// Wraps an I/O error with the resource or operation that failed.
fn io(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> Failure {
    let what = what.into();
    move |why| Failure::Io { what, why }
}

/// Runs a rehearsal on its own Tokio runtime.
///
/// # Errors
/// If a socket or file operation fails, a daemon does not start or record its capture, or a fault is not supported.
pub fn rehearse(rehearsal: &Rehearsal<'_>) -> Result<RehearsalReport, Failure> {
    for fault in rehearsal.faults {
        match fault {
            Fault::ZoneLost { silent: true, .. } => return Err(Failure::UnsupportedFault("a silent zone")),
            Fault::ZoneLost { limiters: true, .. } => {
                return Err(Failure::UnsupportedFault("a zone loss with limiters"))
            }
            _ => {}
        }
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.map_err(io("runtime"))?.block_on(play(rehearsal))
}

async fn play(rehearsal: &Rehearsal<'_>) -> Result<RehearsalReport, Failure> {
    let (fleet, seed) = (rehearsal.fleet, rehearsal.seed);
    let request_log = Arc::new(RequestLog::new(fleet));
    let backends = Backends::start(fleet, seed, request_log.clone()).await?;
    let counter = counter::start(&fleet.counter).await?;
    let discovery = Discovery::start(fleet, seed, backends.endpoints()).await?;
    let daemons = daemons::Daemons::start(rehearsal, &backends, counter.address, &discovery).await?;
    let start = Instant::now() + START_DELAY;
    request_log.begin(start);
    let player = FaultPlayer {
        fleet: fleet.clone(),
        seed,
        backends: backends.clone(),
        counter: counter.clone(),
        discovery: discovery.clone(),
    };
    let faults = tokio::spawn(player.play(rehearsal.faults.to_vec(), start));
    let played = load_player::play(rehearsal, start, &daemons.addresses, request_log.clone()).await;
    faults.abort();
    let daemons = daemons.stop().await?;
    Ok(RehearsalReport {
        score: request_log.finish(),
        daemons,
        lateness_ms: played.lateness_ms,
        first_tries: rehearsal.demand.arrivals.len() as u64,
        retries: played.retries,
        served: played.served,
        rejected: played.rejected,
        failed: played.failed,
        timed_out: played.timed_out,
        warmup_crashes: backends.warmup_crashes(),
    })
}
