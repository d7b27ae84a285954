//! The actor that owns the decision logic. It turns messages into events for the [`Limiter`], and the actions that the
//! `Limiter` returns into commands to the other actors.
//!
//! It never waits for another actor: it puts commands into mailboxes without waiting, and handles a full mailbox like
//! any other failure to send.

mod action_execution;
mod parts;
mod status;
mod version_updates;

use std::collections::BTreeSet;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Duration;

pub use parts::{ControlActorParts, VersionSettings};
use sedgestack::{AttemptResult, BackendId, Event, Limiter, Micros, Outcome, RequestId};
use sedgestack_capture::Outcome as CapturedOutcome;
use tokio::sync::mpsc;
use tokio::time::{sleep_until, Instant};

use crate::net::admin::stats::AdminStats;
use crate::net::canary::OutcomeRecorder;
use crate::net::control::capture_records::{CaptureRecords, CapturedAnswer, CapturedRequest};
use crate::net::control::endpoint_table::EndpointTable;
use crate::net::control::message::{
    AcceptedRequest, AttemptOutcome, ControlCommand, CounterReply, Message, Reply,
};
use crate::net::control::request_table::{OpenRequest, RequestTable};
use crate::net::control::timers::TimerQueue;
use crate::net::control::versions::ActiveVersion;
use crate::net::discovery::endpoints::EndpointsUpdate;
use crate::net::peers::OutgoingDatagram;
use crate::net::quota_counter::CounterCall;
use crate::net::runtime::clock::Clock;
use crate::net::runtime::metrics::COUNTERS;

/// Maximum number of messages per batch, so that a flood of messages cannot delay timers or changes of the endpoints.
const MAX_BATCH: usize = 64;

/// How long a new process waits to hear from discovery before it is ready: until a call that is not answered is late.
const DISCOVERY_WAIT: Micros = 1_000_000;

/// The control actor. It alone modifies this state.
pub struct ControlActor {
    limiter: Limiter,
    clock: Clock,
    requests: RequestTable,
    endpoints: EndpointTable,
    timers: TimerQueue,
    /// The events of the next batch, in order of arrival.
    events: Vec<Event>,
    /// Results of attempts and counter calls that could not be sent. They are handled with the next batch.
    unsent_attempts: Vec<AttemptOutcome>,
    unsent_counter_calls: Vec<CounterReply>,
    counter: Option<mpsc::Sender<CounterCall>>,
    counter_timeout: Duration,
    peers: Option<mpsc::Sender<OutgoingDatagram>>,
    connect_timeout: Duration,
    version_settings: Option<VersionSettings>,
    /// `None` until the first report of the consensus actor.
    active_version: Option<ActiveVersion>,
    versions_retired_at: Micros,
    capture: CaptureRecords,
    outcomes: Option<OutcomeRecorder>,
    ready: Arc<AtomicBool>,
    /// Whether discovery has sent a complete list, or has nothing to report.
    has_heard_from_discovery: bool,
    /// When the limiter becomes ready even if it has not heard from discovery.
    discovery_wait_end: Micros,
    stats: Arc<AdminStats>,
    /// Whether the endpoints changed since the backend counts were published.
    backend_counts_changed: bool,
    /// Reset by a change of the cordons, which is published at once.
    backend_counts_published_at: Micros,
    /// Time of the last timer that was set to publish a change.
    backend_counts_scheduled_for: Micros,
}

