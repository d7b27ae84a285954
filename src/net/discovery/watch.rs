//! The actor that watches discovery and tells the module each change of the endpoints.
//!
//! The times below add up to what a change can be late by. A watch falls silent at 0 s: that is seen at 3 s, the next
//! call is made at 3.05 s, and two calls that hang after it leave time for a third at 5.35 s: under the 6 s at which
//! what was missed counts as told. A call that hangs from before discovery's return ends 1 s after it, and the next
//! is made 0.5 s later at the latest. After a SIGHUP the first call is made at once: two that hang leave 1.85 s of 4 s.
//!
//! A call that is late is not given up as the next one is made: where discovery is asked, calls wait there in turn, and
//! the first that is answered is the watch.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;

use axum::http::uri::InvalidUri;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::{StatusCode, Uri};
use hyper_util::client::legacy::connect::{Connect, HttpConnector};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use thiserror::Error;
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use tokio::time::{timeout_at, Instant};

use crate::net::config::addresses::Addresses;
use crate::net::discovery::endpoints::EndpointsChange;
use crate::net::discovery::list_decoder::{ListDecoder, ListError};
use crate::net::discovery::pending_calls::PendingCalls;
use crate::net::runtime::metrics::COUNTERS;
use crate::say;

/// A watch that says nothing for this long is dead: its empty lines come every 2 s.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// A call that has no head of an answer by then is late, and another one is made after the backoff.
const CALL_LATE_AFTER: Duration = Duration::from_secs(1);
/// The backoff between calls, doubled from the first to the last while watches fail or end as soon as they stand.
pub(super) const MIN_BACKOFF: Duration = Duration::from_millis(50);
pub(super) const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// A watch that stood for so long was in order, whether it had anything to tell or not.
const IN_ORDER_AFTER: Duration = Duration::from_secs(2);

