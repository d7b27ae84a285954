//! One attempt, from finding a connection to the answer's last byte.

use std::future::Future;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;

use axum::http::HeaderValue;
use sedgestack::{Outcome, RequestId};
use tokio::time::{sleep_until, timeout_at, Instant};

use super::connection::Connection;
use super::exchange_progress::{ExchangeProgress, ExchangeState};
use super::pool::Pool;
use super::request::build_request;
use super::response::exchange;
use super::UpstreamShared;
use crate::net::control::message::{AttemptOutcome, ForwardedRequest};
use crate::net::runtime::metrics::COUNTERS;

/// One attempt at a request.
pub struct Attempt {
    pub request: RequestId,
    pub number: u32,
    pub forward: Arc<ForwardedRequest>,
    pub begun: Instant,
    pub deadline: Instant,
    /// What is not written whole by then must not be sent at all.
    pub written_by: Option<Instant>,
}

impl Attempt {
    /// Waits until the client leaves, or the time to be written is over: how the attempt ends then if it is not
    /// written.
    async fn withdrawn(&self) -> Outcome {
        let too_late = async {
            match self.written_by {
                Some(by) => sleep_until(by).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = self.forward.client_gone.cancelled() => Outcome::Canceled,
            () = too_late => Outcome::NotSent,
        }
    }
}

/// How the wait for a step of an attempt ended.
enum StepEnd<T> {
    Finished(T),
    DeadlinePassed,
    /// Withdrawn before the request was written whole.
    Withdrawn(Outcome),
}

/// What an attempt does after an exchange.
enum NextStep {
    EndWith(Outcome),
    /// The connection had ended while it stood idle, before a byte was written to it: another one is used.
    UseAnotherConnection,
}

/// An attempt as a backend's actor runs it. The deadline, and a cancel, drop the exchange and with it its connection,
/// which closes.
pub(super) struct AttemptRun {
    pub(super) attempt: Attempt,
    pub(super) pool: Pool,
    pub(super) host: HeaderValue,
    pub(super) backend_closed: Arc<AtomicBool>,
    pub(super) shared: Arc<UpstreamShared>,
}

impl AttemptRun {
    /// Runs the attempt to its end.
    pub(super) async fn run(self) -> AttemptOutcome {
        let mut ended = AttemptOutcome::without_answer(
            self.attempt.request,
            self.attempt.number,
            Outcome::NotSent,
            Duration::ZERO,
        );
        while self.may_begin() {
            match self.send_once(&mut ended).await {
                NextStep::UseAnotherConnection => COUNTERS.attempts_redialled.increment(),
                NextStep::EndWith(outcome) => {
                    ended.outcome = outcome;
                    break;
                }
            }
        }
        ended.latency = self.attempt.begun.elapsed();
        ended
    }

    /// Guards graceful shutdowns: an attempt may have waited in the mailbox while its backend began to drain, or its
    /// client went away.
    fn may_begin(&self) -> bool {
        !self.backend_closed.load(Relaxed) && !self.attempt.forward.client_gone.is_cancelled()
    }

    /// Sends the request on one connection.
    async fn send_once(&self, ended: &mut AttemptOutcome) -> NextStep {
        let connection = match self.until_withdrawn(self.pool.acquire(), || true).await {
            StepEnd::Finished(Ok(connection)) => connection,
            StepEnd::Finished(Err(_)) => return NextStep::EndWith(self.outcome_of_failed_dial()),
            StepEnd::DeadlinePassed => return NextStep::EndWith(Outcome::ConnectFailed),
            StepEnd::Withdrawn(outcome) => return NextStep::EndWith(outcome),
        };
        self.send_on(connection, ended).await
    }

    async fn send_on(&self, connection: Connection, ended: &mut AttemptOutcome) -> NextStep {
        let progress = connection.progress().clone();
        let request = build_request(&self.host, &self.attempt);
        let exchange = exchange(&self.pool, connection, request, &self.shared, ended);
        // Guards repeats: an attempt that is withdrawn counts as one that never ran, also where its answer hangs.
        let may_withdraw = || !progress.state().may_have_run();
        match self.until_withdrawn(exchange, may_withdraw).await {
            StepEnd::Finished(Outcome::ConnectFailed) => self.after_connect_failure(&progress),
            StepEnd::Finished(outcome) | StepEnd::Withdrawn(outcome) => NextStep::EndWith(outcome),
            StepEnd::DeadlinePassed => {
                // An answer that has begun was counted with its head.
                if progress.state() == ExchangeState::WrittenWhole {
                    self.shared.figures.record_attempt_written();
                }
                NextStep::EndWith(progress.outcome_at_deadline())
            }
        }
    }

    /// Awaits `step` until the deadline, or until the attempt is withdrawn while it may be. A step that has not ended by
    /// then is dropped, and with it its connection, on which nothing more is written.
    ///
    /// Guards against beginning, or going on to write, what nobody waits for or what must not be repeated any more: a
    /// dial may be late by seconds. What was written whole runs, and its end is awaited.
    async fn until_withdrawn<T>(
        &self,
        step: impl Future<Output = T>,
        may_withdraw: impl Fn() -> bool,
    ) -> StepEnd<T> {
        let step = timeout_at(self.attempt.deadline, step);
        tokio::pin!(step);
        let withdrawn = self.attempt.withdrawn();
        let finished = tokio::select! {
            biased;
            finished = &mut step => finished,
            outcome = withdrawn => match may_withdraw() {
                true => return StepEnd::Withdrawn(outcome),
                false => step.await,
            },
        };
        finished.map_or(StepEnd::DeadlinePassed, StepEnd::Finished)
    }

    fn outcome_of_failed_dial(&self) -> Outcome {
        // Guards against blaming a backend for want of descriptors here.
        if self.backend_closed.load(Relaxed) || self.shared.is_out_of_descriptors() {
            return Outcome::NotSent;
        }
        Outcome::ConnectFailed
    }

    fn after_connect_failure(&self, progress: &ExchangeProgress) -> NextStep {
        if self.backend_closed.load(Relaxed) {
            return NextStep::EndWith(Outcome::NotSent);
        }
        // Guards against blaming a backend for a connection that ended while it stood idle: nothing was written to it,
        // and there are others.
        if progress.is_unwritten_on_reused_connection() {
            return NextStep::UseAnotherConnection;
        }
        NextStep::EndWith(Outcome::ConnectFailed)
    }
}
