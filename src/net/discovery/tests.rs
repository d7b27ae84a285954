//! The timing of reported changes, in virtual time on in-memory connections.

mod decoding;
mod late_calls;
mod slow_lists;

use std::net::SocketAddr;
use std::time::Duration;

use super::endpoints::{EndpointsChange, EndpointsUpdate};
use super::watch::{MAX_BACKOFF, MIN_BACKOFF};
use super::*;
use crate::net::config::addresses::Addresses;
use hyper::Uri;
use hyper_util::client::legacy::connect::{Connected, Connection};
use hyper_util::rt::TokioIo;
use serde_json::json;
use std::future::{ready, Ready};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, ReadBuf};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, Instant};

/// Returns a list with a change of one entry, on one line or indented.
fn list(version: u64, indented: bool) -> String {
    let state = ["Ready", "Terminating", "Gone"][version as usize % 3];
    let list = json!({"version": version, "full": false, "servers": [
        {"id": format!("s-{version} \\\"}}]"), "addr": "127.0.0.1:80", "state": state, "started_ms": 7, "new": 1}]});
    (if indented { serde_json::to_string_pretty(&list).expect("JSON") } else { list.to_string() }) + "\n"
}

/// One end of an in-memory connection to discovery.
struct TestStream(DuplexStream);

impl Connection for TestStream {
    fn connected(&self) -> Connected {
        Connected::new()
    }
}

impl tokio::io::AsyncRead for TestStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.0).poll_read(cx, buf)
    }
}

impl tokio::io::AsyncWrite for TestStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

/// Opens in-memory connections and passes their other ends to the test.
#[derive(Clone)]
struct TestConnector(mpsc::UnboundedSender<(SocketAddr, DuplexStream)>);

impl tower_service::Service<Uri> for TestConnector {
    type Response = TokioIo<TestStream>;
    type Error = std::io::Error;
    type Future = Ready<Result<Self::Response, Self::Error>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let (near, far) = tokio::io::duplex(64 << 10);
        let address = uri.authority().and_then(|a| a.as_str().parse().ok()).expect("an address");
        self.0.send((address, far)).expect("the test listens");
        ready(Ok(TokioIo::new(TestStream(near))))
    }
}

/// A call that opens a watch: the requested version, the discovery service it was sent to, and the time it was made.
struct WatchCall {
    stream: DuplexStream,
    index: u64,
    /// The port identifies the discovery service.
    port: u16,
    at: Instant,
}

impl WatchCall {
    /// Sends a response head without a content length, followed by `text`.
    async fn answer(&mut self, text: &str) {
        let response = format!("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{text}");
        self.stream.write_all(response.as_bytes()).await.expect("the watch reads");
    }

    async fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.expect("the watch reads");
    }
}

/// The actor under test, connected to a discovery service that the test controls.
struct TestDiscovery {
    calls: mpsc::UnboundedReceiver<(SocketAddr, DuplexStream)>,
    changes: mpsc::Receiver<EndpointsUpdate>,
    addresses: watch::Sender<Addresses>,
    /// Keeps the connections of hanging calls and silent watches open.
    held_calls: Vec<WatchCall>,
}

fn discovery_at(port: u16) -> Addresses {
    let discovery = SocketAddr::from(([127, 0, 0, 1], port));
    Addresses { discovery, counter: None, discovery_in_file: None }
}

impl TestDiscovery {
    fn new() -> TestDiscovery {
        let (dials, calls) = mpsc::unbounded_channel();
        let (control, changes) = mpsc::channel(64);
        let (address_sender, addresses) = watch::channel(discovery_at(1));
        tokio::spawn(run(TestConnector(dials), addresses, 1, control));
        TestDiscovery { calls, changes, addresses: address_sender, held_calls: Vec::new() }
    }

    /// Creates a service whose first watch sends `text` and then falls silent.
    async fn with_silent_watch(text: &str) -> TestDiscovery {
        let mut discovery = TestDiscovery::new();
        let mut first = discovery.next_call().await;
        first.answer(text).await;
        discovery.held_calls.push(first);
        discovery
    }

