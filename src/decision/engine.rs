//! The limiter: passes each event to the code that handles it and collects the resulting actions.

use std::collections::BTreeMap;

use super::attempts::{AttemptId, InFlightAttempt};
use super::backends::BackendTable;
use super::counter_budget::CounterBudget;
use super::customer_limit::CustomerLimit;
use super::customers::Customer;
use super::latencies::Latencies;
use super::load::LoadMeter;
use super::pacing::{FleetFullness, Pacing};
use super::queues::Rotations;
use super::random::Random;
use super::requests::PendingRequest;
use super::retries::RetryBudget;
use super::settings_check::check;
use super::timers::{TimerKind, Timers};
use super::versions::IndexAllocation;
use crate::interface::{
    Action, Class, CounterName, CustomerId, Discovery, Event, Micros, RequestId, Settings, SettingsError,
};

/// Maximum number of limiters in few-limiters mode. With more, in many-limiters mode, each limiter sees too
/// little of single backends and customers, so it uses pacing, turns concurrency limits into rates, and
/// queries the quota counter before it sends.
const FEW_LIMITERS: u32 = 4;
/// A failed discovery call is retried after one to two times the polling interval divided by this.
const DISCOVERY_RETRY_DIVISOR: u64 = 8;

/// Makes the decisions of one limiter.
///
/// Pass every event, in order, to [`handle`](Limiter::handle) and carry out the actions that it returns.
#[derive(Default)]
pub struct Limiter {
    pub(super) settings: Settings,
    /// Time of the first call of [`handle`](Limiter::handle).
    pub(super) started_at: Option<Micros>,
    pub(super) now: Micros,
    /// Actions collected during the current call of [`handle`](Limiter::handle).
    pub(super) actions: Vec<Action>,
    pub(super) timers: Timers,
    pub(super) random: Random,
    pub(super) requests: BTreeMap<RequestId, PendingRequest>,
    pub(super) attempts: BTreeMap<AttemptId, InFlightAttempt>,
    pub(super) customers: BTreeMap<CustomerId, Customer>,
    pub(super) customer_limit: CustomerLimit,
    /// The customer behind each counter name that has a call in flight.
    pub(super) counter_names: BTreeMap<CounterName, CustomerId>,
    pub(super) backends: BackendTable,
    /// Whether the limiter runs in many-limiters mode; see [`FEW_LIMITERS`].
    pub(super) many_limiters: bool,
    /// Tier of each class, by class index.
    pub(super) tier_of: Vec<usize>,
    pub(super) rotations: Rotations,
    pub(super) latencies: Latencies,
    /// Time after which signs of a full backend expire: the shortest latency objective of all classes.
    pub(super) cooldown: Micros,
    pub(super) retry_budget: RetryBudget,
    /// Moving average of the units of an answered request.
    pub(super) mean_units: f64,
    pub(super) fullness: FleetFullness,
    pub(super) pacing: Pacing,
    pub(super) load: LoadMeter,
    pub(super) counter_budget: CounterBudget,
    /// Moving average of the share of quota prechecks (see [`Limiter::precheck_at`]) that found no quota
    /// left.
    pub(super) precheck_rejection_share: f64,
    pub(super) allocation: IndexAllocation,
}

impl Limiter {
    /// Creates a limiter; `seed` determines all of its random draws.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings are invalid.
    pub fn new(mut settings: Settings, seed: u64) -> Result<Limiter, SettingsError> {
        check(&settings)?;
        settings.limiters = settings.limiters.max(1);
        let weights = tier_weights(&settings.classes);
        let tier = |class: &Class| weights.iter().position(|w| *w == class.priority_weight).unwrap_or(0);
        let many_limiters = settings.limiters > FEW_LIMITERS;
        let cooldown = settings.classes.iter().map(|class| class.latency_objective).min().unwrap_or(0);
        Ok(Limiter {
            random: Random::new(seed),
            tier_of: settings.classes.iter().map(tier).collect(),
            rotations: Rotations::new(weights.len()),
            latencies: Latencies::new(&settings.classes, cooldown),
            cooldown,
            retry_budget: RetryBudget::new(),
            mean_units: 1.0,
            counter_budget: CounterBudget::new(settings.limiters, many_limiters),
            many_limiters,
            settings,
            ..Limiter::default()
        })
    }