impl ControlActor {
    /// Creates an actor for a limiter that has just started.
    pub fn new(limiter: Limiter, parts: ControlActorParts) -> ControlActor {
        let connect_timeout = parts.upstream.connect_timeout;
        let endpoints = EndpointTable::new(parts.upstream, parts.cordoned);
        let discovery_wait_end = parts.clock.now() + DISCOVERY_WAIT;
        let mut timers = TimerQueue::default();
        timers.schedule(discovery_wait_end);
        ControlActor {
            limiter,
            clock: parts.clock,
            requests: RequestTable::new(parts.max_open_requests, parts.max_attempts),
            events: endpoints.initial_cordons(),
            endpoints,
            timers,
            unsent_attempts: Vec::new(),
            unsent_counter_calls: Vec::new(),
            counter: parts.counter,
            counter_timeout: parts.counter_timeout,
            peers: parts.peers,
            connect_timeout,
            version_settings: parts.versions,
            active_version: None,
            versions_retired_at: 0,
            capture: CaptureRecords::new(parts.capture, parts.clock),
            outcomes: parts.outcomes,
            ready: parts.ready,
            has_heard_from_discovery: false,
            discovery_wait_end,
            stats: parts.stats,
            backend_counts_changed: true,
            backend_counts_published_at: 0,
            backend_counts_scheduled_for: 0,
        }
    }

    /// Runs until the mailbox is closed. Endpoint changes and control commands are handled before the other messages of
    /// a batch, because a drain must not wait behind requests.
    pub async fn run(
        mut self,
        mut endpoint_updates: mpsc::Receiver<EndpointsUpdate>,
        mut commands: mpsc::Receiver<ControlCommand>,
        mut mailbox: mpsc::Receiver<Message>,
    ) {
        let mut messages = Vec::with_capacity(MAX_BATCH);
        let sleep = sleep_until(Instant::now());
        tokio::pin!(sleep);
        loop {
            let due = self.timers.next_due().map(|at| self.clock.instant(at));
            if let Some(due) = due.filter(|due| *due != sleep.deadline()) {
                sleep.as_mut().reset(due);
            }
            let has_unsent = !self.unsent_attempts.is_empty() || !self.unsent_counter_calls.is_empty();
            tokio::select! {
                biased;
                Some(update) = endpoint_updates.recv() => self.on_endpoints_update(update),
                Some(command) = commands.recv() => self.on_control_command(command),
                count = mailbox.recv_many(&mut messages, MAX_BATCH) => if count == 0 { return },
                () = sleep.as_mut(), if due.is_some() => {}
                () = std::future::ready(()), if has_unsent => {}
            }
            let turn_started_at = Instant::now();
            while let Ok(update) = endpoint_updates.try_recv() {
                self.on_endpoints_update(update);
            }
            while let Ok(command) = commands.try_recv() {
                self.on_control_command(command);
            }
            self.handle_unsent();
            messages.drain(..).for_each(|message| self.on_message(message));
            self.decide();
            COUNTERS.turn_longest_us.raise_to(turn_started_at.elapsed().as_micros() as u64);
        }
    }

    fn handle_unsent(&mut self) {
        for ended in std::mem::take(&mut self.unsent_attempts) {
            self.on_attempt_ended(ended);
        }
        for reply in std::mem::take(&mut self.unsent_counter_calls) {
            self.on_counter_reply(reply);
        }
    }

    fn on_endpoints_update(&mut self, update: EndpointsUpdate) {
        self.has_heard_from_discovery |=
            matches!(update, EndpointsUpdate::Changed(_) | EndpointsUpdate::Unchanged);
        let event = match update {
            EndpointsUpdate::Configured(change) | EndpointsUpdate::Changed(change) => {
                self.endpoints.on_endpoints_changed(change)
            }
            EndpointsUpdate::Draining(notice) => self.endpoints.on_drains(notice),
            EndpointsUpdate::Unchanged => None,
        };
        if let Some(event) = event {
            self.backend_counts_changed = true;
            self.events.push(event);
        }
    }

    fn on_control_command(&mut self, command: ControlCommand) {
        match command {
            ControlCommand::Cordon { name, cordoned, reply } => {
                let _ = reply.send(self.set_cordon(name.into(), cordoned));
            }
            ControlCommand::ReplaceCordons { names, reply } => {
                self.replace_cordons(names.into_iter().map(Into::into).collect());
                let _ = reply.send(());
            }
            ControlCommand::VersionsChanged(versions) => self.on_versions_changed(*versions),
        }
    }

