//! The load player: sends the requests of the demand as clients would, each with a timeout and at most one retry.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::http::response::Parts;
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use rand::Rng;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

use sedgestack_fleet::{Fleet, Idempotency, Micros};
use sedgestack_model::demand::{draw_limiter, Arrival};
use sedgestack_model::score::FirstTry;
use sedgestack_model::streams::{mix_bits, stream, Concern, Stream};

use crate::request_log::{RequestDetails, RequestLog};
use crate::sync::locked;
use crate::Rehearsal;

/// Body of each `POST` request; its content does not matter.
const BODY: &[u8] = b"a text to be checked";
/// Interval between progress reports.
const PROGRESS_INTERVAL: Micros = 1_000_000;
/// The reported percentile of the load player's lateness.
const LATENESS_PERCENTILE: usize = 99;

/// The results of playing the load, as described at [`RehearsalReport`](crate::RehearsalReport).
#[derive(Default)]
pub struct LoadOutcome {
    pub lateness_ms: f64,
    pub retries: u64,
    pub served: u64,
    pub rejected: u64,
    pub failed: u64,
    pub timed_out: u64,
}

/// Number of retries, and of tries by outcome.
#[derive(Default)]
struct Counters {
    retries: AtomicU64,
    served: AtomicU64,
    rejected: AtomicU64,
    failed: AtomicU64,
    timed_out: AtomicU64,
}

/// All clients of the load.
struct Clients {
    fleet: Fleet,
    seed: u64,
    daemons: Vec<SocketAddr>,
    request_log: Arc<RequestLog>,
    http: Client<HttpConnector, Full<Bytes>>,
    rng: Mutex<Stream>,
    next_id: AtomicU64,
    start: Instant,
    counters: Counters,
}

/// How a try ended.
enum TryOutcome {
    Served,
    /// Rejected, with the time that the limiter asked the client to wait before a retry.
    Rejected(Duration),
    Failed,
    TimedOut,
}

/// Sends the requests of the demand, with times relative to `start`, and waits for the last response.
pub async fn play(
    rehearsal: &Rehearsal<'_>,
    start: Instant,
    daemons: &[SocketAddr],
    request_log: Arc<RequestLog>,
) -> LoadOutcome {
    let clients = Arc::new(Clients::new(rehearsal, start, daemons, request_log));
    let mut open = JoinSet::new();
    let mut lateness_ms = Vec::with_capacity(rehearsal.demand.arrivals.len());
    let mut next_progress = 0;
    for (n, arrival) in rehearsal.demand.arrivals.iter().enumerate() {
        let at = start + Duration::from_micros(arrival.at);
        sleep_until(at).await;
        lateness_ms.push(at.elapsed().as_secs_f64() * 1e3);
        open.spawn(clients.clone().send_with_retry(n as u64, *arrival));
        while open.try_join_next().is_some() {}
        if arrival.at >= next_progress {
            next_progress = arrival.at + PROGRESS_INTERVAL;
            (rehearsal.progress)(arrival.at as f64 / rehearsal.demand.length.max(1) as f64);
        }
    }
    while open.join_next().await.is_some() {}
    (rehearsal.progress)(1.0);
    clients.counters.outcome(percentile(lateness_ms))
}

/// Returns the [`LATENESS_PERCENTILE`] of the values.
fn percentile(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() * LATENESS_PERCENTILE / 100).copied().unwrap_or(0.0)
}

impl Counters {
    fn outcome(&self, lateness_ms: f64) -> LoadOutcome {
        LoadOutcome {
            lateness_ms,
            retries: self.retries.load(Relaxed),
            served: self.served.load(Relaxed),
            rejected: self.rejected.load(Relaxed),
            failed: self.failed.load(Relaxed),
            timed_out: self.timed_out.load(Relaxed),
        }
    }
}

impl Clients {
    fn new(
        rehearsal: &Rehearsal<'_>,
        start: Instant,
        daemons: &[SocketAddr],
        request_log: Arc<RequestLog>,
    ) -> Clients {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Clients {
            fleet: rehearsal.fleet.clone(),
            seed: rehearsal.seed,
            daemons: daemons.to_vec(),
            request_log,
            http: Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build(connector),
            rng: Mutex::new(stream(rehearsal.seed, Concern::Clients, u64::MAX)),
            next_id: AtomicU64::new(1),
            start,
            counters: Counters::default(),
        }
    }

    /// Draws a random number from 0 to 1.
    fn draw(&self) -> f64 {
        locked(&self.rng).random()
    }

