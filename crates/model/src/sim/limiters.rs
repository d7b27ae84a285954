//! Limiters: each runs a real [`Limiter`] with an inbox, limited CPU, and connections to backends.

use std::collections::BTreeMap;

use sedgestack::{BackendState, Endpoint, Event as LimiterEvent, Limiter, VersionIndices};
use sedgestack_fleet::{platform, Fleet, Micros};

use super::clients::Answer;
use super::events::Event;
use super::inbox::CPU_OTHER;
use super::World;
use crate::gauges::Second;
use crate::score::SECOND;
use crate::streams::mix_bits;

/// Number of file descriptors that a limiter uses in addition to connections of clients and to backends.
const BASE_SOCKETS: usize = 40;

/// An idle connection to a backend.
pub struct IdleConnection {
    /// When the connection became idle.
    pub since: Micros,
    /// The incarnation of the backend to which it was opened.
    pub incarnation: u32,
}

/// A limiter of a run.
pub struct SimulatedLimiter {
    /// The decision logic.
    pub(super) decisions: Limiter,
    /// The indices of the classes and plans of the active version.
    pub(super) indices: VersionIndices,
    pub(super) is_up: bool,
    pub(super) incarnation: u32,
    pub(super) inbox: Vec<LimiterEvent>,
    /// CPU time that the events in the inbox take, in microseconds.
    pub(super) inbox_cpu_time: f64,
    /// Whether an event that handles the inbox is scheduled.
    pub(super) is_scheduled: bool,
    /// When the CPU is done with the events handled so far.
    pub(super) free_at: Micros,
    /// CPU time used since the last reading of the gauges, in microseconds.
    pub(super) busy: f64,
    /// Idle connections by backend.
    pub(super) idle: Vec<Vec<IdleConnection>>,
    /// Number of connections to backends, idle or in use.
    pub(super) connections: usize,
    /// Number of connections of clients.
    pub(super) clients: usize,
    endpoints_version: u64,
    /// Calls to the quota counter in flight: names by serial number.
    pub(super) calls: BTreeMap<u64, u64>,
    pub(super) last_serial: u64,
    /// Whether the last call to the quota counter was answered.
    pub(super) is_counter_answering: bool,
}

/// Gives a limiter the classes and plans of `fleet`. `number` is the number of the limiter.
fn adopt_version(decisions: &mut Limiter, fleet: &Fleet, number: u32) -> VersionIndices {
    let (settings, _) = platform::settings(fleet, number);
    decisions
        .adopt_version(&settings.classes, &settings.plans)
        .expect("a version has the classes and plans of the fleet")
}