    /// Cordons or releases a backend, with effect on all requests decided from now on. Returns the names of the
    /// cordoned backends, or `None` if the backend is unknown.
    fn set_cordon(&mut self, backend: BackendId, cordoned: bool) -> Option<Vec<String>> {
        if !self.endpoints.is_known(&backend) {
            return None;
        }
        self.backend_counts_published_at = 0;
        self.events.push(self.endpoints.set_cordon(backend, cordoned));
        Some(self.endpoints.cordoned_names())
    }

    fn replace_cordons(&mut self, names: BTreeSet<BackendId>) {
        let events = self.endpoints.replace_cordons(names);
        if !events.is_empty() {
            self.backend_counts_published_at = 0;
        }
        self.events.extend(events);
    }

    fn on_message(&mut self, message: Message) {
        match message {
            Message::Accepted(accepted) => self.on_request_accepted(accepted),
            Message::Abandoned(id) => self.on_request_abandoned(id),
            Message::AttemptEnded(ended) => self.on_attempt_ended(ended),
            Message::HealthChecked { backend, outcome, latency, report } => {
                let latency = latency.as_micros() as Micros;
                self.events.push(Event::HealthCheckEnded { backend, outcome, latency, report });
            }
            Message::CounterReplied(reply) => self.on_counter_reply(reply),
            Message::PeerDatagram { from, bytes } => self.events.push(Event::PeerMessage { from, bytes }),
        }
    }

    fn on_request_accepted(&mut self, accepted: AcceptedRequest) {
        if self.requests.is_full() {
            return self.reject_at_capacity(accepted);
        }
        COUNTERS.taken.increment();
        let AcceptedRequest { mut request, forward, origin: arrival, mut deadline, reply } = accepted;
        let capture_details = self.capture.request_details(&request, arrival);
        let mut request_version = None;
        if self.version_settings.is_some() {
            let now = self.clock.now();
            let Some(version) = self.active_version.as_mut().and_then(|active| active.active_at(now)) else {
                return version_updates::reject_without_version(reply);
            };
            request_version =
                Some(version_updates::request_version_of(version, &request, arrival.arrived_at));
            let max_wait = Duration::from_micros(version.max_wait(request.class));
            deadline = deadline.min(arrival.arrived_at + max_wait);
            version.apply_to(&mut request);
        }
        // The client's time counts from the last byte of its request.
        let latest = deadline + forward.body.max_client_wait();
        request.timeout = latest.saturating_duration_since(Instant::now()).as_micros() as Micros;
        let open = OpenRequest::new(forward, deadline, reply, request_version, capture_details);
        self.requests.insert(request.id, open);
        self.events.push(Event::Request(request));
    }

    fn reject_at_capacity(&mut self, accepted: AcceptedRequest) {
        COUNTERS.turned_away_full.increment();
        let answer = CapturedAnswer {
            outcome: CapturedOutcome::RejectedAtCapacity,
            idempotency_key: accepted.forward.key.as_ref().map(axum::http::HeaderValue::as_bytes),
            attempts: 0,
            backend: None,
            version: None,
        };
        let captured = CapturedRequest { request: accepted.request, arrival: accepted.origin };
        self.capture.record(&captured, answer);
        let _ = accepted.reply.send((Reply::Rejected { retry_after: 0 }, None));
    }

    fn on_request_abandoned(&mut self, id: RequestId) {
        if self.requests.take_reply(id).is_none() {
            return;
        }
        COUNTERS.abandoned.increment();
        self.record_answer(id, CapturedOutcome::Abandoned, None);
        self.events.push(Event::Abandoned { request: id });
        self.requests.remove_if_finished(id);
    }

