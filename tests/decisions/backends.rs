//! Simulated backends: latency grows with the attempts in flight, and all kinds of failures occur.

use sedgestack::{BackendId, BackendState, Endpoint, LoadReport, Micros, Outcome};

use crate::draws::Rng;

pub const MILLISECOND: Micros = 1_000;

const ZONES: u64 = 3;
const CELL_SIZE: usize = 2;
/// Attempts in flight, as a multiple of its slots, above which a backend rejects.
const MAX_IN_FLIGHT_FACTOR: usize = 3;
/// Share of failing connections to a backend that currently fails.
const FAILING_CONNECT_SHARE: f64 = 0.6;

/// A backend and its entry in the endpoint list.
pub struct Backend {
    pub name: BackendId,
    pub state: BackendState,
    pub started_at: Micros,
    pub in_flight: usize,
    /// Factor on the service time.
    pub slowness: f64,
    /// Time until which most connections to the backend fail.
    pub failing_until: Micros,
    zone: String,
    cell: u32,
    slots: usize,
}

/// The end of an attempt.
#[derive(Clone, Copy)]
pub struct AttemptEnd {
    pub outcome: Outcome,
    pub latency: Micros,
}

/// Parameters of an attempt.
#[derive(Clone, Copy)]
pub struct AttemptParams {
    pub units: f64,
    pub timeout: Option<Micros>,
    pub write_within: Option<Micros>,
}

impl Backend {
    pub fn new(number: usize, slots: usize, rng: &mut Rng) -> Backend {
        Backend {
            name: format!("b{number}").into(),
            state: BackendState::InService,
            started_at: 0,
            in_flight: 0,
            slowness: 0.7 + 0.6 * rng.fraction(),
            failing_until: 0,
            zone: format!("z{}", number as u64 % ZONES),
            cell: (number / CELL_SIZE) as u32,
            slots,
        }
    }

    /// Returns the backend's entry in an endpoint list, for limiters whose clock runs `scale` times as fast.
    pub fn endpoint(&self, scale: u64) -> Endpoint {
        Endpoint {
            backend: self.name.clone(),
            state: self.state,
            zone: self.zone.clone(),
            cell: self.cell,
            started_at: self.started_at * scale,
            weight: 1.0,
        }
    }

    /// Advances the life cycle: the backend drains, is gone, and returns as a new process.
    pub fn advance_state(&mut self, now: Micros, rng: &mut Rng) {
        self.state = match self.state {
            BackendState::InService if rng.chance(0.3) => {
                // A restart that the endpoint list does not show as an absence.
                self.started_at = now;
                BackendState::InService
            }
            BackendState::InService => BackendState::Draining,
            BackendState::Draining if rng.chance(0.3) => BackendState::InService,
            BackendState::Draining => BackendState::Gone,
            BackendState::Gone => {
                self.started_at = now;
                self.slowness = 0.7 + 0.6 * rng.fraction();
                BackendState::InService
            }
        };
    }

    /// Determines how an attempt that is sent now ends, unless it is canceled.
    pub fn attempt_end(
        &self,
        now: Micros,
        params: AttemptParams,
        service_time: Micros,
        failure_share: f64,
        rng: &mut Rng,
    ) -> AttemptEnd {
        let write_time = rng.below(3 * MILLISECOND);
        if params.write_within.is_some_and(|limit| limit < write_time) || rng.chance(failure_share / 8.0) {
            return AttemptEnd { outcome: Outcome::NotSent, latency: write_time };
        }
        let connect_fails = now < self.failing_until && rng.chance(FAILING_CONNECT_SHARE);
        if self.state == BackendState::Gone || connect_fails || rng.chance(failure_share / 8.0) {
            let latency = rng.between(MILLISECOND, 5 * MILLISECOND);
            return AttemptEnd { outcome: Outcome::ConnectFailed, latency };
        }
        if self.in_flight > MAX_IN_FLIGHT_FACTOR * self.slots || rng.chance(failure_share / 4.0) {
            let latency = rng.between(MILLISECOND, 3 * MILLISECOND);
            return AttemptEnd { outcome: Outcome::Rejected, latency };
        }
        let load_factor = 1.0 + self.in_flight as f64 / self.slots as f64;
        let noise = 0.4 + 1.2 * rng.fraction();
        let tail = if rng.chance(0.02) { 6.0 } else { 1.0 };
        let latency =
            (service_time as f64 * self.slowness * load_factor * noise * tail * params.units.max(0.5))
                as Micros;
        let outcome = if rng.chance(failure_share / 2.0) {
            rng.pick(&[Outcome::Error, Outcome::Reset])
        } else {
            Outcome::Ok
        };
        match params.timeout {
            Some(timeout) if timeout < latency => AttemptEnd { outcome: Outcome::TimedOut, latency: timeout },
            _ => AttemptEnd { outcome, latency: latency.max(1) },
        }
    }

    /// Returns a load report with a random selection of values.
    pub fn report(&self, latency: Micros, rng: &mut Rng) -> LoadReport {
        let utilization = (self.in_flight as f64 / self.slots as f64).min(1.0);
        LoadReport {
            queue: rng.chance(0.3).then_some(self.in_flight.saturating_sub(self.slots) as f64),
            in_flight: rng.chance(0.3).then_some(self.in_flight as f64),
            utilization: rng.chance(0.6).then_some(utilization),
            latency: rng.chance(0.3).then_some(latency),
        }
    }
}
