//! One attempt, from acquiring a connection to the last byte of the response.

use std::future::Future;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;

use axum::http::HeaderValue;
use sedgestack::{Outcome, RequestId};
use tokio::time::{sleep_until, Instant};

use super::connection::Connection;
use super::exchange_progress::{ExchangeProgress, ExchangeState};
use super::pool::Pool;
use super::request::build_request;
use super::response::exchange;
use super::{PassOnMargin, UpstreamShared};
use crate::exchange_info;
use crate::net::control::message::{AttemptOutcome, ForwardedRequest};
use crate::net::runtime::clock::sleep_until_some;
use crate::net::runtime::metrics::COUNTERS;

/// Largest share of an attempt's time, as a divisor, in which an answer under way is passed on for the deadline.
const PASS_ON_MARGIN_DIVISOR: u32 = 4;

/// An attempt to have a backend serve a request.
pub struct Attempt {
    pub request: RequestId,
    pub number: u32,
    pub forward: Arc<ForwardedRequest>,
    pub started_at: Instant,
    /// The client's deadline, at which the attempt is given up. The time for which the client keeps its body waiting does
    /// not count.
    pub deadline: Instant,
    /// When the attempt is given up unless an answer has begun and makes progress.
    pub timeout: Option<Instant>,
    /// If the request is not fully written by this time, the attempt is given up: the request must not reach the
    /// backend any later.
    pub write_deadline: Option<Instant>,
}

impl Attempt {
    /// The time limit that the backend is told.
    pub(super) fn told_deadline(&self) -> Instant {
        self.timeout.map_or(self.deadline, |timeout| timeout.min(self.deadline))
    }

    /// Returns how long before the client's deadline an answer under way is passed on: `margin` before the decisions give
    /// the request up, or a share of the attempt's time until then where that is short.
    pub(super) fn pass_on_margin(&self, margin: PassOnMargin) -> Duration {
        let gives_up_at = self.deadline - margin.before_deadline;
        let time = gives_up_at.saturating_duration_since(self.started_at);
        margin.before_deadline + margin.before_giving_up.min(time / PASS_ON_MARGIN_DIVISOR)
    }

    /// Waits until the client's deadline is `margin` away.
    pub(super) async fn wait_until_deadline_is_near(&self, margin: Duration) {
        self.forward.body.wait_until(self.deadline - margin).await;
    }

    /// Waits until a clock ends the attempt, and returns which one.
    async fn wait_for_clock(&self, progress: Option<&ExchangeProgress>) -> Clock {
        tokio::select! {
            biased;
            () = self.forward.body.wait_until(self.deadline) => Clock::Deadline,
            () = self.wait_for_timeout(progress) => Clock::Timeout,
        }
    }

    /// Waits until the attempt's timeout has passed, and until no answer under way makes progress.
    async fn wait_for_timeout(&self, progress: Option<&ExchangeProgress>) {
        let Some(timeout) = self.timeout else { return std::future::pending().await };
        self.forward.body.wait_until(timeout).await;
        let progressing_until = || progress?.answer().progressing_until;
        while let Some(until) = progressing_until().filter(|until| *until > Instant::now()) {
            sleep_until(until).await;
        }
    }

    /// Waits until the client disconnects or the write deadline passes. Returns the outcome of the attempt in that
    /// case, which applies only if the request has not been fully written.
    async fn wait_for_withdrawal(&self) -> Outcome {
        tokio::select! {
            () = self.forward.client_gone.cancelled() => Outcome::Canceled,
            () = sleep_until_some(self.write_deadline) => Outcome::NotSent,
        }
    }
}

/// What ends an attempt whose outcome is still open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Clock {
    /// The client's deadline.
    Deadline,
    /// The attempt's own timeout.
    Timeout,
}

/// The result of running one step of an attempt.
enum StepEnd<T> {
    Finished(T),
    Expired(Clock),
    /// The attempt was withdrawn before its request was fully written.
    Withdrawn(Outcome),
}

/// What an attempt does after it has used a connection.
enum NextStep {
    EndWith(Outcome),
    /// The connection was closed while idle, before any byte of the request was written: retry on another one.
    UseAnotherConnection,
}

/// An attempt together with what a backend's actor needs to run it. When the deadline passes or the attempt is
/// cancelled, the exchange is dropped, which closes its connection.
pub(super) struct AttemptRun {
    pub(super) attempt: Attempt,
    pub(super) pool: Pool,
    pub(super) host: HeaderValue,
    pub(super) backend_closed: Arc<AtomicBool>,
    pub(super) shared: Arc<UpstreamShared>,
}

impl AttemptRun {
    /// Runs the attempt and returns its outcome.
    pub(super) async fn run(self) -> AttemptOutcome {
        let mut attempt_outcome = AttemptOutcome::without_response(
            self.attempt.request,
            self.attempt.number,
            Outcome::NotSent,
            Duration::ZERO,
        );
        while self.may_start() {
            match self.send_once(&mut attempt_outcome).await {
                NextStep::UseAnotherConnection => COUNTERS.attempts_redialled.increment(),
                NextStep::EndWith(outcome) => {
                    attempt_outcome.outcome = outcome;
                    break;
                }
            }
        }
        attempt_outcome.latency = self.attempt.started_at.elapsed();
        attempt_outcome
    }