/// Why a watch ended.
#[derive(Debug, Error)]
enum WatchError {
    #[error("address: {0}")]
    Address(#[from] InvalidUri),
    #[error("silent")]
    Silent,
    #[error("no answer yet")]
    Late,
    #[error("{0:?}")]
    Call(#[from] hyper_util::client::legacy::Error),
    #[error("status {0}")]
    Status(StatusCode),
    #[error("closed")]
    Closed,
    #[error("{0}")]
    Body(#[from] hyper::Error),
    #[error("{0}")]
    List(#[from] ListError),
    #[error("the module has ended")]
    ModuleEnded,
}

/// A watch of one discovery; it ends when this is dropped.
struct Watch {
    task: AbortHandle,
    /// The version that it has told.
    version: Arc<AtomicU64>,
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The watch that another one takes the place of, until it is dropped. Guards drains of backends: what it still tells
/// meanwhile is not missed.
struct FormerWatch {
    _watch: Watch,
    /// It is of another discovery: it ends once the next one has told its first list, else once the next one stands.
    is_of_other_discovery: bool,
}

impl Watch {
    /// Watches `discovery` from `version` on.
    fn start<C: Connect + Clone + Send + Sync + 'static>(
        connector: C,
        discovery: SocketAddr,
        version: u64,
        former: Option<FormerWatch>,
        module: mpsc::Sender<EndpointsChange>,
    ) -> Watch {
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build(connector);
        let version = Arc::new(AtomicU64::new(version));
        let calls = PendingCalls::new();
        let task = WatchTask { client, calls, discovery, version: version.clone(), former, module };
        Watch { task: tokio::spawn(task.run()).abort_handle(), version }
    }
}

/// Opens connections to discovery.
pub fn connector() -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector
}

/// Watches discovery from `version` on, for as long as the module listens, and moves with its address. Each reload
/// opens the watch anew: the one that stands may be silent.
pub async fn run<C: Connect + Clone + Send + Sync + 'static>(
    connector: C,
    mut addresses: watch::Receiver<Addresses>,
    version: u64,
    module: mpsc::Sender<EndpointsChange>,
) {
    let mut discovery = addresses.borrow_and_update().discovery;
    let mut watch = Watch::start(connector.clone(), discovery, version, None, module.clone());
    while addresses.changed().await.is_ok() {
        let next = addresses.borrow_and_update().discovery;
        // A version counts at one discovery only: of another the complete list is asked.
        let (version, former) = if next == discovery {
            (watch.version.load(Relaxed), FormerWatch { _watch: watch, is_of_other_discovery: false })
        } else {
            say!("list: discovery moves from {discovery} to {next}");
            discovery = next;
            (0, FormerWatch { _watch: watch, is_of_other_discovery: true })
        };
        watch = Watch::start(connector.clone(), discovery, version, Some(former), module.clone());
    }
    drop(watch);
}

/// What the task of a watch owns.
struct WatchTask<C> {
    client: Client<C, Empty<Bytes>>,
    calls: PendingCalls<CallResult>,
    discovery: SocketAddr,
    /// The version that was told last.
    version: Arc<AtomicU64>,
    former: Option<FormerWatch>,
    module: mpsc::Sender<EndpointsChange>,
}

impl<C: Connect + Clone + Send + Sync + 'static> WatchTask<C> {
    /// Opens the watch anew, with backoff, for as long as the module listens.
    async fn run(mut self) {
        let mut backoff = MIN_BACKOFF;
        let mut late_answer = None;
        while !self.module.is_closed() {
            let (version, begun) = (self.version.load(Relaxed), Instant::now());
            let Err(error) = self.watch_once(late_answer.take()).await;
            say!("list: watch from version {version} ended: {error}");
            if begun.elapsed() >= IN_ORDER_AFTER {
                backoff = MIN_BACKOFF;
            }
            late_answer = self.late_answer(Instant::now() + backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Opens the watch, where no call was answered yet, and tells its changes until it ends.
    async fn watch_once(&mut self, answer: Option<Incoming>) -> Result<Infallible, WatchError> {
        let mut body = match answer {
            Some(body) => body,
            None => self.open().await?,
        };
        self.calls.clear();
        self.former.take_if(|former| !former.is_of_other_discovery);
        let mut decoder = ListDecoder::default();
        let mut heard_by = Instant::now() + SILENCE_TIMEOUT;
        loop {
            let frame = timeout_at(heard_by, body.frame()).await.map_err(|_| WatchError::Silent)?;
            let frame = frame.ok_or(WatchError::Closed)??;
            let Some(bytes) = frame.data_ref() else { continue };
            let was_partial = decoder.is_partial();
            let changes = decoder.decode(bytes)?;
            // A list that never comes whole is as good as silence.
            if !changes.is_empty() || !was_partial || !decoder.is_partial() {
                heard_by = Instant::now() + SILENCE_TIMEOUT;
            }
            self.send_changes(changes).await?;
        }
    }

    /// Makes a call, and awaits its answer or that of an earlier one; the call stays pending where it is late.
    async fn open(&mut self) -> Result<Incoming, WatchError> {
        COUNTERS.list_watches.increment();
        self.calls.push(call(self.client.clone(), self.discovery, self.version.load(Relaxed)));
        let late_at = Instant::now() + CALL_LATE_AFTER;
        loop {
            let ended = timeout_at(late_at, self.calls.next()).await.map_err(|_| WatchError::Late)?;
            // That an earlier call failed says nothing of the newest one.
            if ended.result.is_ok() || ended.is_newest {
                return ended.result;
            }
        }
    }

    /// Waits until `backoff_end`, or until a late call is answered.
    async fn late_answer(&mut self, backoff_end: Instant) -> Option<Incoming> {
        while let Ok(ended) = timeout_at(backoff_end, self.calls.next()).await {
            if let Ok(body) = ended.result {
                return Some(body);
            }
        }
        None
    }

    async fn send_changes(&mut self, changes: Vec<EndpointsChange>) -> Result<(), WatchError> {
        for mut change in changes {
            self.version.store(change.version, Relaxed);
            change.discovery_moved = self.former.take().is_some();
            COUNTERS.list_changes.increment();
            self.module.send(change).await.map_err(|_| WatchError::ModuleEnded)?;
        }
        Ok(())
    }
}

type CallResult = Result<Incoming, WatchError>;

/// Asks discovery for what comes after `version`.
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
