//! The stand-ins for what limiters connect to: backends, the quota counter, discovery, and the links to all of them.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{json, Value};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};

use sedgestack_fleet::Fleet;

use super::relay::Relay;
use super::service_links::{Link, LinkState, Service};
use super::Options;
use crate::{counter, discovery, io, Failure};

/// The response of a backend to each request.
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// All stand-ins of a tier. Their tasks run on the tier's runtime.
pub struct StandIns {
    /// The links between the limiters.
    pub relay: Relay,
    /// The quota counter.
    pub counter: counter::Counter,
    /// The initial endpoint list.
    pub endpoints: Vec<Value>,
    /// The links to services, one entry for each limiter.
    pub service_links: Vec<ServiceLinks>,
    backends: Vec<Backend>,
    _discovery: discovery::Discovery,
}

/// One limiter's links to its services.
pub struct ServiceLinks {
    counter: Link,
    discovery: Link,
}

/// A running backend. Aborting its task closes its sockets.
struct Backend {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl StandIns {
    /// Starts all stand-ins. `peers` are the addresses at which the limiters receive datagrams.
    pub async fn start(fleet: &Fleet, options: &Options, peers: &[SocketAddr]) -> Result<StandIns, Failure> {
        let mut backends = Vec::new();
        for _ in 0..options.backends {
            backends.push(Backend::start(options.backend_latency).await?);
        }
        let endpoints: Vec<Value> = backends
            .iter()
            .enumerate()
            .map(|(number, backend)| endpoint(fleet, number, backend.address))
            .collect();
        let counter = counter::start(&fleet.counter).await?;
        let discovery = discovery::Discovery::start(fleet, options.seed, endpoints.clone()).await?;
        let mut service_links = Vec::new();
        for agent in &discovery.addresses {
            let (counter, discovery) = (Link::start(counter.address).await?, Link::start(*agent).await?);
            service_links.push(ServiceLinks { counter, discovery });
        }
        let relay = Relay::start(peers, options.seed).await?;
        Ok(StandIns { relay, counter, endpoints, service_links, backends, _discovery: discovery })
    }

    /// Stops the first `count` backends and closes their connections. They stay in the endpoint list.
    pub fn lose_backends(&self, count: usize) {
        self.backends.iter().take(count).for_each(|backend| backend.task.abort());
    }

    /// Opens all links between limiters and to services again.
    pub fn restore_links(&self) {
        self.relay.restore();
        for links in &self.service_links {
            links.counter.set(LinkState::Open);
            links.discovery.set(LinkState::Open);
        }
    }
}

impl ServiceLinks {
    /// Returns the link to a service.
    pub fn to(&self, service: Service) -> &Link {
        match service {
            Service::Counter => &self.counter,
            Service::Discovery => &self.discovery,
        }
    }
}

/// Returns a backend's entry in the endpoint list.
fn endpoint(fleet: &Fleet, number: usize, address: SocketAddr) -> Value {
    json!({"id": format!("w{number}"), "addr": address.to_string(), "cell": 0, "zone": fleet.zones[0].name,
           "state": "Ready", "weight": 1.0, "kind": fleet.backend_kinds[0].name, "started_ms": 0})
}

impl Backend {
    /// Starts a backend that responds to each request after `latency`.
    async fn start(latency: Duration) -> Result<Backend, Failure> {
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(io("backend socket"))?;
        let address = listener.local_addr().map_err(io("backend address"))?;
        let task = tokio::spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(respond_to_all(stream, latency));
            }
        });
        Ok(Backend { address, task })
    }
}

/// Responds to every request on a connection. A request ends with an empty line, as requests of the load have no body.
async fn respond_to_all(stream: TcpStream, latency: Duration) {
    let (read, mut write) = stream.into_split();
    let mut lines = BufReader::new(read).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        if !line.is_empty() {
            continue;
        }
        tokio::time::sleep(latency).await;
        if write.write_all(RESPONSE).await.is_err() {
            return;
        }
    }
}
