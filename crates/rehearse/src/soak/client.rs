//! Clients that send requests on persistent connections, sometimes abandon a request, and then reconnect.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::Rng;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::body::{content, draw_request_length, AnswerRequest};
use super::deployment::{Deployment, Idempotency};
use super::records::{ClientEnd, Records, RequestRecord};
use super::response::{read_head, ResponseHead};

/// How long a client waits after its deadline. A request whose response is later still counts as lost.
const RESPONSE_GRACE: Duration = Duration::from_millis(500);
/// Probability that a client abandons a request before the response.
const ABANDON_PROBABILITY: f64 = 0.08;
/// Probability that a client pauses in the middle of writing a request.
const SLOW_WRITE_PROBABILITY: f64 = 0.15;
/// Maximum pause in the middle of writing a request, in milliseconds. Limiters wait 2 s for the rest.
const MAX_WRITE_PAUSE_MS: u64 = 1_500;
/// Maximum pause between two requests of a client, in milliseconds.
const MAX_REQUEST_PAUSE_MS: u64 = 80;
/// Maximum time before a client abandons a request, in milliseconds.
const MAX_ABANDON_MS: u64 = 300;
/// Body of each `POST` request.
const BODY: &[u8] = b"a thesis";
/// Time within which a client reads the rest of a long answer.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// A client of one limiter.
pub struct Client {
    /// Number of the limiter.
    pub limiter: usize,
    /// Address of the limiter.
    pub address: SocketAddr,
    pub deployment: Arc<Deployment>,
    pub records: Arc<Records>,
    pub rng: StdRng,
    pub phase: watch::Receiver<Phase>,
}

/// What clients do at a time of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Clients open connections and send requests.
    Load,
    /// Clients send requests on open connections only.
    NoNewConnections,
    /// Clients finish the request in progress and stop.
    Finish,
}

/// Whether a connection is usable after a request.
#[derive(PartialEq)]
enum ConnectionState {
    Open,
    Closed,
}

impl Client {
    /// Sends requests as the phase allows; returns when no connection may be opened and the last one is closed.
    pub async fn run(mut self) {
        while *self.phase.borrow() == Phase::Load {
            if let Ok(mut stream) = TcpStream::connect(self.address).await {
                let _ = stream.set_nodelay(true);
                let mut is_reused = false;
                while *self.phase.borrow() != Phase::Finish
                    && self.send_request(&mut stream, is_reused).await == ConnectionState::Open
                {
                    is_reused = true;
                    self.pause().await;
                }
            }
            self.pause().await;
        }
    }

    async fn pause(&mut self) {
        let pause_ms = self.rng.random_range(0..=MAX_REQUEST_PAUSE_MS);
        sleep(Duration::from_millis(pause_ms)).await;
    }

    async fn send_request(&mut self, stream: &mut TcpStream, is_reused: bool) -> ConnectionState {
        let class = self.rng.random_range(0..self.deployment.classes.len());
        let id = new_request_id();
        let answer = self.deployment.has_long_bodies.then(|| AnswerRequest::draw(&mut self.rng)).flatten();
        let request = self.request(class, &id, answer);
        if self.write(stream, &request).await.is_err() {
            return ConnectionState::Closed;
        }
        let index = self.records.add_request(RequestRecord {
            id: id.clone(),
            class,
            limiter: self.limiter,
            sent_at: self.records.now(),
            on_reused_connection: is_reused,
            end: None,
        });
        let should_wait = self.rng.random_bool(1.0 - ABANDON_PROBABILITY);
        let wait = if should_wait {
            self.deployment.classes[class].deadline + RESPONSE_GRACE
        } else {
            Duration::from_millis(self.rng.random_range(0..=MAX_ABANDON_MS))
        };
        let head = timeout(wait, read_head(stream)).await;
        let end = match &head {
            Ok(Some(head)) => ClientEnd::Answered(head.status),
            Ok(None) => ClientEnd::Closed,
            Err(_) if should_wait => ClientEnd::Unanswered,
            Err(_) => ClientEnd::Left,
        };
        self.records.end_request(index, end);
        match head {
            Ok(Some(head)) if head.status == 200 => self.read_body(head, stream, &id, answer).await,
            // The limiter may close the connection after an error response, so the next request uses a new one.
            _ => ConnectionState::Closed,
        }
    }

    /// Reads the body of a 200 response and compares a long one with what the backend sent.
    async fn read_body(
        &self,
        head: ResponseHead,
        stream: &mut TcpStream,
        id: &str,
        answer: Option<AnswerRequest>,
    ) -> ConnectionState {
        let body = timeout(BODY_TIMEOUT, head.read_body(stream)).await;
        let problem = match (body, answer) {
            (Err(_), _) => "the answer did not end".into(),
            (Ok(None), _) => "the answer was broken off".into(),
            (Ok(Some(body)), Some(answer)) if !body.is_whole(answer.length) => {
                format!("{} bytes are not those of {answer:?}", body.received())
            }
            (Ok(Some(_)), _) => return ConnectionState::Open,
        };
        self.records.add_bad_body(id, problem);
        ConnectionState::Closed
    }

    /// Writes a request, sometimes with a pause in the middle.
    async fn write(&mut self, stream: &mut TcpStream, request: &[u8]) -> std::io::Result<()> {
        let is_slow = self.rng.random_bool(SLOW_WRITE_PROBABILITY);
        let (first, rest) = request.split_at(if is_slow { request.len() / 2 } else { 0 });
        if is_slow {
            stream.write_all(first).await?;
            sleep(Duration::from_millis(self.rng.random_range(0..=MAX_WRITE_PAUSE_MS))).await;
        }
        stream.write_all(rest).await
    }

    fn request(&mut self, class: usize, id: &str, answer: Option<AnswerRequest>) -> Vec<u8> {
        let long_body = self.deployment.has_long_bodies.then(|| draw_request_length(&mut self.rng)).flatten();
        let long_body = long_body.map(content);
        let class = &self.deployment.classes[class];
        let body = long_body.as_deref().unwrap_or(BODY);
        let (method, key, body) = match class.idempotency {
            Idempotency::Idempotent => ("GET", String::new(), &b""[..]),
            Idempotency::IdempotencyKey { .. } => ("POST", format!("Idempotency-Key: {id}\r\n"), body),
            Idempotency::NotIdempotent => ("POST", String::new(), body),
        };
        let length =
            if method == "GET" { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
        let head = format!(
            "{method} /{name}/00000000b4d65521{query} HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: {id}\r\n\
             X-Class: {name}\r\nX-Contract: large\r\nX-Deadline-Ms: {deadline}\r\n{key}\
             X-Metering: units=1,spread=1,first=0\r\n{length}\r\n",
            name = class.name,
            query = answer.map(|answer| answer.query()).unwrap_or_default(),
            deadline = class.deadline.as_millis(),
        );
        [head.as_bytes(), body].concat()
    }
}

/// Returns an id that is unique within the process.
pub fn new_request_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("9b1f03aa{:08x}", NEXT.fetch_add(1, Relaxed))
}
