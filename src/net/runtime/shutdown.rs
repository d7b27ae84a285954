//! Signals: SIGTERM or SIGINT shuts down gracefully, SIGHUP reads the addresses again, SIGUSR1 prints the counters.

use std::io;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

use crate::net::config;
use crate::net::config::addresses::Addresses;
use crate::net::runtime::log;
use crate::net::runtime::metrics::COUNTERS;
use crate::say;

/// How long connections are accepted after SIGTERM: clients open them for up to 400 ms, and one may be on its way.
const ACCEPT_GRACE: Duration = Duration::from_millis(450);
/// The process goes on for this long at least, and takes a longest deadline that is longer for this as it reckons when it
/// may be killed: the platform's page can be read in both ways.
const COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// The platform kills the process no sooner than this after the longest deadline; the process exits in this time.
const KILL_DELAY: Duration = Duration::from_millis(600);
/// All answers are given by this long before the process exits.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);
/// What arrives later than this in a shutdown is lost if the kill finds it unanswered. The platform allows 0.7 s.
const LATE_AFTER: Duration = Duration::from_millis(600);

/// When requests that are accepted must be answered, set once the process is told to stop.
#[derive(Clone, Default)]
pub struct ShutdownDeadline(Arc<OnceLock<ShutdownTimes>>);

/// The times of a shutdown.
struct ShutdownTimes {
    late_from: Instant,
    /// By then all requests must be answered that arrived from `late_from` on: the process may be killed right after.
    answer_late_by: Instant,
    /// By then all requests must be answered.
    answer_by: Instant,
    exit_at: Instant,
}

impl ShutdownTimes {
    fn new(stopped_at: Instant, longest_deadline: Duration) -> ShutdownTimes {
        let exit_at = stopped_at + longest_deadline.max(COUNTED_DEADLINE) + KILL_DELAY;
        let earliest_kill = stopped_at + longest_deadline.min(COUNTED_DEADLINE) + KILL_DELAY;
        ShutdownTimes {
            late_from: stopped_at + LATE_AFTER,
            answer_late_by: earliest_kill - ANSWER_MARGIN,
            answer_by: exit_at - ANSWER_MARGIN,
            exit_at,
        }
    }
}

impl ShutdownDeadline {
    /// The earlier one of `deadline` and when a request that is accepted now must be answered.
    pub fn cap(&self, deadline: Instant) -> Instant {
        let Some(times) = self.0.get() else { return deadline };
        let is_late = Instant::now() >= times.late_from;
        deadline.min(if is_late { times.answer_late_by } else { times.answer_by })
    }
}

/// How far the process is on its way to its exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Ready for new clients.
    Serving,
    /// Drained by an operator: not ready, and each client's connection closes after its answer; the process goes on.
    Quiesced,
    /// Told to stop: answers all requests, and still accepts connections.
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
    /// Installs the handlers. Guards a start: a SIGTERM that comes as soon as the listener is bound must not kill the
    /// process outright.
    pub fn install() -> io::Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            print: signal(SignalKind::user_defined1())?,
            reload: signal(SignalKind::hangup())?,
        })
    }

    /// Handles signals. Returns when the process must exit, even if requests are still open.
    pub async fn follow(
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

/// Reads the configuration again and publishes the addresses of discovery and the counter. Guards a reload of a file
/// that is faulty or missing: the current addresses stay.
fn reload(addresses: &watch::Sender<Addresses>) {
    let current = *addresses.borrow();
    match config::read_addresses(current) {
        Ok(read) => {
            COUNTERS.reloads.increment();
            say!("reload: discovery {}, counter {:?}", read.discovery, read.counter);
            addresses.send_replace(read);
        }
        Err(e) => {
            COUNTERS.reloads_refused.increment();
            say!("reload refused, nothing changes: {e}");
        }
    }
}