    /// Handles the events up to `now` and returns the actions to carry out, in order.
    pub fn handle(&mut self, now: Micros, events: &[Event]) -> Vec<Action> {
        self.now = now.max(self.now);
        self.start();
        for event in events {
            self.on_event(event);
        }
        while let Some(timer) = self.timers.pop_due(self.now) {
            self.on_timer(timer);
        }
        self.update_outdated_subset();
        self.measure_load();
        self.release();
        if let Some(after) = self.timers.arm(self.now) {
            self.actions.push(Action::SetTimer { after });
        }
        std::mem::take(&mut self.actions)
    }

    /// Initializes the limiter on the first call of [`handle`](Limiter::handle).
    fn start(&mut self) {
        if self.started_at.is_some() {
            return;
        }
        self.started_at = Some(self.now);
        self.load.start(self.now);
        if self.settings.discovery != Discovery::Push {
            self.actions.push(Action::Subscribe);
        }
    }

    fn on_event(&mut self, event: &Event) {
        match event {
            Event::EndpointsChanged { version, complete, endpoints } => {
                self.on_endpoints_changed(*version, *complete, endpoints);
            }
            Event::DiscoveryFailed => self.on_discovery_failed(),
            Event::Request(request) => self.on_request(request),
            Event::Cordon { backend, cordoned } => self.on_cordon(backend, *cordoned),
            Event::StreamStarted { request, .. } => self.on_stream_started(*request),
            Event::AttemptEnded(end) => {
                let id = AttemptId { request: end.request, attempt: end.attempt };
                if let Some(attempt) = self.attempts.remove(&id) {
                    self.on_attempt_ended(&attempt, end);
                    self.join_rotation(attempt.customer);
                    self.return_spare_permits(attempt.customer);
                }
            }
            Event::Abandoned { request } => self.remove_request(*request),
            Event::CounterReplied { name, outcome, total } => self.on_counter_reply(*name, *outcome, *total),
            Event::HealthCheckEnded { .. } | Event::PeerMessage { .. } | Event::Timer => {}
        }
    }

    fn on_timer(&mut self, timer: TimerKind) {
        match timer {
            // Makes sure that each request is answered in time. A queued request is rejected earlier, while a
            // client retry can still meet its latency objective.
            TimerKind::RequestDeadline(id) => {
                if self.requests.get(&id).is_some_and(|request| !request.is_streaming) {
                    self.reject(id);
                }
            }
            TimerKind::QueueTimeout(id) => {
                if self.requests.get(&id).is_some_and(|request| request.in_flight == 0) {
                    self.reject(id);
                }
            }
            TimerKind::UsageReport(customer) => self.report_usage(customer),
            TimerKind::JoinRotation(customer) => self.join_rotation(customer),
            // No work here: every call of `handle` ends with a release.
            TimerKind::Release => {}
            TimerKind::Subscribe => self.actions.push(Action::Subscribe),
        }
    }

    /// Schedules another discovery call, well within the polling interval and with jitter, so that limiters
    /// do not call at the same time.
    fn on_discovery_failed(&mut self) {
        if let Discovery::Poll { interval } = self.settings.discovery {
            let min_wait = interval / DISCOVERY_RETRY_DIVISOR;
            let wait = min_wait + self.random.draw(self.now) % (min_wait + 1);
            self.timers.schedule(self.now + wait, TimerKind::Subscribe);
        }
    }

    /// Binds the request to the attempt that streams its answer: timeout and deadline no longer apply.
    fn on_stream_started(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.is_streaming = true;
        }
    }
}

/// Returns the priority weight of each tier, highest first.
fn tier_weights(classes: &[Class]) -> Vec<f64> {
    let mut weights: Vec<f64> = classes.iter().map(|class| class.priority_weight).collect();
    weights.sort_by(|a, b| b.total_cmp(a));
    weights.dedup();
    weights
}
