//! The stand-in for discovery: implements the platform's protocol with an agent for each limiter. Each agent learns of
//! a change after its own random delay.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rand::Rng;
use serde_json::{json, Value};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

use sedgestack_fleet::{Fleet, Micros};
use sedgestack_model::streams::{stream, Concern, Stream};

use crate::sync::locked;
use crate::{io, Failure};

/// Interval of the empty lines sent on an idle watch.
const HEARTBEAT: Duration = Duration::from_secs(2);

/// Maximum number of lines of a watch that wait to be written.
const MAX_PENDING_LINES: usize = 16;

/// The endpoint list of one limiter's agent.
struct Agent {
    endpoints: Vec<Value>,
    /// The changes since version 1, in order.
    changes: Vec<Value>,
}

impl Agent {
    fn version(&self) -> usize {
        self.changes.len() + 1
    }

    fn full_list(&self) -> Value {
        json!({"version": self.version(), "full": true, "servers": self.endpoints})
    }

    /// Returns the update for a watch that has received `version`, or `None` if nothing changed since then.
    fn update_since(&self, version: usize) -> Option<Value> {
        let current = self.version();
        if version == 0 || version > current {
            return Some(self.full_list());
        }
        if version == current {
            return None;
        }
        let changes = &self.changes[version - 1..];
        Some(json!({"version": current, "full": false, "servers": changes}))
    }

    fn apply(&mut self, endpoint: Value) {
        match self.endpoints.iter_mut().find(|known| known["id"] == endpoint["id"]) {
            Some(known) => *known = endpoint.clone(),
            None => self.endpoints.push(endpoint.clone()),
        }
        self.changes.push(endpoint);
    }
}

/// An agent, and the channel that notifies its watches of new versions.
struct AgentSlot {
    agent: Mutex<Agent>,
    version: watch::Sender<usize>,
}

/// An endpoint's current record.
struct Endpoint {
    record: Value,
    /// Number of the endpoint's last change. An agent that has yet to apply an earlier change skips it.
    last_change: u64,
}

/// Range of the time that a change takes to reach an agent.
#[derive(Clone, Copy)]
struct DelayRange {
    low: Micros,
    high: Micros,
}

impl DelayRange {
    fn new((low, high): (Micros, Micros)) -> DelayRange {
        DelayRange { low, high }
    }

    fn draw(self, rng: &Mutex<Stream>) -> Duration {
        let delay =
            if self.high > self.low { locked(rng).random_range(self.low..=self.high) } else { self.low };
        Duration::from_micros(delay)
    }
}

struct Shared {
    agents: Vec<AgentSlot>,
    endpoints: Mutex<Vec<Endpoint>>,
    rng: Mutex<Stream>,
    removal_delay: DelayRange,
    addition_delay: DelayRange,
}

/// Running discovery agents.
#[derive(Clone)]
pub struct Discovery {
    /// Address of each limiter's agent.
    pub addresses: Vec<SocketAddr>,
    shared: Arc<Shared>,
}

impl Discovery {
    /// Starts an agent for each limiter, with `endpoints` as version 1 of its list.
    pub async fn start(fleet: &Fleet, seed: u64, endpoints: Vec<Value>) -> Result<Discovery, Failure> {
        let agent = |_| AgentSlot {
            agent: Mutex::new(Agent { endpoints: endpoints.clone(), changes: Vec::new() }),
            version: watch::channel(1).0,
        };
        let agents = (0..fleet.limiter_count()).map(agent).collect();
        let endpoints = endpoints.into_iter().map(|record| Endpoint { record, last_change: 0 }).collect();
        let shared = Arc::new(Shared {
            agents,
            endpoints: Mutex::new(endpoints),
            rng: Mutex::new(stream(seed, Concern::Discovery, 0)),
            removal_delay: DelayRange::new(fleet.discovery.removal_delay),
            addition_delay: DelayRange::new(fleet.discovery.addition_delay),
        });
        let mut addresses = Vec::new();
        for number in 0..fleet.limiter_count() as usize {
            let listener = TcpListener::bind("127.0.0.1:0").await.map_err(io("discovery agent socket"))?;
            addresses.push(listener.local_addr().map_err(io("discovery agent address"))?);
            tokio::spawn(serve(listener, shared.clone(), number));
        }
        Ok(Discovery { addresses, shared })
    }

