//! Cost of a change of one endpoint, of a whole list and of a request by the number of backends, with few and with many
//! limiters. The results stand in `docs/operate/capacity-planner.md`.
//!
//! `cargo bench --bench large_fleet`

use std::hint::black_box;
use std::sync::Arc;

use criterion::{BatchSize, BenchmarkId, Criterion};
use sedgestack::{
    Action, AttemptResult, BackendState, Class, Endpoint, Event, Idempotency, Limiter, LoadReport, Micros,
    Outcome, Plan, Request, Settings, SlowStart,
};

/// Numbers of backends.
const BACKENDS: [usize; 4] = [12, 200, 1_000, 3_200];
/// Numbers of limiters: in few-limiters and in many-limiters mode.
const LIMITERS: [u32; 2] = [3, 900];
/// Time of the first event.
const START: Micros = 1_000_000_000;
/// Time between two events, and from a request to its answer.
const STEP: Micros = 5_000;

fn settings(limiters: u32) -> Settings {
    let class = Class {
        name: "read".into(),
        priority_weight: 1.0,
        latency_objective: 800_000,
        late_weight_share: 0.0,
        idempotency: Idempotency::Idempotent,
    };
    let plan = Plan {
        name: "free".into(),
        rate: 0.0,
        burst: 0.0,
        concurrency_limit: 0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        over_quota_cost: 0.5,
        price: 1.0,
    };
    let slow_start = SlowStart {
        initial_share: 0.2,
        duration: 10_000_000,
        overload_multiple: 4.0,
        overload_window: 2_000_000,
    };
    Settings {
        limiters,
        tick: 4_000,
        classes: vec![class],
        plans: vec![plan],
        slow_start,
        max_attempts: 4,
        max_units: 1.0,
        ..Settings::default()
    }
}

fn endpoint(number: usize, state: BackendState) -> Endpoint {
    let (backend, zone) = (format!("s-{number:08x}").into(), format!("room-{}", number % 3));
    Endpoint { backend, state, zone, cell: 0, started_at: 0, weight: 1.0 }
}

fn list(version: u64, complete: bool, endpoints: impl Iterator<Item = Endpoint>) -> Event {
    Event::EndpointsChanged { version, complete, endpoints: Arc::from_iter(endpoints) }
}

/// A limiter that knows its backends, and the time of its last event.
struct Fleet {
    limiter: Limiter,
    now: Micros,
    version: u64,
    request: u64,
}

impl Fleet {
    fn new(limiters: u32, backends: usize) -> Fleet {
        let limiter = Limiter::new(settings(limiters), 7).expect("valid settings");
        let mut fleet = Fleet { limiter, now: START, version: 0, request: 0 };
        fleet.replace_list(backends);
        fleet
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        self.now += STEP;
        self.limiter.handle(self.now, &[event])
    }

    fn replace_list(&mut self, backends: usize) {
        self.version += 1;
        let endpoints = (0..backends).map(|number| endpoint(number, BackendState::InService));
        let event = list(self.version, true, endpoints);
        black_box(self.handle(event));
    }

    /// Drains a backend, or returns it to service.
    fn change_one(&mut self, backends: usize) {
        self.version += 1;
        let number = (self.version / 2) as usize % backends;
        let state =
            if self.version.is_multiple_of(2) { BackendState::Draining } else { BackendState::InService };
        black_box(self.handle(list(self.version, false, std::iter::once(endpoint(number, state)))));
    }

    /// Decides a request and handles its answer.
    fn serve_request(&mut self) {
        self.request += 1;
        let request = Request {
            id: self.request,
            class: 0,
            plan: 0,
            customer: self.request % 100,
            spread: 3,
            units: 1.0,
            timeout: 3_000_000,
        };
        let actions = self.handle(Event::Request(request));
        for action in actions {
            if let Action::StartAttempt { request, .. } = action {
                black_box(self.handle(Event::AttemptEnded(AttemptResult {
                    request,
                    attempt: 0,
                    outcome: Outcome::Ok,
                    latency: STEP,
                    request_done: true,
                    metered_usage: None,
                    actual_units: None,
                    report: LoadReport::default(),
                })));
            }
        }
    }
}

fn bench_fleet(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("fleet");
    for limiters in LIMITERS {
        for backends in BACKENDS {
            let name = |work: &str| BenchmarkId::new(format!("{work}, {limiters} limiters"), backends);
            let mut fleet = Fleet::new(limiters, backends);
            group.bench_function(name("request"), |b| b.iter(|| fleet.serve_request()));
            let mut fleet = Fleet::new(limiters, backends);
            group.bench_function(name("change"), |b| b.iter(|| fleet.change_one(backends)));
            group.bench_function(name("whole list"), |b| {
                b.iter_batched_ref(
                    || Fleet::new(limiters, backends),
                    |fleet| fleet.replace_list(backends),
                    BatchSize::LargeInput,
                );
            });
        }
    }
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench_fleet(&mut criterion);
    criterion.final_summary();
}