    async fn next_call(&mut self) -> WatchCall {
        let (address, mut stream) = self.calls.recv().await.expect("the watch makes a call");
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            stream.read_buf(&mut head).await.expect("a request head is received");
        }
        let text = String::from_utf8(head).expect("text");
        let index = text.split_once("index=").and_then(|(_, t)| t.split(' ').next()?.parse().ok());
        WatchCall {
            stream,
            index: index.expect("the request names a version"),
            port: address.port(),
            at: Instant::now(),
        }
    }

    /// Lets the next `calls` calls hang.
    async fn let_calls_hang(&mut self, calls: usize) {
        for _ in 0..calls {
            let call = self.next_call().await;
            self.held_calls.push(call);
        }
    }

    /// Returns the next complete list, and passes over other updates.
    async fn next_list(&mut self) -> EndpointsChange {
        loop {
            if let EndpointsUpdate::Changed(change) = self.changes.recv().await.expect("the watch is running")
            {
                return change;
            }
        }
    }

    async fn next_change(&mut self) -> (u64, Instant) {
        let change = self.next_list().await;
        (change.version, Instant::now())
    }
}

const MAX_DELAY: Duration = Duration::from_secs(6);
const MAX_DELAY_AFTER_RELOAD: Duration = Duration::from_secs(4);

/// This holds wherever in the stream a watch falls silent, even if the next two calls hang.
#[tokio::test(start_paused = true)]
async fn changes_missed_by_a_silent_watch_are_reported_within_six_seconds() {
    let heartbeat = "\n".to_string();
    for before in [
        String::new(),
        heartbeat,
        list(2, false),
        list(2, true)[..40].to_string(),
        list(2, false) + &list(3, true)[..9],
    ] {
        for hanging_calls in 0..=2 {
            let mut discovery = TestDiscovery::with_silent_watch(&before).await;
            let silent = Instant::now();
            discovery.let_calls_hang(hanging_calls).await;
            let mut next = discovery.next_call().await;
            let reported = if before.contains("\"version\":2") { 2 } else { 1 };
            assert_eq!(next.index, reported, "the next call continues from the last reported version");
            next.answer(&list(9, false)).await;
            let (mut version, mut when) = discovery.next_change().await;
            if version != 9 {
                (version, when) = discovery.next_change().await;
            }
            assert_eq!(version, 9);
            assert!(
                when - silent < MAX_DELAY,
                "{:?} after {before:?}, {hanging_calls} calls hang",
                when - silent
            );
        }
    }
}

/// Minutes with nothing but heartbeats do not extend the silence timeout.
#[tokio::test(start_paused = true)]
async fn silence_after_many_quiet_minutes_is_detected_as_fast() {
    let mut discovery = TestDiscovery::new();
    let mut first = discovery.next_call().await;
    first.answer("").await;
    for _ in 0..600 {
        sleep_until(Instant::now() + Duration::from_secs(2)).await;
        first.send("\n").await;
    }
    let silent = Instant::now();
    let mut next = discovery.next_call().await;
    next.answer(&list(2, false)).await;
    let (version, when) = discovery.next_change().await;
    assert_eq!(version, 2);
    assert!(when - silent < MAX_DELAY, "{:?}", when - silent);
}

/// Discovery is down and recovers at any point of the calls made meanwhile. None of these calls may use up the time
/// that remains after the recovery.
#[tokio::test(start_paused = true)]
async fn call_made_before_discovery_recovers_does_not_delay_changes() {
    for down_ms in (0..9_000).step_by(130) {
        let mut discovery = TestDiscovery::with_silent_watch("\n").await;
        let recovered_at = Instant::now() + Duration::from_millis(down_ms);
        let mut call = discovery.next_call().await;
        while call.at < recovered_at {
            discovery.held_calls.push(call);
            call = discovery.next_call().await;
        }
        call.answer(&list(2, false)).await;
        let (version, when) = discovery.next_change().await;
        assert_eq!(version, 2);
        assert!(
            when - recovered_at < MAX_DELAY,
            "{:?} after discovery recovered, down for {down_ms} ms",
            when - recovered_at
        );
    }
}

