//! Rehearsals: real daemons run on loopback between stand-ins, under a load whose results are scored.
//!
//! The stand-ins for backends and for the quota counter run the model's state machines in real time. The stand-in for
//! discovery speaks the platform's protocol, and the load player sends the same demand that the model plays. All random
//! values come from the seed. A rehearsal differs from the model by the effects of real sockets and timers, which it
//! exists to show. The load player measures how late it sends: if the machine is too busy to play the load on time, the
//! rehearsal is void, not failed.
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

/// Maximum lateness of the load player in milliseconds, as the 99th percentile over all requests. Above it, the
/// rehearsal is void.
const VOID_LATENESS_MS: f64 = 50.0;
/// Time from when all daemons are ready until the load begins.
const LEAD: Duration = Duration::from_millis(500);

/// Parameters of a rehearsal.
pub struct Rehearsal<'a> {
    /// The deployment: its limiters, backends, classes and plans.
    pub fleet: &'a Fleet,
    /// The requests that the load player sends, with their times.
    pub demand: &'a Demand,
    /// The faults to play, with times from the beginning of the load.
    pub faults: &'a [Fault],
    /// Seed of all random values in the stand-ins and the load player.
    pub seed: u64,
    /// Path of the daemon's binary.
    pub daemon: PathBuf,
    /// Which daemons record a capture, and where; `None` for no captures.
    pub captures: Option<Captures>,
    /// Called about once a second with the fraction of the load that has been sent, from 0 to 1.
    pub progress: &'a (dyn Fn(f64) + Sync),
}

/// Captures that the daemons record.
#[derive(Clone, Debug)]
pub struct Captures {
    /// Directory of the captures. Each file is named by its daemon's number, for example `n0.sedgecap`.
    pub folder: PathBuf,
    /// Numbers of the daemons that record a capture; all daemons do if this is empty.
    pub only: Vec<u32>,
}

impl Captures {
    fn of(&self, number: u32) -> Option<PathBuf> {
        let wanted = self.only.is_empty() || self.only.contains(&number);
        wanted.then(|| self.folder.join(format!("n{number}.sedgecap")))
    }
}

/// Resources that a daemon used.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DaemonUse {
    /// Name of the daemon in reports.
    pub name: String,
    /// CPU time in seconds that the daemon used after it had become ready.
    pub cpu_s: f64,
    /// Peak resident memory in MB.
    pub peak_mb: f64,
    /// Number of requests that the daemon accepted, by its own counters.
    pub taken: u64,
    /// CPU time per accepted request, in microseconds.
    pub cpu_us_per_request: f64,
}

/// Result of a rehearsal.
#[derive(Clone, Debug)]
pub struct Rehearsed {
    /// Score of the answers, computed as in the model.
    pub score: Score,
    /// The resources that each daemon used.
    pub daemons: Vec<DaemonUse>,
    /// Lateness of the load player in milliseconds, as the 99th percentile over all requests.
    pub lateness_ms: f64,
    /// Number of requests in the demand. Retries are not counted.
    pub first_tries: u64,
    /// Number of retries by clients whose first try was not served.
    pub retries: u64,
    /// Number of tries that ended with the complete expected response.
    pub served: u64,
    /// Number of tries that ended with status 429 or 503.
    pub refused: u64,
    /// Number of tries that ended with a connection error or any other response.
    pub failed: u64,
    /// Number of tries that the client abandoned at its timeout.
    pub gave_up: u64,
    /// Number of times that a backend crashed under load while it was warming up.
    pub fallen: u64,
}

impl Rehearsed {
    /// Whether the machine was too busy to play the load on time, so that the figures are meaningless.
    pub fn is_void(&self) -> bool {
        self.lateness_ms > VOID_LATENESS_MS
    }
}

/// Reason why a rehearsal could not be run.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// An operation on a socket, file or process failed.
    #[error("{what}: {why}")]
    Io {
        /// The resource or operation concerned.
        what: String,
        /// The error from the operating system.
        why: std::io::Error,
    },
    /// A daemon exited during startup.
    #[error("{name} ended before it was ready; its log: {log}")]
    DaemonEnded {
        /// The daemon that exited.
        name: String,
        /// Lines from its log, joined by ` | `.
        log: String,
    },
    /// A daemon was ended by SIGKILL during startup, for example by a scheduled kill.
    #[error("{name} was killed before it was ready")]
    Killed {
        /// The daemon that was killed.
        name: String,
    },
    /// A daemon that had to record a capture ended without one.
    #[error("{name} left no capture; its log: {log}")]
    NoCapture {
        /// The daemon whose capture is missing.
        name: String,
        /// Lines from its log, joined by ` | `.
        log: String,
    },
    /// A daemon is still running but did not become ready in time.
    #[error("{name} was not ready within {seconds} s; its log: {log}")]
    NotReady {
        /// The daemon that did not become ready.
        name: String,
        /// How long the rehearsal waited for the daemon, in seconds.
        seconds: u64,
        /// Lines from its log, joined by ` | `.
        log: String,
    },
    /// The faults include one that only the model can play; the text describes it.
    #[error(
        "{0} can't be rehearsed on loopback yet: a limiter's or a silent machine's loss needs the model"
    )]
    Unplayable(&'static str),
}

fn io(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> Failure {
    let what = what.into();
    move |why| Failure::Io { what, why }
}

/// Runs a rehearsal on a Tokio runtime of its own.
///
/// # Errors
/// Returns an error if a socket, file or daemon fails, or if the faults include one that only the model can play.
pub fn hold(rehearsal: &Rehearsal<'_>) -> Result<Rehearsed, Failure> {
    for fault in rehearsal.faults {
        match fault {
            Fault::ZoneLost { silent: true, .. } => return Err(Failure::Unplayable("a silent room")),
            Fault::ZoneLost { limiters: true, .. } => {
                return Err(Failure::Unplayable("a room with limiters"))
            }
            _ => {}
        }
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.map_err(io("runtime"))?.block_on(play(rehearsal))
}

async fn play(rehearsal: &Rehearsal<'_>) -> Result<Rehearsed, Failure> {
    let (fleet, seed) = (rehearsal.fleet, rehearsal.seed);
    let request_log = Arc::new(RequestLog::new(fleet));
    let backends = Backends::start(fleet, seed, request_log.clone()).await?;
    let counter = counter::start(&fleet.counter).await?;
    let discovery = Discovery::start(fleet, seed, backends.endpoints()).await?;
    let daemons = daemons::Daemons::start(rehearsal, &backends, counter.address, &discovery).await?;
    let start = Instant::now() + LEAD;
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
    Ok(Rehearsed {
        score: request_log.finish(),
        daemons,
        lateness_ms: played.lateness_ms,
        first_tries: rehearsal.demand.arrivals.len() as u64,
        retries: played.retries,
        served: played.served,
        refused: played.refused,
        failed: played.failed,
        gave_up: played.gave_up,
        fallen: backends.fallen(),
    })
}