    /// Sends a first try, and possibly a retry if it is not served.
    async fn send_with_retry(self: Arc<Self>, n: u64, arrival: Arrival) {
        let Arrival { class, plan, customer, units, .. } = arrival;
        self.request_log.record_first_try(n, |at| FirstTry { at, class, plan, customer, units });
        let Some(retry_after) = self.try_once(n, &arrival).await else { return };
        let clients = &self.fleet.clients;
        let should_retry = self.draw() < clients.retries;
        let honours_retry_after = self.draw() < clients.honour_share;
        if should_retry {
            let backoff = Duration::from_micros(clients.backoff);
            sleep(if honours_retry_after { retry_after.max(backoff) } else { backoff }).await;
            self.counters.retries.fetch_add(1, Relaxed);
            self.request_log.record_retry(n);
            if self.try_once(n, &arrival).await.is_none() {
                return;
            }
        }
        self.request_log.record_closed(n);
    }

    /// Sends and records one try. Returns `None` if it was served, or else the time that the limiter asked the client
    /// to wait, which is zero without a rejection.
    async fn try_once(&self, n: u64, arrival: &Arrival) -> Option<Duration> {
        let (counter, retry_after) = match self.send(n, arrival).await {
            TryOutcome::Served => {
                self.request_log.record_served(n);
                (&self.counters.served, None)
            }
            TryOutcome::Rejected(retry_after) => (&self.counters.rejected, Some(retry_after)),
            TryOutcome::Failed => (&self.counters.failed, Some(Duration::ZERO)),
            TryOutcome::TimedOut => (&self.counters.timed_out, Some(Duration::ZERO)),
        };
        counter.fetch_add(1, Relaxed);
        retry_after
    }

    /// Sends one request and waits for its response, at most until the client's timeout.
    async fn send(&self, n: u64, arrival: &Arrival) -> TryOutcome {
        let deadline = Instant::now() + Duration::from_micros(arrival.timeout);
        let limiter = self.choose_limiter(arrival);
        let id = format!("{:016x}", mix_bits(self.next_id.fetch_add(1, Relaxed) ^ self.seed));
        let details = RequestDetails { arrival: n, class: arrival.class, work: arrival.work };
        self.request_log.open(&id, details);
        let request = self.request(n, arrival, limiter, &id);
        let exchange = async {
            let response = self.http.request(request).await.ok()?;
            let (head, body) = response.into_parts();
            let body = body.collect().await.ok()?;
            Some((head, body.to_bytes()))
        };
        match timeout_at(deadline, exchange).await {
            Err(_) => TryOutcome::TimedOut,
            Ok(None) => TryOutcome::Failed,
            Ok(Some((head, body))) => try_outcome(&head, &body, &id),
        }
    }

    /// Selects the limiter that receives a try, as the model does.
    fn choose_limiter(&self, arrival: &Arrival) -> u32 {
        let limiters = self.daemons.len() as u32;
        let now = self.start.elapsed().as_micros() as Micros;
        let down = vec![false; self.daemons.len()];
        draw_limiter(&self.fleet.load, self.seed, arrival, now, limiters, &down, &mut locked(&self.rng))
    }

    fn request(&self, n: u64, arrival: &Arrival, limiter: u32, id: &str) -> Request<Full<Bytes>> {
        let class = &self.fleet.classes[arrival.class];
        let address = self.daemons[limiter as usize];
        let limiters = self.daemons.len() as u32;
        let (spread, first) = (arrival.spread.clamp(1, limiters), arrival.first_limiter % limiters);
        let request = Request::builder()
            .uri(format!("http://{address}/{}/{:016x}", class.name, arrival.customer))
            .header("x-request-id", id)
            .header("x-class", &class.name)
            .header("x-contract", &self.fleet.plans[arrival.plan].name)
            .header("x-deadline-ms", arrival.timeout / 1_000)
            .header("x-metering", format!("units={},spread={spread},first={first}", arrival.units));
        let request = if matches!(class.idempotency, Idempotency::Idempotent) {
            request.body(Full::new(Bytes::new()))
        } else {
            let key = format!("{:016x}{:016x}", mix_bits(self.seed ^ n), n);
            let request = request.method(Method::POST).header("idempotency-key", key);
            request.body(Full::new(Bytes::from_static(BODY)))
        };
        request.expect("the request is valid")
    }
}

/// Derives the outcome of a try from its response.
fn try_outcome(head: &Parts, body: &Bytes, id: &str) -> TryOutcome {
    match head.status {
        StatusCode::OK if body == format!("report {id}\n").as_bytes() => TryOutcome::Served,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            TryOutcome::Rejected(retry_after(head))
        }
        _ => TryOutcome::Failed,
    }
}

/// Returns the time in `Retry-After`, or zero if the header is missing or invalid.
fn retry_after(head: &Parts) -> Duration {
    let value = head.headers.get("retry-after").and_then(|value| value.to_str().ok()?.parse().ok());
    let seconds = value.filter(|seconds: &f64| seconds.is_finite() && *seconds >= 0.0);
    Duration::from_secs_f64(seconds.unwrap_or(0.0))
}