/// However a call ends immediately, it is repeated soon, but not without backoff.
#[tokio::test(start_paused = true)]
async fn watches_that_end_immediately_are_reopened_with_backoff() {
    for answer in
        ["", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"]
    {
        let mut discovery = TestDiscovery::new();
        let mut before = Instant::now();
        for number in 0..20 {
            let mut call = discovery.next_call().await;
            let backoff = call.at - before;
            assert!(backoff <= MAX_BACKOFF, "{backoff:?}");
            assert!(number == 0 || backoff >= MIN_BACKOFF, "{backoff:?}");
            call.stream.write_all(answer.as_bytes()).await.expect("the watch reads");
            before = Instant::now();
        }
    }
}

/// Healthy watches that end without having reported changes do not increase the backoff.
#[tokio::test(start_paused = true)]
async fn healthy_watches_without_changes_do_not_increase_backoff() {
    let mut discovery = TestDiscovery::new();
    let mut ended = Instant::now();
    for number in 0..30 {
        let mut call = discovery.next_call().await;
        assert!(call.at - ended <= MIN_BACKOFF, "{:?} after watch {number}", call.at - ended);
        call.answer("\n").await;
        sleep_until(Instant::now() + Duration::from_secs(2)).await;
        call.send("\n").await;
        drop(call);
        ended = Instant::now();
    }
}

/// The reload may change the address of discovery or not. The previous watch is silent, and up to two calls hang.
#[tokio::test(start_paused = true)]
async fn changes_are_reported_within_four_seconds_of_a_reload() {
    for next in [1, 2] {
        for hanging_calls in 0..=2 {
            let mut discovery = TestDiscovery::with_silent_watch("\n").await;
            let reloaded = Instant::now();
            discovery.addresses.send_replace(discovery_at(next));
            discovery.let_calls_hang(hanging_calls).await;
            let mut call = discovery.next_call().await;
            // Until the next watch is open, the previous one is also reopened once its silence is detected.
            for _ in 0..10 {
                if call.port == next {
                    break;
                }
                discovery.held_calls.push(call);
                call = discovery.next_call().await;
            }
            assert_eq!(call.port, next);
            call.answer(&list(5, false)).await;
            let (version, when) = discovery.next_change().await;
            assert_eq!(version, 5);
            assert!(
                when - reloaded < MAX_DELAY_AFTER_RELOAD,
                "{:?}, {hanging_calls} calls hang",
                when - reloaded
            );
        }
    }
}

/// Changes from the previous discovery service are reported while the next one is silent. The first list of the next
/// one is marked, and the watch on the previous one ends.
#[tokio::test(start_paused = true)]
async fn previous_discovery_is_watched_until_the_next_one_reports() {
    let mut discovery = TestDiscovery::new();
    let mut first = discovery.next_call().await;
    first.answer("\n").await;
    discovery.addresses.send_replace(discovery_at(2));
    let second = discovery.next_call().await;
    assert_eq!((second.port, second.index), (2, 0));
    first.send(&list(2, false)).await;
    assert_eq!(discovery.next_change().await.0, 2);
    discovery.addresses.send_replace(discovery_at(3));
    let mut third = discovery.next_call().await;
    assert_eq!((third.port, third.index), (3, 0));
    first.send(&list(3, true)).await;
    assert_eq!(discovery.next_change().await.0, 3);
    third.answer(&list(1, false)).await;
    let change = discovery.next_list().await;
    assert_eq!((change.version, change.discovery_moved), (1, true));
    // Both previous watches have ended.
    for mut previous in [first.stream, second.stream] {
        let mut rest = Vec::new();
        previous.read_to_end(&mut rest).await.expect("the stream ends");
    }
    third.send(&list(2, false)).await;
    let change = discovery.next_list().await;
    assert_eq!((change.version, change.discovery_moved), (2, false));
}