impl World<'_> {
    /// Activates a version on all limiters. A limiter that is down starts with the active version.
    pub(super) fn activate_change(&mut self, change: u32) {
        self.active_changes = change as usize + 1;
        let fleet = self.changes[change as usize].fleet.clone();
        self.scorer.on_configuration_change(&fleet);
        for (number, limiter) in self.limiters.iter_mut().enumerate() {
            limiter.indices = adopt_version(&mut limiter.decisions, &fleet, number as u32);
        }
    }

    pub(super) fn start_limiters(&mut self) {
        for number in 0..self.limiter_zones.len() as u32 {
            let limiter = self.new_limiter(number, 0);
            self.limiters.push(limiter);
            self.notify_all_endpoints(number);
        }
    }

    fn new_limiter(&self, number: u32, incarnation: u32) -> SimulatedLimiter {
        let (settings, _) = platform::settings(self.fleet, number);
        let seed = mix_bits(self.seed ^ mix_bits(u64::from(number) << 32 | u64::from(incarnation)));
        let mut decisions = Limiter::new(settings, seed).expect("a validated fleet gives valid settings");
        let active = self.active_changes.checked_sub(1).map(|change| &self.changes[change].fleet);
        let indices = adopt_version(&mut decisions, active.unwrap_or(self.fleet), number);
        SimulatedLimiter {
            decisions,
            indices,
            is_up: true,
            incarnation,
            inbox: Vec::new(),
            inbox_cpu_time: 0.0,
            is_scheduled: false,
            free_at: self.now,
            busy: 0.0,
            idle: (0..self.locations.len()).map(|_| Vec::new()).collect(),
            connections: 0,
            clients: 0,
            endpoints_version: 0,
            calls: BTreeMap::new(),
            last_serial: 0,
            is_counter_answering: true,
        }
    }

    /// Kills the process of a limiter. Its open tries and attempts are lost.
    pub(super) fn kill_limiter(&mut self, number: u32) {
        self.limiters[number as usize].is_up = false;
        self.close_idle_connections(number);
        self.lose_open_tries(number);
        self.lose_open_attempts(number);
    }

    fn close_idle_connections(&mut self, number: u32) {
        for backend in 0..self.backends.len() {
            let idle = std::mem::take(&mut self.limiters[number as usize].idle[backend]);
            for connection in idle {
                self.close_connection(backend as u32, connection.incarnation);
            }
        }
    }

    /// Ends the open tries of a limiter that died. Their clients get an error, unless the zone is unreachable.
    fn lose_open_tries(&mut self, number: u32) {
        let incarnation = self.limiters[number as usize].incarnation;
        let is_silent = self.is_zone_silent(self.limiter_zones[number as usize]);
        for request in 0..self.tries.len() {
            let client_try = &mut self.tries[request];
            let is_own = client_try.limiter == number && client_try.incarnation == incarnation;
            if !client_try.is_open || !is_own {
                continue;
            }
            client_try.is_open = false;
            client_try.is_answered = true;
            self.counts.lost += 1;
            if !is_silent {
                let delay = self.jittered(self.fleet.delays.client);
                let request = request as u32;
                self.at(self.now + delay, Event::AtClient { request, answer: Answer::Failed });
            }
        }
    }

    fn lose_open_attempts(&mut self, number: u32) {
        let incarnation = self.limiters[number as usize].incarnation;
        for index in 0..self.attempts.len() {
            let attempt = &self.attempts[index];
            if !attempt.is_ended && attempt.limiter == number && attempt.incarnation == incarnation {
                self.end_connection(index as u32);
                self.attempts[index].is_ended = true;
            }
        }
    }

    pub(super) fn restart_limiter(&mut self, number: u32) {
        let incarnation = self.limiters[number as usize].incarnation + 1;
        self.limiters[number as usize] = self.new_limiter(number, incarnation);
        self.notify_all_endpoints(number);
    }

    /// Sends the complete endpoint list to a limiter.
    fn notify_all_endpoints(&mut self, number: u32) {
        let endpoints: Vec<Endpoint> =
            (0..self.backends.len() as u32).map(|backend| self.endpoint(backend)).collect();
        let event =
            LimiterEvent::EndpointsChanged { version: 1, complete: true, endpoints: endpoints.into() };
        self.limiters[number as usize].endpoints_version = 1;
        self.deliver(number, event, CPU_OTHER);
    }

    fn endpoint(&self, backend: u32) -> Endpoint {
        let (location, host) = (&self.locations[backend as usize], &self.backends[backend as usize]);
        Endpoint {
            backend: self.backend_ids[backend as usize].clone(),
            state: if host.is_listed { BackendState::InService } else { BackendState::Gone },
            zone: self.fleet.zones[location.zone].name.clone(),
            cell: location.pod,
            started_at: host.started_at.unwrap_or(0),
            weight: 1.0,
        }
    }

    /// Notifies a limiter of the state of one endpoint, unless the limiter is down or the endpoint has a later version.
    pub(super) fn on_endpoint_changed(&mut self, number: u32, backend: u32, version: u64) {
        if !self.limiters[number as usize].is_up || self.backends[backend as usize].version != version {
            return;
        }
        let endpoint = self.endpoint(backend);
        let limiter = &mut self.limiters[number as usize];
        limiter.endpoints_version += 1;
        let version = limiter.endpoints_version;
        let event = LimiterEvent::EndpointsChanged { version, complete: false, endpoints: [endpoint].into() };
        self.deliver(number, event, CPU_OTHER);
    }

    pub(super) fn gauge_limiters(&mut self, second: &mut Second) {
        for limiter in &mut self.limiters {
            let busy = std::mem::take(&mut limiter.busy);
            second.limiter_cpu = second.limiter_cpu.max(busy / SECOND as f64);
            let sockets = (limiter.clients + limiter.connections + BASE_SOCKETS) as f64;
            let share = sockets / f64::from(self.fleet.limiter.sockets);
            second.limiter_sockets = second.limiter_sockets.max(share);
        }
    }
}
