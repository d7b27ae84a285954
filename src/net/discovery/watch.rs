//! The actor that watches discovery and reports each change of the endpoints to the control actor.
//!
//! The timeouts below bound the delay of a change. If a watch falls silent at 0 s, the silence is detected at 3 s and
//! the next call is made at 3.05 s. If that call and the one after it hang, a third call is made at 5.35 s, before the
//! 6 s after which the limiter is expected to know a change that it missed. A call that hangs since before discovery
//! recovered is late 1 s after the recovery at the latest, and the next call follows within 0.5 s. After a SIGHUP the
//! first call is made immediately; two calls that hang leave 1.85 s of the 4 s allowed.
//!
//! A list may take longer to arrive than the silence timeout, because its length grows with the number of backends. The
//! watch is therefore kept as long as entries arrive, and the drains in a list take effect before it is complete.
//!
//! A late call is not given up when the next one is made. If discovery queues calls, giving a call up would move it to
//! the end of the queue. The first call that is answered becomes the watch.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;

use axum::http::uri::InvalidUri;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::{Frame, Incoming};
use hyper::{StatusCode, Uri};
use hyper_util::client::legacy::connect::{Connect, HttpConnector};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use thiserror::Error;
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use tokio::time::{timeout_at, Instant};

use crate::info;
use crate::net::config::addresses::Addresses;
use crate::net::discovery::endpoints::EndpointsUpdate;
use crate::net::discovery::list_decoder::{Decoded, ListDecoder, ListError};
use crate::net::discovery::pending_calls::PendingCalls;
use crate::net::runtime::metrics::COUNTERS;

/// Time without a complete entry, list or heartbeat after which a watch is dead. Discovery sends an empty line every
/// 2 s.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which a list that is still incomplete is given up, and the watch is reopened.
const LIST_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after the response head within which a discovery service with changes to report begins to send them.
const FIRST_LIST_WAIT: Duration = Duration::from_millis(400);
/// Time after which a call without a response head is late. Another call is then made after the backoff.
const CALL_LATE_AFTER: Duration = Duration::from_secs(1);
/// Minimum and maximum backoff between calls. It doubles while watches fail or end soon after they are opened.
pub(super) const MIN_BACKOFF: Duration = Duration::from_millis(50);
pub(super) const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Duration after which a watch counts as healthy and resets the backoff, whether it reported changes or not.
const HEALTHY_AFTER: Duration = Duration::from_secs(2);