    /// Whether a request may still be sent. While the attempt waited in the mailbox, its backend may have started to
    /// drain, or its client may have disconnected.
    fn may_start(&self) -> bool {
        !self.backend_closed.load(Relaxed) && !self.attempt.forward.client_gone.is_cancelled()
    }

    /// Acquires a connection and sends the request on it.
    async fn send_once(&self, attempt_outcome: &mut AttemptOutcome) -> NextStep {
        let connection = match self.run_until_withdrawn(self.pool.acquire(), None).await {
            StepEnd::Finished(Ok(connection)) => connection,
            StepEnd::Finished(Err(_)) => return NextStep::EndWith(self.outcome_of_failed_dial()),
            StepEnd::Expired(clock) => {
                self.log_cut(None, &format!("{clock:?}"));
                return NextStep::EndWith(Outcome::ConnectFailed);
            }
            StepEnd::Withdrawn(outcome) => return NextStep::EndWith(outcome),
        };
        self.send_on_connection(connection, attempt_outcome).await
    }

    async fn send_on_connection(
        &self,
        connection: Connection,
        attempt_outcome: &mut AttemptOutcome,
    ) -> NextStep {
        let progress = connection.progress().clone();
        let request = build_request(&self.host, &self.attempt);
        let exchange = exchange(
            &self.pool,
            connection,
            request,
            &self.host,
            &self.attempt,
            &self.shared,
            attempt_outcome,
        );
        match self.run_until_withdrawn(exchange, Some(&progress)).await {
            StepEnd::Finished(Outcome::ConnectFailed) => self.after_connect_failure(&progress),
            StepEnd::Finished(outcome) => {
                if outcome == Outcome::Reset {
                    self.log_cut(Some(&progress), "Reset");
                }
                NextStep::EndWith(outcome)
            }
            StepEnd::Withdrawn(outcome) => {
                self.log_cut(Some(&progress), &format!("{outcome:?}"));
                NextStep::EndWith(outcome)
            }
            StepEnd::Expired(clock) => {
                self.log_cut(Some(&progress), &format!("{clock:?}"));
                // If the response has started, the attempt was counted when the response head was read.
                if progress.state() == ExchangeState::FullyWritten {
                    self.shared.stats.record_attempt_written();
                }
                NextStep::EndWith(progress.outcome_at_deadline())
            }
        }
    }

    /// Awaits `step` until a clock ends it, or until the attempt is withdrawn. A step that does not finish is dropped
    /// together with its connection, on which nothing more is written. `progress` is that of the exchange, if one began.
    ///
    /// A withdrawn attempt counts as never run, so that its request may be sent again. Withdrawal is therefore ruled out
    /// once the request may have run, even if the response never arrives.
    ///
    /// Prevents an attempt from starting or continuing to write a request that no client waits for, or that may no
    /// longer be repeated; dialling can take seconds. Once the request is fully written, the backend runs it, so its
    /// end is awaited.
    async fn run_until_withdrawn<T>(
        &self,
        step: impl Future<Output = T>,
        progress: Option<&ExchangeProgress>,
    ) -> StepEnd<T> {
        let step = async {
            tokio::select! {
                biased;
                finished = step => StepEnd::Finished(finished),
                clock = self.attempt.wait_for_clock(progress) => StepEnd::Expired(clock),
            }
        };
        tokio::pin!(step);
        let withdrawn = self.attempt.wait_for_withdrawal();
        tokio::select! {
            biased;
            end = &mut step => end,
            outcome = withdrawn => match progress.is_some_and(|progress| progress.state().may_have_run()) {
                false => StepEnd::Withdrawn(outcome),
                true => step.await,
            },
        }
    }

    /// Logs that the attempt was ended without a complete response, and by what.
    fn log_cut(&self, progress: Option<&ExchangeProgress>, ended_by: &str) {
        let attempt = &self.attempt;
        let (state, answer) =
            progress.map(|progress| (progress.state(), progress.answer())).unwrap_or_default();
        exchange_info!(
            "attempt cut: request {:?} attempt {} backend {:?}: {ended_by} after {} ms, {state:?}, {} of {} body bytes \
             written, {} body bytes read",
            attempt.forward.id.value(),
            attempt.number,
            self.host,
            attempt.started_at.elapsed().as_millis(),
            progress.map_or(0, ExchangeProgress::written_body_bytes),
            attempt.forward.body.length(),
            answer.body_bytes,
        );
    }

    fn outcome_of_failed_dial(&self) -> Outcome {
        // A lack of file descriptors in this process must not count as a failure of the backend.
        if self.backend_closed.load(Relaxed) || self.shared.is_out_of_descriptors() {
            return Outcome::NotSent;
        }
        Outcome::ConnectFailed
    }

    fn after_connect_failure(&self, progress: &ExchangeProgress) -> NextStep {
        if self.backend_closed.load(Relaxed) {
            return NextStep::EndWith(Outcome::NotSent);
        }
        // A connection that was closed while idle must not count as a failure of the backend: no byte of the request
        // was written, so another connection can be used.
        if progress.is_unwritten_on_reused_connection() {
            return NextStep::UseAnotherConnection;
        }
        NextStep::EndWith(Outcome::ConnectFailed)
    }
}
