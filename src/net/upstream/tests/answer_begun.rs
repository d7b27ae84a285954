//! A backend sends a response head and part of the body, and then hangs.
//!
//! Guards against treating the request of such an attempt as never run. It was sent again after the idempotency window
//! of its first run, or its client was told that a retry is harmless, and it ran twice. Started and completed requests
//! were counted per connection, and a request counted as completed once its response head was read, so the connection
//! looked as if it were between two requests. In one run, of 102 attempts for 101 requests one ended as
//! `attempts_connect_failed=1` although its backend had received the complete request.

use super::*;
use tokio::net::TcpStream;

const HEAD_AND_PART_OF_BODY: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nha";
const REST_OF_BODY: &[u8] = b"lf of a";
/// Initial time limit of an attempt. It is doubled if the machine is too slow to start the response within it.
const INITIAL_TIME_LIMIT: Duration = Duration::from_millis(100);

/// Whether the attempt uses a new connection, or one that has served a request before.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ConnectionUse {
    New,
    Reused,
}

/// A backend's actor with the one connection that it opened. The test acts as the backend.
struct ManualBackend {
    handle: BackendHandle,
    shared: Arc<UpstreamShared>,
    mailbox: mpsc::Receiver<Message>,
    listener: TcpListener,
    stream: Option<TcpStream>,
}

impl ManualBackend {
    async fn start(connection_use: ConnectionUse) -> ManualBackend {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (shared, mailbox) = upstream_shared();
        let addr = listener.local_addr().unwrap();
        let handle = BackendHandle::new("s-1".into(), addr, shared.clone());
        let mut backend = ManualBackend { handle, shared, mailbox, listener, stream: None };
        if connection_use == ConnectionUse::Reused {
            backend.start_attempt(attempt(Serve, 0, LONG_TIMEOUT));
            backend.read_request().await;
            backend.write(Serve.response()).await;
            assert_eq!(ended_attempt(&mut backend.mailbox).await.outcome, Outcome::Ok);
        }
        backend
    }

    fn start_attempt(&self, attempt: Attempt) {
        assert!(self.handle.send(BackendCommand::Attempt(attempt)));
    }

    async fn read_request(&mut self) {
        if self.stream.is_none() {
            self.stream = Some(self.listener.accept().await.unwrap().0);
        }
        let stream = self.stream.as_mut().unwrap();
        let mut text = Vec::new();
        while !text.ends_with(b"\r\n\r\nbody") {
            assert!(stream.read_buf(&mut text).await.unwrap() > 0, "the request is complete");
        }
    }

    async fn write(&mut self, bytes: &[u8]) {
        self.stream.as_mut().unwrap().write_all(bytes).await.unwrap();
    }

    fn written_attempts(&self) -> u64 {
        self.shared.stats.json()["upstream_requests"].as_u64().unwrap()
    }

    /// Starts the attempt and its response, and waits until the limiter has read the response head. Returns false if
    /// the attempt ended before that.
    async fn start_response(&mut self, attempt: Attempt) -> bool {
        let written_before = self.written_attempts();
        self.start_attempt(attempt);
        self.read_request().await;
        self.write(HEAD_AND_PART_OF_BODY).await;
        // The attempt counts as written once the response head has been read.
        while self.written_attempts() == written_before {
            if !self.mailbox.is_empty() {
                return false;
            }
            tokio::task::yield_now().await;
        }
        true
    }
}

/// Starts an attempt whose response has started, and waits until the time limit that `limit` sets on it has passed.
async fn stalled_response_at_time_limit(
    connection_use: ConnectionUse,
    limit: fn(&mut Attempt, Instant),
) -> ManualBackend {
    let mut time_limit = INITIAL_TIME_LIMIT;
    loop {
        let mut backend = ManualBackend::start(connection_use).await;
        let mut attempt = attempt(Serve, 1, LONG_TIMEOUT);
        let limit_at = Instant::now() + time_limit;
        limit(&mut attempt, limit_at);
        if backend.start_response(attempt).await && Instant::now() < limit_at {
            tokio::time::sleep_until(limit_at).await;
            return backend;
        }
        time_limit *= 2;
    }
}

async fn assert_timed_out_at_deadline(connection_use: ConnectionUse) {
    let mut backend =
        stalled_response_at_time_limit(connection_use, |attempt, at| attempt.deadline = at).await;
    assert_eq!(ended_attempt(&mut backend.mailbox).await.outcome, Outcome::TimedOut);
}

/// Asserts that the attempt is still running and completes when the rest of the response arrives.
async fn assert_completes_with_response(mut backend: ManualBackend) {
    backend.write(REST_OF_BODY).await;
    let ended = ended_attempt(&mut backend.mailbox).await;
    assert_eq!((ended.outcome, ended.body.as_deref()), (Outcome::Ok, Some(&b"half of a"[..])));
}

async fn assert_outlasts_idempotency_window(connection_use: ConnectionUse) {
    let backend =
        stalled_response_at_time_limit(connection_use, |attempt, at| attempt.write_deadline = Some(at)).await;
    assert_completes_with_response(backend).await;
}

async fn assert_outlasts_client(connection_use: ConnectionUse) {
    let mut backend = ManualBackend::start(connection_use).await;
    let attempt = attempt(Serve, 1, LONG_TIMEOUT);
    let client_gone = attempt.forward.client_gone.clone();
    assert!(backend.start_response(attempt).await);
    client_gone.cancel();
    assert_completes_with_response(backend).await;
}

#[tokio::test]
async fn attempt_past_its_deadline_may_have_run() {
    assert_timed_out_at_deadline(ConnectionUse::New).await;
}

#[tokio::test]
async fn attempt_on_reused_connection_past_its_deadline_may_have_run() {
    assert_timed_out_at_deadline(ConnectionUse::Reused).await;
}

#[tokio::test]
async fn attempt_continues_past_idempotency_window() {
    assert_outlasts_idempotency_window(ConnectionUse::New).await;
}

#[tokio::test]
async fn attempt_on_reused_connection_continues_past_idempotency_window() {
    assert_outlasts_idempotency_window(ConnectionUse::Reused).await;
}

#[tokio::test]
async fn attempt_continues_after_client_disconnects() {
    assert_outlasts_client(ConnectionUse::New).await;
}

#[tokio::test]
async fn attempt_on_reused_connection_continues_after_client_disconnects() {
    assert_outlasts_client(ConnectionUse::Reused).await;
}
