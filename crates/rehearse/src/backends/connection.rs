//! A connection from a limiter to a backend, and the responses to its requests.

use std::convert::Infallible;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rand::Rng;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use sedgestack_fleet::{BackendKind, BackendLocation, Idempotency, KeyScope, Micros};
use sedgestack_model::backend::Job;
use sedgestack_model::{attempt_noise, REPEAT_WORK};

use super::machine::{Command, JobOutcome};
use super::{ScopedKey, Shared};
use crate::request_log::RequestDetails;
use crate::sync::locked;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;
/// Deadline of a request without a valid `x-deadline-ms` header.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(600);

/// A connection from a limiter.
pub struct Connection {
    shared: Arc<Shared>,
    location: BackendLocation,
    commands: mpsc::Sender<Command>,
    load_report: Arc<Mutex<String>>,
    /// Whether the connection has carried no request yet.
    is_fresh: AtomicBool,
}

/// Whether a request may have been processed.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Execution {
    /// The request was not processed; the response says so.
    NotRun,
    /// The response does not say.
    Unknown,
}

/// Serves a connection until it is closed.
pub async fn serve(stream: TcpStream, connection: Arc<Connection>) {
    let _ = stream.set_nodelay(true);
    // Closing the connection resets it, as when a process crashes.
    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    let service = service_fn(move |request| {
        let connection = connection.clone();
        async move { Ok::<_, Infallible>(connection.respond(request).await) }
    });
    let served = hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // The limiter records how the connection ended.
    let _ = served.await;
}

/// Cancels a job when it is dropped before the job's outcome is known, because the limiter closed the connection.
struct CancelOnDrop {
    id: u64,
    commands: mpsc::Sender<Command>,
    is_answered: bool,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if !self.is_answered {
            let _ = self.commands.try_send(Command::Cancel(self.id));
        }
    }
}

impl Connection {
    pub fn new(
        shared: Arc<Shared>,
        location: BackendLocation,
        commands: mpsc::Sender<Command>,
        load_report: Arc<Mutex<String>>,
    ) -> Connection {
        Connection { shared, location, commands, load_report, is_fresh: AtomicBool::new(true) }
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (head, body) = request.into_parts();
        let Some(id) = header(&head, "x-request-id") else {
            return self.response(StatusCode::NOT_FOUND, Execution::Unknown, String::new());
        };
        if Limited::new(body, MAX_BODY_BYTES).collect().await.is_err() {
            return self.response(StatusCode::BAD_REQUEST, Execution::Unknown, String::new());
        }
        let Some(details) = self.shared.request_log.record_arrival(id) else {
            return self.response(StatusCode::BAD_REQUEST, Execution::Unknown, String::new());
        };
        let work = self.compute_work(&details);
        let should_fail = self.draw_failure();
        let job = self.new_job(work, deadline(&head));
        match self.run_job(job).await {
            Some(JobOutcome::Done) if should_fail => {
                self.response(StatusCode::INTERNAL_SERVER_ERROR, Execution::Unknown, String::new())
            }
            Some(JobOutcome::Done) => {
                self.response(StatusCode::OK, Execution::Unknown, format!("report {id}\n"))
            }
            Some(JobOutcome::QueueFull) | None => {
                self.response(StatusCode::SERVICE_UNAVAILABLE, Execution::NotRun, String::new())
            }
            Some(JobOutcome::Expired) => {
                self.response(StatusCode::GATEWAY_TIMEOUT, Execution::NotRun, String::new())
            }
        }
    }

    fn kind(&self) -> &BackendKind {
        &self.shared.fleet.backend_kinds[self.location.kind]
    }

    /// Computes the work of an attempt: the request's work with random noise, or only a lookup for a known idempotency
    /// key, plus the handshake on a new connection.
    fn compute_work(&self, details: &RequestDetails) -> f64 {
        let class = &self.shared.fleet.classes[details.class];
        let mut work = details.work * attempt_noise(class, &mut locked(&self.shared.rng));
        if let Idempotency::IdempotencyKey { scope, window } = class.idempotency {
            if self.is_repeat(details.arrival, scope, Duration::from_micros(window)) {
                work = REPEAT_WORK;
            }
        }
        if self.is_fresh.swap(false, Relaxed) {
            work += self.kind().handshake as f64;
        }
        work
    }

    /// Whether an idempotency key is known in its scope. Stores an unknown key for the length of the window.
    fn is_repeat(&self, arrival: u64, scope: KeyScope, window: Duration) -> bool {
        let scope = match scope {
            KeyScope::Pod => self.location.pod,
            KeyScope::Zone => self.location.zone as u32,
            KeyScope::All => 0,
        };
        let now = Instant::now();
        let mut keys = locked(&self.shared.keys);
        let known_until = keys.entry(ScopedKey { arrival, scope }).or_insert(now);
        if *known_until > now {
            return true;
        }
        *known_until = now + window;
        false
    }

    /// Draws whether an attempt fails after it was processed.
    fn draw_failure(&self) -> bool {
        let share = self.kind().error_share;
        share > 0.0 && locked(&self.shared.rng).random::<f64>() < share
    }

    fn new_job(&self, work: f64, deadline: Duration) -> Job {
        let id = self.shared.next_job_id.fetch_add(1, Relaxed);
        let expires = self.shared.origin.elapsed() + deadline;
        Job { id, work, expires: expires.as_micros() as Micros }
    }

    /// Submits a job to the state machine and waits for its outcome. Returns `None` if the machine has stopped.
    async fn run_job(&self, job: Job) -> Option<JobOutcome> {
        let (outcome, receiver) = oneshot::channel();
        self.commands.send(Command::Submit { job, outcome }).await.ok()?;
        let mut guard = CancelOnDrop { id: job.id, commands: self.commands.clone(), is_answered: false };
        let outcome = receiver.await;
        guard.is_answered = true;
        // A machine that stops while a job is running does not complete it.
        Some(outcome.unwrap_or(JobOutcome::Expired))
    }

    fn response(&self, status: StatusCode, execution: Execution, body: String) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::new(Bytes::from(body)));
        *response.status_mut() = status;
        let headers = response.headers_mut();
        if execution == Execution::NotRun {
            headers.insert("x-not-run", HeaderValue::from_static("1"));
        }
        if let Ok(load) = locked(&self.load_report).parse() {
            headers.insert("x-load", load);
        }
        response
    }
}

fn header<'a>(head: &'a Parts, name: &str) -> Option<&'a str> {
    head.headers.get(name)?.to_str().ok()
}

fn deadline(head: &Parts) -> Duration {
    let deadline_ms = header(head, "x-deadline-ms").and_then(|text| text.parse().ok());
    deadline_ms.map_or(DEFAULT_DEADLINE, Duration::from_millis)
}
