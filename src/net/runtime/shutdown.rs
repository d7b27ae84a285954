//! Signals: SIGTERM and SIGINT shut down gracefully, SIGHUP reloads the addresses, SIGUSR1 prints the counters.

use std::io;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

use crate::info;
use crate::net::config;
use crate::net::config::addresses::Addresses;
use crate::net::runtime::log;
use crate::net::runtime::metrics::COUNTERS;

/// How long connections are still accepted after SIGTERM. Clients take up to 400 ms to open one, and it may be on its
/// way.
const ACCEPT_GRACE: Duration = Duration::from_millis(450);
/// Deadline from which the platform may count the time to the kill, in place of the longest deadline: its
/// documentation allows both readings. The process relies on the shorter one when a late request must be answered,
/// and stays up for the longer one.
const ALTERNATIVE_DEADLINE: Duration = Duration::from_secs(3);
/// Minimum time from the deadline to the kill by the platform. The process exits when this time has passed.
const KILL_DELAY: Duration = Duration::from_millis(600);
/// Time between the last response and the exit of the process.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);
/// Requests that arrive later than this in a shutdown must be answered before the earliest possible kill, or they are
/// lost. The platform's limit for this is 0.7 s.
const LATE_AFTER: Duration = Duration::from_millis(600);

/// The time by which accepted requests must be answered, set once the process is told to stop.
#[derive(Clone, Debug, Default)]
pub struct ShutdownDeadline(Arc<OnceLock<ShutdownTimes>>);

/// Points in time of a shutdown.
#[derive(Debug)]
struct ShutdownTimes {
    /// Requests that arrive from here on count as late.
    late_from: Instant,
    /// Time by which late requests must be answered: the process may be killed right after.
    answer_late_by: Instant,
    /// Time by which all other requests must be answered.
    answer_by: Instant,
    exit_at: Instant,
}

impl ShutdownTimes {
    fn new(stopped_at: Instant, longest_deadline: Duration) -> ShutdownTimes {
        let exit_at = stopped_at + longest_deadline.max(ALTERNATIVE_DEADLINE) + KILL_DELAY;
        let earliest_kill = stopped_at + longest_deadline.min(ALTERNATIVE_DEADLINE) + KILL_DELAY;
        ShutdownTimes {
            late_from: stopped_at + LATE_AFTER,
            answer_late_by: earliest_kill - ANSWER_MARGIN,
            answer_by: exit_at - ANSWER_MARGIN,
            exit_at,
        }
    }
}

impl ShutdownDeadline {
    /// Returns the earlier of `deadline` and the time by which a request that is accepted now must be answered.
    pub fn cap(&self, deadline: Instant) -> Instant {
        let Some(times) = self.0.get() else { return deadline };
        let is_late = Instant::now() >= times.late_from;
        deadline.min(if is_late { times.answer_late_by } else { times.answer_by })
    }

    /// Returns the earlier of `deadline` and the time by which requests that were accepted before must be answered.
    pub fn cap_open(&self, deadline: Instant) -> Instant {
        self.0.get().map_or(deadline, |times| deadline.min(times.answer_by))
    }
}

/// Phase of the process on its way to the exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Ready for new clients.
    Serving,
    /// Drained by an operator: not ready, and each client's connection closes after its next response. The process
    /// keeps running.
    Quiesced,
    /// Told to stop: still accepts connections and answers all requests.
    Stopping,
    /// Accepts no more connections.
    Closing,
}

/// The signals that the process handles.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    print: Signal,
    reload: Signal,
}

impl Signals {
    /// Installs the signal handlers. This must happen before the listener is bound: a SIGTERM right after that must
    /// not kill the process without a graceful shutdown.
    pub fn install() -> io::Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            print: signal(SignalKind::user_defined1())?,
            reload: signal(SignalKind::hangup())?,
        })
    }

    /// Handles signals. Returns when the process must exit, even if requests are still open.
    pub async fn handle(
        mut self,
        phase: watch::Sender<Phase>,
        addresses: watch::Sender<Addresses>,
        longest_deadline: Duration,
        shutdown_deadline: ShutdownDeadline,
    ) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => break,
                _ = self.interrupt.recv() => break,
                _ = self.print.recv() => log::print_counters(),
                _ = self.reload.recv() => reload(&addresses),
            }
        }
        let stopped_at = Instant::now();
        let times = shutdown_deadline.0.get_or_init(|| ShutdownTimes::new(stopped_at, longest_deadline));
        phase.send_replace(Phase::Stopping);
        sleep_until(stopped_at + ACCEPT_GRACE).await;
        phase.send_replace(Phase::Closing);
        sleep_until(times.exit_at).await;
    }
}

/// Reads the configuration again and publishes the addresses of discovery and the quota counter. If the file is
/// invalid or missing, the current addresses stay.
fn reload(addresses: &watch::Sender<Addresses>) {
    let current = *addresses.borrow();
    match config::read_addresses(current) {
        Ok(read) => {
            COUNTERS.reloads.increment();
            info!("reload: discovery {}, counter {:?}", read.discovery, read.counter);
            addresses.send_replace(read);
        }
        Err(e) => {
            COUNTERS.reloads_refused.increment();
            info!("reload refused, the current addresses stay: {e}");
        }
    }
}
