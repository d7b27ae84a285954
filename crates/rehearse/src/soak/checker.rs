//! Checks the records of the stand-ins against the platform's rules.

use std::collections::HashMap;
use std::time::Duration;

use serde::Serialize;

use super::deployment::{cell_of, zone_of, Deployment, Idempotency, KeyScope};
use super::records::{AttemptEnd, AttemptRecord, ClientEnd, DrainNotice, Records, RequestRecord};

/// Added to each time limit, because events on real sockets are observed late.
const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// Longest permitted delay of a limiter between reading its clock and writing to a socket. Deadlines and idempotency
/// windows are extended by it.
const STALL_ALLOWANCE: Duration = Duration::from_millis(150);
/// Time after a client closes its connection in which an attempt may still begin.
const CLIENT_GONE_GRACE: Duration = Duration::from_millis(100);
/// Time after a drain notice in which an attempt may still begin at the backend, whatever the settings are.
const DRAIN_GRACE: Duration = Duration::from_secs(1);
/// Requests sent later than this after SIGTERM must be answered before SIGKILL.
const STOP_GRACE: Duration = Duration::from_millis(700);

/// A rule of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Every request receives a final response, at the latest half a second after its deadline. A response between the
    /// deadline and then has no value, but the request is not lost.
    Lost,
    /// A request is sent again only if every earlier attempt provably did not run, or if the request is idempotent.
    /// With an idempotency key it may also be sent again within the window to a backend in the same scope.
    Duplicate,
    /// A 429 or 503 tells the client that a retry is harmless, so no attempt may have run.
    FalseRejection,
    /// No attempt begins after the client has closed its connection.
    ClientGone,
    /// No attempt begins at a backend that is draining or gone.
    Drain,
    /// The deadline that an attempt carries is at most the time left to the client, plus an allowance of 0.15 s.
    ToldTime,
    /// After a load, a limiter has no more open descriptors than after its start.
    Descriptors,
    /// A limiter's memory stays within the limit.
    Memory,
    /// Bodies arrive whole and unchanged.
    Body,
    /// A limiter does not panic, and exits only after a signal to stop.
    Crash,
}

/// A violation of a rule.
#[derive(Clone, Debug, Serialize)]
pub struct Finding {
    /// The violated rule.
    pub rule: Rule,
    /// What happened, with the records that show it.
    pub detail: String,
}

impl Finding {
    /// Creates a finding.
    pub fn new(rule: Rule, detail: String) -> Finding {
        Finding { rule, detail }
    }
}

/// What a check needs to know about a run apart from its records.
#[derive(Clone, Copy, Debug)]
pub struct CheckContext {
    /// When the limiters were stopped.
    pub stop: StopTimes,
    /// Whether the machine was too busy for times to be meaningful. If so, rules that depend on times are not checked.
    pub is_void: bool,
}

/// Times at which limiters were stopped.
#[derive(Clone, Copy, Debug)]
pub struct StopTimes {
    /// When the first SIGTERM or SIGINT was sent.
    pub signaled_at: Duration,
    /// When SIGKILL was sent.
    pub killed_at: Duration,
}

/// Checks the records of a run against the rules, and returns the violations.
pub fn check(deployment: &Deployment, records: &Records, context: CheckContext) -> Vec<Finding> {
    let CheckContext { stop, is_void } = context;
    let (requests, attempts) = (records.requests(), records.attempts());
    let mut attempts_of: HashMap<&str, Vec<&AttemptRecord>> = HashMap::new();
    for attempt in &attempts {
        attempts_of.entry(&attempt.id).or_default().push(attempt);
    }
    let drains = records.drains();
    // What is under way at SIGKILL breaks off.
    let bad_bodies = records.bad_bodies().into_iter().filter(|bad| bad.at < stop.killed_at);
    let mut findings: Vec<Finding> =
        bad_bodies.map(|bad| Finding::new(Rule::Body, format!("{bad:?}"))).collect();
    let cut_off = records.cut_off();
    for request in &requests {
        let attempts = attempts_of.get(request.id.as_str()).map_or(&[][..], Vec::as_slice);
        let request_check = RequestCheck { deployment, request, attempts };
        findings.extend(request_check.closed_unanswered(stop));
        findings.extend(request_check.duplicate());
        findings.extend(request_check.false_rejection());
        findings.extend(cut_off.contains(&request.id).then(|| request_check.cut_off()).flatten());
        if !is_void {
            findings.extend(request_check.overdue(stop));
            findings.extend(request_check.duplicate_after_window());
            findings.extend(request_check.attempt_after_client_left());
            findings.extend(request_check.attempt_after_drain(&drains));
            findings.extend(request_check.excessive_deadline());
        }
    }
    findings
}

/// Checks one request, with its attempts in the order in which they were recorded.
struct RequestCheck<'a> {
    deployment: &'a Deployment,
    request: &'a RequestRecord,
    attempts: &'a [&'a AttemptRecord],
}

