//! Rehearsals: real daemons between stand-ins, on loopback, under a load whose results are scored.
//!
//! The stand-ins for backends and for the quota counter step the model's state machines in real time, the stand-in for
//! discovery speaks the platform's protocol, and the load player sends the same demand that the model plays. What is
//! drawn comes from the seed; what real sockets and timers add is the point of a rehearsal. The player measures its own
//! lateness: a machine too busy to play the load makes a rehearsal void, never failed.
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

/// A player whose sends are later than this in one case of a hundred could not play the load.
const VOID_LATENESS_MS: f64 = 50.0;
/// The load begins so long after all daemons are ready.
const LEAD: Duration = Duration::from_millis(500);

/// What is rehearsed.
pub struct Rehearsal<'a> {
    /// The deployment: its limiters, backends, classes and plans.
    pub fleet: &'a Fleet,
    /// The requests that the load player sends, each with its time.
    pub demand: &'a Demand,
    /// What goes wrong, with times counted from the beginning of the load.
    pub faults: &'a [Fault],
    /// Determines everything random in the stand-ins and the load player.
    pub seed: u64,
    /// The daemon's binary.
    pub daemon: PathBuf,
    /// Which daemons record a capture, and where; `None` for no captures.
    pub captures: Option<Captures>,
    /// Called about once a second with the part of the load that has been sent, 0 to 1.
    pub progress: &'a (dyn Fn(f64) + Sync),
}

/// Captures that daemons are to leave.
#[derive(Clone, Debug)]
pub struct Captures {
    /// The folder; each daemon's is named by its number, as `n0.sedgecap`.
    pub folder: PathBuf,
    /// The daemons that capture, by number; all of them where this is empty.
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
    /// Identifies the daemon in reports.
    pub name: String,
    /// CPU time used after it had become ready, seconds.
    pub cpu_s: f64,
    /// Peak resident memory, MB.
    pub peak_mb: f64,
    /// Requests it accepted, by its own counters.
    pub taken: u64,
    /// Microseconds of CPU for each of them.
    pub cpu_us_per_request: f64,
}

/// How a rehearsal went.
#[derive(Clone, Debug)]
pub struct RehearsalReport {
    /// What the answers were worth, scored as in the model.
    pub score: Score,
    /// The resources that each daemon used.
    pub daemons: Vec<DaemonUse>,
    /// How late the player sent, milliseconds: 99 of 100 sends were no later.
    pub lateness_ms: f64,
    /// Requests in the demand, each counted once however often it was tried.
    pub first_tries: u64,
    /// Second tries by clients whose first try was not served.
    pub retries: u64,
    /// Tries that ended with the complete expected response.
    pub served: u64,
    /// Tries that ended with a 429 or 503.
    pub rejected: u64,
    /// Tries that ended with a connection error or any other response.
    pub failed: u64,
    /// Tries that the client abandoned at its timeout.
    pub timed_out: u64,
    /// Backends that crashed under load while they were warming up.
    pub warmup_crashes: u64,
}

impl RehearsalReport {
    /// Whether the machine was too busy for the figures to mean anything.
    pub fn is_void(&self) -> bool {
        self.lateness_ms > VOID_LATENESS_MS
    }
}

/// Why a rehearsal could not be held.
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
    /// A daemon was ended by SIGKILL during startup, as by a scheduled kill.
    #[error("{name} was killed before it was ready")]
    Killed {
        /// The daemon that was killed.
        name: String,
    },
    /// A daemon that was to record a capture ended without one.
    #[error("{name} left no capture; its log: {log}")]
    NoCapture {
        /// The daemon whose capture is missing.
        name: String,
        /// Lines from its log, joined by ` | `.
        log: String,
    },
    /// A daemon still runs but did not become ready in time.
    #[error("{name} was not ready within {seconds} s; its log: {log}")]
    NotReady {
        /// The daemon that was waited for.
        name: String,
        /// How long it was waited for, seconds.
        seconds: u64,
        /// Lines from its log, joined by ` | `.
        log: String,
    },
    /// A fault, described by the text, that only the model can play.
    #[error(
        "{0} can't be rehearsed on loopback yet: a limiter's or a silent machine's loss needs the model"
    )]
    UnsupportedFault(&'static str),
}

fn io(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> Failure {
    let what = what.into();
    move |why| Failure::Io { what, why }
}

/// Holds a rehearsal, on a runtime of its own.
///
/// # Errors
/// Where a socket, file or daemon can't be had, or a fault can't be played here.
pub fn rehearse(rehearsal: &Rehearsal<'_>) -> Result<RehearsalReport, Failure> {
    for fault in rehearsal.faults {
        match fault {
            Fault::ZoneLost { silent: true, .. } => return Err(Failure::UnsupportedFault("a silent room")),
            Fault::ZoneLost { limiters: true, .. } => {
                return Err(Failure::UnsupportedFault("a room with limiters"))
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