    fn on_attempt_ended(&mut self, ended: AttemptOutcome) {
        let id = ended.request;
        if !self.requests.on_attempt_ended(id) {
            return;
        }
        let served = ended.body.map(Reply::Served).or(ended.stream.map(Reply::Streamed));
        if let (Outcome::Ok, Some(served)) = (ended.outcome, served) {
            if let Some(reply) = self.requests.take_reply(id) {
                COUNTERS.served.increment();
                let _ = reply.send((served, self.version_number_of(id)));
                self.record_answer(id, CapturedOutcome::Served, Some(ended.attempt as usize));
            }
        }
        self.events.push(Event::AttemptEnded(AttemptResult {
            request: id,
            attempt: ended.attempt,
            outcome: ended.outcome,
            latency: ended.latency.as_micros() as Micros,
            request_done: !self.requests.get(id).is_some_and(OpenRequest::is_unanswered),
            metered_usage: ended.metered_usage,
            actual_units: ended.actual_units,
            report: ended.report,
        }));
        self.requests.remove_if_finished(id);
    }

    fn on_counter_reply(&mut self, reply: CounterReply) {
        self.capture.on_counter_reply(reply.outcome == Outcome::Ok);
        self.events.push(Event::CounterReplied {
            name: reply.name,
            outcome: reply.outcome,
            total: reply.total,
        });
    }

    /// Passes the events of the batch to the `Limiter` and executes the actions that it returns.
    fn decide(&mut self) {
        let now = self.clock.now();
        if self.timers.remove_due(now) {
            self.events.push(Event::Timer);
        }
        self.update_readiness(now);
        if let Some(outcomes) = &mut self.outcomes {
            outcomes.flush_finished_seconds(now);
        }
        if self.events.is_empty() {
            return;
        }
        COUNTERS.batches.increment();
        COUNTERS.events.add(self.events.len() as u64);
        let events = std::mem::take(&mut self.events);
        for action in self.limiter.handle(now, &events) {
            self.execute(now, action);
        }
        self.events = events;
        self.events.clear();
        self.publish_backend_counts(now);
    }

    /// Sends the final reply to a request that was rejected or has failed.
    fn reply(&mut self, id: RequestId, reply: Reply) {
        let Some(version) = self.requests.get(id).map(|open| open.version) else { return };
        if let Some(client) = self.requests.take_reply(id) {
            let (counter, outcome) = match reply {
                Reply::Rejected { .. } => (&COUNTERS.rejections, CapturedOutcome::Rejected),
                _ => (&COUNTERS.failed, CapturedOutcome::Failed),
            };
            counter.increment();
            let reply = match (reply, version) {
                (Reply::Rejected { retry_after }, Some(version)) => {
                    Reply::Rejected { retry_after: retry_after.min(version.max_retry_after) }
                }
                (reply, _) => reply,
            };
            let _ = client.send((reply, version.map(|version| version.number)));
            self.record_answer(id, outcome, None);
        }
        self.requests.remove_if_finished(id);
    }

    /// Records for the canary analysis and the capture how an open request ended. `attempt` is the attempt that served
    /// it, if one did.
    fn record_answer(&mut self, id: RequestId, outcome: CapturedOutcome, attempt: Option<usize>) {
        let Some(open) = self.requests.get(id) else { return };
        if let (Some(outcomes), Some(version)) = (&mut self.outcomes, open.version) {
            let in_time = outcome == CapturedOutcome::Served
                && version.arrived_at.elapsed() <= version.latency_objective;
            outcomes.record(version.number, version.plan, in_time);
        }
        let Some(captured) = &open.capture_details else { return };
        let answer = CapturedAnswer {
            outcome,
            idempotency_key: open.idempotency_key(),
            attempts: open.attempts(),
            backend: open.handle_of_attempt(attempt).map(|handle| handle.id.clone()),
            version: open.version.map(|version| version.number),
        };
        self.capture.record(captured, answer);
    }
}
