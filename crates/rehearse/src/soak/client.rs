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
use super::broken_answer::BreakOff;
use super::client_form::ClientForm;
use super::deployment::{Deployment, Idempotency};
use super::records::{ClientEnd, Records, RequestRecord};
use super::response::{read_head, EarlyEnd, ResponseHead};

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
/// Deadlines of clients that have less time than their class, in milliseconds.
const SHORT_DEADLINES_MS: [u64; 8] = [10, 15, 23, 40, 60, 100, 300, 500];
/// Probability that a client has less time, and that its answer breaks off, in a run with such answers.
const SHORT_DEADLINE_PROBABILITY: f64 = 0.4;
const BROKEN_ANSWER_PROBABILITY: f64 = 0.4;
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

/// A request that a client is about to send.
#[derive(Clone, Debug)]
struct DrawnRequest {
    /// Index of its class in the deployment.
    class: usize,
    id: String,
    /// How long the client waits.
    deadline: Duration,
    /// The answer that it asks for, if that is not a short one.
    answer: Option<AnswerRequest>,
    form: ClientForm,
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

    fn draw_request(&mut self) -> DrawnRequest {
        let class = self.rng.random_range(0..self.deployment.classes.len());
        let mut request = DrawnRequest {
            class,
            id: new_request_id(),
            deadline: self.deployment.classes[class].deadline,
            answer: None,
            form: ClientForm::Http11,
        };
        if self.deployment.has_long_bodies {
            request.answer = AnswerRequest::draw(&mut self.rng);
        }
        if self.deployment.has_broken_answers {
            request.form = ClientForm::draw(&mut self.rng);
            if self.rng.random_bool(SHORT_DEADLINE_PROBABILITY) {
                let index = self.rng.random_range(0..SHORT_DEADLINES_MS.len());
                request.deadline = Duration::from_millis(SHORT_DEADLINES_MS[index]);
            }
            if self.rng.random_bool(BROKEN_ANSWER_PROBABILITY) {
                request.answer = Some(BreakOff::draw_answer(&mut self.rng, request.deadline));
            }
        }
        request
    }

    async fn send_request(&mut self, stream: &mut TcpStream, is_reused: bool) -> ConnectionState {
        let drawn = self.draw_request();
        let request = self.request(&drawn);
        if self.write(stream, &request).await.is_err() {
            return ConnectionState::Closed;
        }
        let DrawnRequest { class, id, deadline, .. } = drawn.clone();
        let index = self.records.add_request(RequestRecord {
            id: id.clone(),
            class,
            limiter: self.limiter,
            deadline,
            sent_at: self.records.now(),
            on_reused_connection: is_reused,
            end: None,
        });
        let should_wait = self.rng.random_bool(1.0 - ABANDON_PROBABILITY);
        let wait = if should_wait {
            deadline + RESPONSE_GRACE
        } else {
            Duration::from_millis(self.rng.random_range(0..=MAX_ABANDON_MS))
        };
        let head = timeout(wait, read_head(stream)).await;
        let end = match &head {
            Ok(Ok(head)) => ClientEnd::Answered(head.status),
            Ok(Err(EarlyEnd::NoByte)) => ClientEnd::Closed,
            Ok(Err(EarlyEnd::WithinHead)) => ClientEnd::ClosedWithinHead,
            Err(_) if should_wait => ClientEnd::Unanswered,
            Err(_) => ClientEnd::Left,
        };
        self.records.end_request(index, end);
        match head {
            Ok(Ok(head)) if head.status == 200 => self.read_body(head, stream, &drawn).await,
            // The limiter may close the connection after an error response, so the next request uses a new one.
            _ => ConnectionState::Closed,
        }
    }

    /// Reads the body of a 200 response and compares a long one with what the backend sent.
    async fn read_body(
        &self,
        head: ResponseHead,
        stream: &mut TcpStream,
        request: &DrawnRequest,
    ) -> ConnectionState {
        let body = timeout(BODY_TIMEOUT, head.read_body(stream)).await;
        let may_break_off = request.answer.is_some_and(|answer| answer.break_off.is_some());
        let problem = match (body, request.answer) {
            (Err(_), _) => "the answer did not end".into(),
            (Ok(None), _) if may_break_off => return ConnectionState::Closed,
            (Ok(None), _) => "the answer was broken off".into(),
            (Ok(Some(body)), Some(answer)) if !body.is_whole(answer.length) => {
                format!("{} bytes are not those of {answer:?}", body.received())
            }
            (Ok(Some(_)), _) if request.form.keeps_connection() => return ConnectionState::Open,
            (Ok(Some(_)), _) => return ConnectionState::Closed,
        };
        self.records.add_bad_body(&request.id, problem);
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

    /// Returns the bytes of a request.
    fn request(&mut self, drawn: &DrawnRequest) -> Vec<u8> {
        let DrawnRequest { class, id, deadline, answer, form } = drawn;
        let long_body = self.deployment.has_long_bodies.then(|| draw_request_length(&mut self.rng)).flatten();
        let long_body = long_body.map(content);
        let class = &self.deployment.classes[*class];
        let body = long_body.as_deref().unwrap_or(BODY);
        let (method, key, body) = match class.idempotency {
            Idempotency::Idempotent => ("GET", String::new(), &b""[..]),
            Idempotency::IdempotencyKey { .. } => ("POST", format!("Idempotency-Key: {id}\r\n"), body),
            Idempotency::NotIdempotent => ("POST", String::new(), body),
        };
        let length =
            if method == "GET" { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
        let head = format!(
            "{method} /{name}/00000000b4d65521{query} {version}\r\nHost: backend.local\r\nX-Request-Id: {id}\r\n\
             X-Class: {name}\r\nX-Contract: large\r\nX-Deadline-Ms: {deadline}\r\n{key}{form}\
             X-Metering: units=1,spread=1,first=0\r\n{length}\r\n",
            name = class.name,
            version = form.version(),
            form = form.header(),
            query = answer.map(|answer| answer.query()).unwrap_or_default(),
            deadline = deadline.as_millis(),
        );
        [head.as_bytes(), body].concat()
    }
}

/// Returns an id that is unique within the process.
pub fn new_request_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("9b1f03aa{:08x}", NEXT.fetch_add(1, Relaxed))
}
