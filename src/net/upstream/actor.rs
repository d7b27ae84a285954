//! The actor of one backend, and the handle that controls it.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, OnceLock};

use axum::http::HeaderValue;
use futures_util::future::{abortable, AbortHandle, Aborted};
use futures_util::stream::{FuturesUnordered, StreamExt};
use sedgestack::{BackendId, Outcome, RequestId};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::attempt::{Attempt, AttemptRun};
use super::dialer::Dialer;
use super::health_check::{check_health, HealthCheckResult};
use super::pool::Pool;
use super::request::host_header;
use super::UpstreamShared;
use crate::net::control::message::{AttemptOutcome, Message};
use crate::net::runtime::metrics::COUNTERS;

/// Number of commands that the mailbox of a backend's actor holds.
const MAILBOX_CAPACITY: usize = 1024;

/// A command to a backend's actor.
pub enum BackendCommand {
    /// Start an attempt.
    Attempt(Attempt),
    /// Cancel an attempt.
    Cancel { request: RequestId, attempt: u32 },
    /// Check the backend's health.
    Probe { started_at: Instant, deadline: Instant },
}

/// A handle to a backend's actor, which starts with its first command: a limiter uses few of the backends of a large
/// fleet. Once all handles are dropped, the actor finishes its attempts and health checks and stops.
#[derive(Clone)]
pub struct BackendHandle {
    pub id: BackendId,
    pub addr: SocketAddr,
    closed: Arc<AtomicBool>,
    mailbox: Arc<LazyMailbox>,
}

/// The mailbox of a backend's actor.
struct LazyMailbox {
    shared: Arc<UpstreamShared>,
    /// Set when the actor starts.
    commands: OnceLock<mpsc::Sender<BackendCommand>>,
}

impl BackendHandle {
    /// Creates the handle of a backend whose actor has not started.
    pub fn new(backend: BackendId, addr: SocketAddr, shared: Arc<UpstreamShared>) -> BackendHandle {
        let closed = Arc::new(AtomicBool::new(false));
        let mailbox = Arc::new(LazyMailbox { shared, commands: OnceLock::new() });
        BackendHandle { id: backend, addr, closed, mailbox }
    }

    fn start_actor(&self) -> mpsc::Sender<BackendCommand> {
        let (commands, mailbox) = mpsc::channel(MAILBOX_CAPACITY);
        let (backend_closed, shared) = (self.closed.clone(), self.mailbox.shared.clone());
        let dialer = Dialer { addr: self.addr, backend_closed, shared };
        tokio::spawn(BackendActor::new(self.id.clone(), dialer).run(mailbox));
        commands
    }

    /// Prevents the backend from receiving any further request; partly written requests continue.
    pub fn close(&self) {
        self.closed.store(true, Relaxed);
    }

    /// Puts a command into the actor's mailbox without waiting, and starts the actor if it has not started. Returns false if the mailbox is full.
    pub fn send(&self, command: BackendCommand) -> bool {
        let commands = self.mailbox.commands.get_or_init(|| self.start_actor());
        commands.try_send(command).is_ok()
    }
}

/// Identifies an attempt within one backend's actor.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct AttemptKey {
    request: RequestId,
    number: u32,
}

/// An attempt that has ended or was cancelled.
struct EndedAttempt {
    key: AttemptKey,
    started_at: Instant,
    result: Result<AttemptOutcome, Aborted>,
}

impl EndedAttempt {
    fn into_outcome(self) -> AttemptOutcome {
        let AttemptKey { request, number } = self.key;
        self.result.unwrap_or_else(|Aborted| {
            AttemptOutcome::without_response(request, number, Outcome::Canceled, self.started_at.elapsed())
        })
    }
}

/// A health check that has ended.
struct EndedHealthCheck {
    started_at: Instant,
    result: HealthCheckResult,
}

type BoxedFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// The actor of one backend. It owns the backend's connection pool, the running attempts with their cancel handles, and
/// the running health checks.
pub(super) struct BackendActor {
    backend: BackendId,
    pool: Pool,
    host: HeaderValue,
    closed: Arc<AtomicBool>,
    shared: Arc<UpstreamShared>,
    attempts: FuturesUnordered<BoxedFuture<EndedAttempt>>,
    cancel_handles: HashMap<AttemptKey, AbortHandle>,
    health_checks: FuturesUnordered<BoxedFuture<EndedHealthCheck>>,
}