impl RequestCheck<'_> {
    fn finding(&self, rule: Rule, reason: &str) -> Finding {
        Finding::new(rule, format!("{reason}: {:?}, attempts {:?}", self.request, self.attempts))
    }

    fn idempotency(&self) -> Idempotency {
        self.deployment.classes[self.request.class].idempotency
    }

    fn deadline(&self) -> Duration {
        self.request.deadline
    }

    fn may_have_run(&self) -> impl Iterator<Item = &AttemptRecord> {
        self.attempts.iter().copied().filter(|attempt| attempt.end == AttemptEnd::MayHaveRun)
    }

    /// Reports a request without a response in time, or without one at SIGKILL when it should have had one.
    fn overdue(&self, stop: StopTimes) -> Option<Finding> {
        let (ended_at, end) = self.request.end?;
        match end {
            ClientEnd::Unanswered => Some(self.finding(Rule::Lost, "no response in time")),
            ClientEnd::Closed | ClientEnd::ClosedWithinHead if ended_at >= stop.killed_at => {
                let was_sent_late = self.request.sent_at > stop.signaled_at + STOP_GRACE;
                let was_due = self.request.sent_at + self.deadline() < stop.killed_at;
                (was_sent_late || was_due).then(|| self.finding(Rule::Lost, "unanswered at SIGKILL"))
            }
            _ => None,
        }
    }

    /// Reports a request whose connection the limiter closed without a response, before SIGKILL.
    fn closed_unanswered(&self, stop: StopTimes) -> Option<Finding> {
        let (ended_at, ClientEnd::Closed | ClientEnd::ClosedWithinHead) = self.request.end? else {
            return None;
        };
        if ended_at >= stop.killed_at {
            return None;
        }
        if !self.attempts.is_empty() {
            return Some(self.finding(Rule::Lost, "connection closed without a response after an attempt"));
        }
        // A limiter may close a connection without reading the request: a reused connection because it was idle, and
        // any connection if idle clients use up the descriptors.
        let has_crowd = self.deployment.idle_clients > 0 || self.deployment.crowd > 0;
        let may_be_unread = self.request.on_reused_connection || has_crowd;
        (!may_be_unread).then(|| self.finding(Rule::Lost, "new connection closed without a response"))
    }

    /// Reports an attempt after one that may have run, if the request must never be sent again to that backend.
    fn duplicate(&self) -> Option<Finding> {
        let mut runs = self.may_have_run();
        let first = runs.next()?;
        let is_violated = runs.any(|again| match self.idempotency() {
            Idempotency::Idempotent => false,
            Idempotency::NotIdempotent => true,
            Idempotency::IdempotencyKey { scope, .. } => !is_in_scope(scope, first.backend, again.backend),
        });
        is_violated.then(|| self.finding(Rule::Duplicate, "sent again where a repeat is not allowed"))
    }

    /// Reports an attempt after the idempotency window of the first one that may have run.
    fn duplicate_after_window(&self) -> Option<Finding> {
        let Idempotency::IdempotencyKey { window, .. } = self.idempotency() else { return None };
        let mut runs = self.may_have_run();
        let limit = runs.next()?.began_at + window + SOCKET_SLACK + STALL_ALLOWANCE;
        let is_violated = runs.any(|again| again.began_at > limit);
        is_violated.then(|| self.finding(Rule::Duplicate, "sent again after its idempotency window"))
    }

    /// Reports a rejection of a request that may have run, unless a retry to any backend is harmless.
    fn false_rejection(&self) -> Option<Finding> {
        let (_, ClientEnd::Answered(429 | 503)) = self.request.end? else { return None };
        let is_retry_harmless = matches!(
            self.idempotency(),
            Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: KeyScope::All, .. }
        );
        let is_violated = !is_retry_harmless && self.may_have_run().next().is_some();
        is_violated.then(|| self.finding(Rule::FalseRejection, "rejected although it may have run"))
    }

    /// Reports a request that was not served although a backend was writing its sound answer, of which over 64 KiB had
    /// been taken.
    fn cut_off(&self) -> Option<Finding> {
        let (_, ClientEnd::Answered(status)) = self.request.end? else { return None };
        (status != 200).then(|| self.finding(Rule::Lost, "a sound answer was cut off"))
    }

    /// Reports an attempt that began after the client had closed its connection.
    fn attempt_after_client_left(&self) -> Option<Finding> {
        let (left_at, ClientEnd::Left) = self.request.end? else { return None };
        let limit = left_at + CLIENT_GONE_GRACE + SOCKET_SLACK;
        let is_violated = self.attempts.iter().any(|attempt| attempt.began_at > limit);
        is_violated.then(|| self.finding(Rule::ClientGone, "attempt after the client closed its connection"))
    }

    /// Reports an attempt at a backend after the limiter was told that the backend is draining or gone.
    fn attempt_after_drain(&self, drains: &[DrainNotice]) -> Option<Finding> {
        let violates = |attempt: &AttemptRecord, drain: &DrainNotice| {
            drain.limiter == self.request.limiter
                && drain.backend == attempt.backend
                && attempt.began_at > drain.told_at + DRAIN_GRACE
        };
        let is_violated =
            self.attempts.iter().any(|attempt| drains.iter().any(|drain| violates(attempt, drain)));
        is_violated.then(|| self.finding(Rule::Drain, "attempt at a backend that is draining or gone"))
    }

    /// Reports an attempt with a deadline beyond that of the client.
    fn excessive_deadline(&self) -> Option<Finding> {
        let deadline = self.request.sent_at + self.deadline();
        let is_violated = self.attempts.iter().any(|attempt| {
            let left = deadline.saturating_sub(attempt.began_at);
            Duration::from_millis(attempt.told_ms) > left + STALL_ALLOWANCE + SOCKET_SLACK
        });
        is_violated.then(|| self.finding(Rule::ToldTime, "attempt with a deadline beyond that of the client"))
    }
}

/// Whether two backends share idempotency keys.
fn is_in_scope(scope: KeyScope, first: usize, again: usize) -> bool {
    match scope {
        KeyScope::All => true,
        KeyScope::Zone => zone_of(first) == zone_of(again),
        KeyScope::Cell => cell_of(first) == cell_of(again),
    }
}

#[cfg(test)]
mod tests;