/// Why a watch ended.
#[derive(Debug, Error)]
enum WatchError {
    #[error("address: {0}")]
    Address(#[from] InvalidUri),
    #[error("no data received")]
    Silent,
    #[error("the list did not end")]
    EndlessList,
    #[error("no response yet")]
    Late,
    #[error("{0:?}")]
    Call(#[from] hyper_util::client::legacy::Error),
    #[error("status {0}")]
    Status(StatusCode),
    #[error("connection closed")]
    Closed,
    #[error("{0}")]
    Body(#[from] hyper::Error),
    #[error("{0}")]
    List(#[from] ListError),
    #[error("the control actor has stopped")]
    ControlActorStopped,
}

/// A watch on one discovery service. Dropping it ends the watch.
struct Watch {
    task: AbortHandle,
    /// The version reported last.
    version: Arc<AtomicU64>,
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A watch that is being replaced. It is kept until its successor takes over, so that no change, such as the drain of a
/// backend, is missed in between.
struct PreviousWatch {
    _watch: Watch,
    /// Whether it watches another discovery service than its successor. It is then kept until the successor has
    /// reported its first list; otherwise only until the successor is open.
    is_from_other_discovery: bool,
}

impl Watch {
    /// Starts to watch `discovery` from `version` on.
    fn start<C: Connect + Clone + Send + Sync + 'static>(
        connector: C,
        discovery: SocketAddr,
        version: u64,
        previous: Option<PreviousWatch>,
        control: mpsc::Sender<EndpointsUpdate>,
    ) -> Watch {
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build(connector);
        let version = Arc::new(AtomicU64::new(version));
        let calls = PendingCalls::new();
        let task = WatchTask { client, calls, discovery, version: version.clone(), previous, control };
        Watch { task: tokio::spawn(task.run()).abort_handle(), version }
    }
}

/// Returns the connector for connections to discovery.
pub fn connector() -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector
}

/// Watches discovery from `version` on until the control actor stops, and follows changes of its address. Each reload
/// reopens the watch, because the current one may have gone silent.
pub async fn run<C: Connect + Clone + Send + Sync + 'static>(
    connector: C,
    mut addresses: watch::Receiver<Addresses>,
    version: u64,
    control: mpsc::Sender<EndpointsUpdate>,
) {
    let mut discovery = addresses.borrow_and_update().discovery;
    let mut watch = Watch::start(connector.clone(), discovery, version, None, control.clone());
    while addresses.changed().await.is_ok() {
        let next = addresses.borrow_and_update().discovery;
        // Versions are valid only within one discovery service, so the complete list is requested from another one.
        let (version, previous) = if next == discovery {
            (watch.version.load(Relaxed), PreviousWatch { _watch: watch, is_from_other_discovery: false })
        } else {
            info!("list: discovery moves from {discovery} to {next}");
            discovery = next;
            (0, PreviousWatch { _watch: watch, is_from_other_discovery: true })
        };
        watch = Watch::start(connector.clone(), discovery, version, Some(previous), control.clone());
    }
    drop(watch);
}

/// The task of a watch.
struct WatchTask<C> {
    client: Client<C, Empty<Bytes>>,
    calls: PendingCalls<CallResult>,
    discovery: SocketAddr,
    /// The version reported last.
    version: Arc<AtomicU64>,
    previous: Option<PreviousWatch>,
    control: mpsc::Sender<EndpointsUpdate>,
}

impl<C: Connect + Clone + Send + Sync + 'static> WatchTask<C> {
    /// Opens the watch, and reopens it with backoff, until the control actor stops.
    async fn run(mut self) {
        let mut backoff = MIN_BACKOFF;
        let mut late_response = None;
        while !self.control.is_closed() {
            let (version, started_at) = (self.version.load(Relaxed), Instant::now());
            let Err(error) = self.watch_once(late_response.take()).await;
            info!("list: watch from version {version} ended: {error}");
            if started_at.elapsed() >= HEALTHY_AFTER {
                backoff = MIN_BACKOFF;
            }
            late_response = self.late_response(Instant::now() + backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Opens the watch, unless a call has already been answered with `response`, and reports its changes until it ends.
    async fn watch_once(&mut self, response: Option<Incoming>) -> Result<Infallible, WatchError> {
        let mut body = match response {
            Some(body) => body,
            None => self.open().await?,
        };
        self.calls.clear();
        self.previous.take_if(|previous| !previous.is_from_other_discovery);
        let mut decoder = ListDecoder::default();
        let mut deadlines = WatchDeadlines::start();
        loop {
            let frame = self.next_frame(&mut body, &mut deadlines).await?;
            let Some(bytes) = frame.data_ref() else { continue };
            let decoded = decoder.decode(bytes)?;
            deadlines.update(&decoded, decoder.is_partial());
            self.send_decoded(decoded).await?;
        }
    }

    /// Waits for the next part of a watch. Reports to the control actor, once, that discovery has nothing to report if it
    /// sends nothing at the start of the watch.
    async fn next_frame(
        &mut self,
        body: &mut Incoming,
        deadlines: &mut WatchDeadlines,
    ) -> Result<Frame<Bytes>, WatchError> {
        if let Some(wait_end) = deadlines.first_list.take() {
            match timeout_at(wait_end, body.frame()).await {
                Ok(frame) => return Ok(frame.ok_or(WatchError::Closed)??),
                Err(_) => self.send(EndpointsUpdate::Unchanged).await?,
            }
        }
        let frame = timeout_at(deadlines.next(), body.frame()).await.map_err(|_| deadlines.error())?;
        Ok(frame.ok_or(WatchError::Closed)??)
    }

    /// Makes a call and waits for the response to it or to an earlier call. If the call is late, it stays pending.
    async fn open(&mut self) -> Result<Incoming, WatchError> {
        COUNTERS.list_watches.increment();
        self.calls.push(call(self.client.clone(), self.discovery, self.version.load(Relaxed)));
        let late_at = Instant::now() + CALL_LATE_AFTER;
        loop {
            let ended = timeout_at(late_at, self.calls.next()).await.map_err(|_| WatchError::Late)?;
            // The failure of an earlier call does not affect the newest one.
            if ended.result.is_ok() || ended.is_newest {
                return ended.result;
            }
        }
    }

    /// Waits until `backoff_end`. Returns early if a late call is answered.
    async fn late_response(&mut self, backoff_end: Instant) -> Option<Incoming> {
        while let Ok(ended) = timeout_at(backoff_end, self.calls.next()).await {
            if let Ok(body) = ended.result {
                return Some(body);
            }
        }
        None
    }

    async fn send_decoded(&mut self, decoded: Decoded) -> Result<(), WatchError> {
        for mut change in decoded.changes {
            self.version.store(change.version, Relaxed);
            change.discovery_moved = self.previous.take().is_some();
            COUNTERS.list_changes.increment();
            self.send(EndpointsUpdate::Changed(change)).await?;
        }
        if let Some(mut drains) = decoded.drains {
            // The versions of another discovery service cannot be compared with the known one.
            drains.list = drains.list.filter(|_| self.previous.is_none());
            self.send(EndpointsUpdate::Draining(drains)).await?;
        }
        Ok(())
    }

    async fn send(&mut self, update: EndpointsUpdate) -> Result<(), WatchError> {
        self.control.send(update).await.map_err(|_| WatchError::ControlActorStopped)
    }
}

/// When a watch is given up.
struct WatchDeadlines {
    /// Until when discovery may begin to send its first list. `None` once it has been waited for.
    first_list: Option<Instant>,
    silence: Instant,
    /// The end of the time for the list that is being received, if there is one.
    list: Option<Instant>,
}

impl WatchDeadlines {
    fn start() -> WatchDeadlines {
        let now = Instant::now();
        WatchDeadlines { first_list: Some(now + FIRST_LIST_WAIT), silence: now + SILENCE_TIMEOUT, list: None }
    }

    /// Updates the deadlines after bytes were received. `is_in_list` tells whether a list is incomplete.
    fn update(&mut self, decoded: &Decoded, is_in_list: bool) {
        let now = Instant::now();
        if decoded.has_progress {
            self.silence = now + SILENCE_TIMEOUT;
        }
        if !decoded.changes.is_empty() || !is_in_list {
            if let Some(list_end) = self.list.take() {
                let duration = LIST_TIMEOUT.saturating_sub(list_end.saturating_duration_since(now));
                COUNTERS.list_longest_ms.raise_to(duration.as_millis() as u64);
            }
        }
        if is_in_list {
            self.list.get_or_insert(now + LIST_TIMEOUT);
        }
    }

    fn next(&self) -> Instant {
        self.list.map_or(self.silence, |list| list.min(self.silence))
    }

    /// Returns why the watch ends at the next deadline.
    fn error(&self) -> WatchError {
        if self.next() < self.silence {
            WatchError::EndlessList
        } else {
            WatchError::Silent
        }
    }
}

type CallResult = Result<Incoming, WatchError>;

/// Requests the changes after `version` from discovery.
async fn call<C: Connect + Clone + Send + Sync + 'static>(
    client: Client<C, Empty<Bytes>>,
    discovery: SocketAddr,
    version: u64,
) -> CallResult {
    let uri = format!("http://{discovery}/v1/endpoints?stream=1&index={version}").parse::<Uri>()?;
    let response = client.get(uri).await?;
    match response.status() {
        StatusCode::OK => Ok(response.into_body()),
        status => Err(WatchError::Status(status)),
    }
}