impl BackendActor {
    pub(super) fn new(backend: BackendId, dialer: Dialer) -> BackendActor {
        BackendActor {
            backend,
            host: host_header(dialer.addr),
            closed: dialer.backend_closed.clone(),
            shared: dialer.shared.clone(),
            pool: Pool::new(dialer),
            attempts: FuturesUnordered::new(),
            cancel_handles: HashMap::new(),
            health_checks: FuturesUnordered::new(),
        }
    }

    async fn run(mut self, mut mailbox: mpsc::Receiver<BackendCommand>) {
        let mut is_open = true;
        while is_open || !self.attempts.is_empty() || !self.health_checks.is_empty() {
            tokio::select! {
                command = mailbox.recv(), if is_open => match command {
                    Some(command) => self.handle_command(command),
                    None => is_open = false,
                },
                Some(ended) = self.attempts.next(), if !self.attempts.is_empty() => {
                    self.on_attempt_ended(ended).await;
                }
                Some(ended) = self.health_checks.next(), if !self.health_checks.is_empty() => {
                    self.on_health_check_ended(ended).await;
                }
            }
        }
    }

    fn handle_command(&mut self, command: BackendCommand) {
        match command {
            BackendCommand::Attempt(attempt) => self.start_attempt(attempt),
            BackendCommand::Cancel { request, attempt } => {
                if let Some(handle) = self.cancel_handles.get(&AttemptKey { request, number: attempt }) {
                    handle.abort();
                }
            }
            BackendCommand::Probe { started_at, deadline } => self.start_health_check(started_at, deadline),
        }
    }

    fn start_attempt(&mut self, attempt: Attempt) {
        COUNTERS.attempts.increment();
        let key = AttemptKey { request: attempt.request, number: attempt.number };
        let started_at = attempt.started_at;
        let (run, cancel_handle) = abortable(self.prepare_attempt(attempt).run());
        self.cancel_handles.insert(key, cancel_handle);
        self.attempts.push(Box::pin(async move { EndedAttempt { key, started_at, result: run.await } }));
    }

    /// Prepares an attempt at this backend without starting it.
    pub(super) fn prepare_attempt(&self, attempt: Attempt) -> AttemptRun {
        AttemptRun {
            attempt,
            pool: self.pool.clone(),
            host: self.host.clone(),
            backend_closed: self.closed.clone(),
            shared: self.shared.clone(),
        }
    }

    fn start_health_check(&mut self, started_at: Instant, deadline: Instant) {
        COUNTERS.probes.increment();
        let (pool, host, shared) = (self.pool.clone(), self.host.clone(), self.shared.clone());
        self.health_checks.push(Box::pin(async move {
            let result = check_health(&pool, &host, &shared.names, deadline).await;
            EndedHealthCheck { started_at, result }
        }));
    }

    async fn on_attempt_ended(&mut self, ended: EndedAttempt) {
        self.cancel_handles.remove(&ended.key);
        let outcome = ended.into_outcome();
        count_attempt(outcome.outcome);
        // The control actor never waits for a backend's actor, so this wait cannot deadlock.
        let _ = self.shared.control.send(Message::AttemptEnded(outcome)).await;
    }

    async fn on_health_check_ended(&mut self, ended: EndedHealthCheck) {
        let HealthCheckResult { outcome, report } = ended.result;
        let (backend, latency) = (self.backend.clone(), ended.started_at.elapsed());
        let checked = Message::HealthChecked { backend, outcome, latency, report };
        let _ = self.shared.control.send(checked).await;
    }
}

fn count_attempt(outcome: Outcome) {
    match outcome {
        Outcome::Ok => &COUNTERS.attempts_ok,
        Outcome::Error => &COUNTERS.attempts_error,
        Outcome::Rejected => &COUNTERS.attempts_rejected,
        Outcome::TimedOut => &COUNTERS.attempts_timed_out,
        Outcome::ConnectFailed => &COUNTERS.attempts_connect_failed,
        Outcome::Reset => &COUNTERS.attempts_reset,
        Outcome::Canceled => &COUNTERS.attempts_canceled,
        Outcome::NotSent => &COUNTERS.attempts_not_sent,
    }
    .increment();
}