    /// Marks a backend as gone. Each agent learns of it after a random delay.
    pub fn remove(&self, backend: usize) {
        self.announce(backend, self.shared.removal_delay, |record| record["state"] = "Gone".into());
    }

    /// Marks a backend as ready again, with the time of its start in Unix milliseconds.
    pub fn add_back(&self, backend: usize, started_ms: u64) {
        self.announce(backend, self.shared.addition_delay, |record| {
            record["state"] = "Ready".into();
            record["started_ms"] = started_ms.into();
        });
    }

    /// Changes an endpoint's record, and delivers the change to each agent after a random delay.
    fn announce(&self, backend: usize, delay: DelayRange, change: impl FnOnce(&mut Value)) {
        let (record, change_number) = {
            let mut endpoints = locked(&self.shared.endpoints);
            let endpoint = &mut endpoints[backend];
            change(&mut endpoint.record);
            endpoint.last_change += 1;
            (endpoint.record.clone(), endpoint.last_change)
        };
        for number in 0..self.shared.agents.len() {
            let delay = delay.draw(&self.shared.rng);
            let (shared, record) = (self.shared.clone(), record.clone());
            tokio::spawn(async move {
                sleep(delay).await;
                if locked(&shared.endpoints)[backend].last_change == change_number {
                    shared.agents[number].apply(record);
                }
            });
        }
    }
}

impl AgentSlot {
    /// Applies a change and notifies the watches.
    fn apply(&self, record: Value) {
        let version = {
            let mut agent = locked(&self.agent);
            agent.apply(record);
            agent.version()
        };
        self.version.send_replace(version);
    }
}

/// Serves the connections to one agent.
async fn serve(listener: TcpListener, shared: Arc<Shared>, number: usize) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let shared = shared.clone();
        let service = service_fn(move |request| respond(shared.clone(), number, request));
        tokio::spawn(
            hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service),
        );
    }
}

type Body = BoxBody<Bytes, Infallible>;

async fn respond(
    shared: Arc<Shared>,
    number: usize,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    if request.uri().path() != "/v1/endpoints" {
        return Ok(text_response(StatusCode::NOT_FOUND, String::new()));
    }
    let query = request.uri().query().unwrap_or_default();
    let parameter = |name: &str| query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('='));
    if parameter("stream") != Some("1") {
        let list = locked(&shared.agents[number].agent).full_list();
        return Ok(text_response(StatusCode::OK, list.to_string()));
    }
    let version = parameter("index").and_then(|index| index.parse().ok()).unwrap_or(0);
    let (lines, body) = mpsc::channel(MAX_PENDING_LINES);
    tokio::spawn(write_watch(shared, number, version, lines));
    Ok(Response::new(Lines(body).boxed()))
}

fn text_response(status: StatusCode, text: String) -> Response<Body> {
    let mut response = Response::new(Full::new(Bytes::from(text)).boxed());
    *response.status_mut() = status;
    response
}

/// Writes the changes after `version` to a watch, and then each further change.
async fn write_watch(
    shared: Arc<Shared>,
    number: usize,
    mut version: usize,
    lines: mpsc::Sender<Frame<Bytes>>,
) {
    let slot = &shared.agents[number];
    let mut changed = slot.version.subscribe();
    loop {
        let update = {
            let agent = locked(&slot.agent);
            let update = agent.update_since(version);
            version = agent.version();
            update
        };
        let line = update.map_or("\n".to_string(), |update| format!("{update}\n"));
        if lines.send(Frame::data(Bytes::from(line))).await.is_err() {
            return;
        }
        // Writes a change at once, or a heartbeat if there is none.
        let _ = timeout(HEARTBEAT, changed.changed()).await;
    }
}

/// The lines of a watch as a response body.
struct Lines(mpsc::Receiver<Frame<Bytes>>);

impl hyper::body::Body for Lines {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.0.poll_recv(cx).map(|frame| frame.map(Ok))
    }
}

#[cfg(test)]
mod tests;
