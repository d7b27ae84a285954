//! A backend sends the head of an answer and part of its body, and hangs.
//!
//! The attempt ended as one that can't have run. Its request was sent again after the idempotency window of its first
//! run, or its client was told that coming again is harmless; it ran twice. The cause: requests begun and answered were
//! counted by connection, and a request counted as answered from the head on, so that the connection looked as if it
//! were between two requests. What showed it: of 102 attempts for 101 requests one ended as `attempts_connect_failed=1`,
//! although its backend had taken it whole.

use super::*;
use tokio::net::TcpStream;

const HEAD_AND_PART: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nha";
const REST: &[u8] = b"lf of a";
/// The first wait before an attempt's time ends; doubled where the machine is too slow for it.
const FIRST_WAIT: Duration = Duration::from_millis(100);

/// Whether the attempt gets a new connection, or one that served a request before.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ConnectionUse {
    New,
    Reused,
}

/// A backend's actor and the one connection that it opened, whose backend the test plays.
struct PlayedBackend {
    handle: BackendHandle,
    shared: Arc<UpstreamShared>,
    mailbox: mpsc::Receiver<Message>,
    listener: TcpListener,
    stream: Option<TcpStream>,
}

impl PlayedBackend {
    async fn start(connection_use: ConnectionUse) -> PlayedBackend {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (shared, mailbox) = upstream_shared();
        let addr = listener.local_addr().unwrap();
        let handle = BackendHandle::start("s-1".into(), addr, shared.clone());
        let mut backend = PlayedBackend { handle, shared, mailbox, listener, stream: None };
        if connection_use == ConnectionUse::Reused {
            backend.start_attempt(attempt(Serve, 0, LONG));
            backend.read_request().await;
            backend.write(Serve.answer()).await;
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
            assert!(stream.read_buf(&mut text).await.unwrap() > 0, "the request comes whole");
        }
    }

    async fn write(&mut self, bytes: &[u8]) {
        self.stream.as_mut().unwrap().write_all(bytes).await.unwrap();
    }

    fn written_attempts(&self) -> u64 {
        self.shared.stats.json()["upstream_requests"].as_u64().unwrap()
    }

    /// Has the attempt's answer begun and read by the limiter; false where the attempt ended before that.
    async fn begin_answer(&mut self, attempt: Attempt) -> bool {
        let written_before = self.written_attempts();
        self.start_attempt(attempt);
        self.read_request().await;
        self.write(HEAD_AND_PART).await;
        // The head was read once the attempt counts as written.
        while self.written_attempts() == written_before {
            if !self.mailbox.is_empty() {
                return false;
            }
            tokio::task::yield_now().await;
        }
        true
    }
}

/// A backend whose answer to `attempt` has begun; `limit` sets what ends after a wait.
async fn begun_answer(connection_use: ConnectionUse, limit: fn(&mut Attempt, Instant)) -> PlayedBackend {
    let mut wait = FIRST_WAIT;
    loop {
        let mut backend = PlayedBackend::start(connection_use).await;
        let mut attempt = attempt(Serve, 1, LONG);
        let ends_at = Instant::now() + wait;
        limit(&mut attempt, ends_at);
        if backend.begin_answer(attempt).await && Instant::now() < ends_at {
            tokio::time::sleep_until(ends_at).await;
            return backend;
        }
        wait *= 2;
    }
}

async fn ends_at_the_deadline_as_timed_out(connection_use: ConnectionUse) {
    let mut backend = begun_answer(connection_use, |attempt, at| attempt.deadline = at).await;
    assert_eq!(ended_attempt(&mut backend.mailbox).await.outcome, Outcome::TimedOut);
}

/// The attempt is still under way, and ends with its answer.
async fn ends_with_its_answer(mut backend: PlayedBackend) {
    backend.write(REST).await;
    let ended = ended_attempt(&mut backend.mailbox).await;
    assert_eq!((ended.outcome, ended.body.as_deref()), (Outcome::Ok, Some(&b"half of a"[..])));
}

async fn outlasts_the_idempotency_window(connection_use: ConnectionUse) {
    let backend = begun_answer(connection_use, |attempt, at| attempt.written_by = Some(at)).await;
    ends_with_its_answer(backend).await;
}

async fn outlasts_its_client(connection_use: ConnectionUse) {
    let mut backend = PlayedBackend::start(connection_use).await;
    let attempt = attempt(Serve, 1, LONG);
    let client_gone = attempt.forward.client_gone.clone();
    assert!(backend.begin_answer(attempt).await);
    client_gone.cancel();
    ends_with_its_answer(backend).await;
}

#[tokio::test]
async fn past_its_deadline_the_attempt_may_have_run() {
    ends_at_the_deadline_as_timed_out(ConnectionUse::New).await;
}

#[tokio::test]
async fn past_its_deadline_on_a_reused_connection_the_attempt_may_have_run() {
    ends_at_the_deadline_as_timed_out(ConnectionUse::Reused).await;
}

#[tokio::test]
async fn past_the_idempotency_window_the_attempt_goes_on() {
    outlasts_the_idempotency_window(ConnectionUse::New).await;
}

#[tokio::test]
async fn past_the_idempotency_window_on_a_reused_connection_the_attempt_goes_on() {
    outlasts_the_idempotency_window(ConnectionUse::Reused).await;
}

#[tokio::test]
async fn as_its_client_leaves_the_attempt_goes_on() {
    outlasts_its_client(ConnectionUse::New).await;
}

#[tokio::test]
async fn as_its_client_leaves_a_reused_connection_the_attempt_goes_on() {
    outlasts_its_client(ConnectionUse::Reused).await;
}
