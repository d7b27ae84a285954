//! Attempts and health checks on real sockets, against scripted backends.

mod answer_begun;
mod behavior;

use std::sync::atomic::{AtomicBool, Ordering::Relaxed};

use super::actor::BackendActor;
use super::dialer::Dialer;
use super::*;
use crate::net::control::message::{AttemptOutcome, ForwardedRequest};
use crate::net::fixed_seed_config;
use crate::net::listener::open_ids::OpenRequestIds;
use axum::http::{HeaderValue, Method};
use bytes::Bytes;
use futures_util::future::{abortable, AbortHandle};
use proptest::prelude::*;
use sedgestack::Outcome;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::net::request_body::RequestBody;
use crate::net::runtime::memory_budget::MemoryBudget;
use behavior::BackendBehavior::{self, *};
use behavior::ALL;

/// Serves connections as the requested behaviors say. Reports each accepted connection, each complete request and each
/// closed connection.
async fn serve_script(listener: TcpListener, events: mpsc::UnboundedSender<&'static str>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let _ = events.send("accepted");
        let events = events.clone();
        tokio::spawn(async move {
            let (mut text, mut buffer) = (String::new(), [0; 1024]);
            loop {
                match stream.read(&mut buffer).await {
                    Ok(count) if count > 0 => text += std::str::from_utf8(&buffer[..count]).unwrap(),
                    _ => break,
                }
                if !text.ends_with("\r\n\r\nbody") {
                    continue;
                }
                let behavior = ALL.iter().find(|c| text.starts_with(&format!("POST /{c:?} "))).unwrap();
                text.clear();
                let _ = events.send("read");
                let _ = stream.write_all(behavior.response()).await;
                // Endless responses are written for as long as the client reads.
                while matches!(behavior, EndlessHead | OversizedBody)
                    && stream.write_all(&[b'x'; 4096]).await.is_ok()
                {}
                if matches!(behavior, CloseUnanswered | ClosePartway) {
                    break;
                }
            }
            drop(stream);
            let _ = events.send("ended");
        });
    }
}

fn attempt(behavior: BackendBehavior, number: u32, timeout: Duration) -> Attempt {
    let forward = ForwardedRequest {
        method: Method::POST,
        path: format!("/{behavior:?}").try_into().unwrap(),
        id: OpenRequestIds::default().claim(HeaderValue::from_static("9b1f03aa5c7e2d41")).unwrap(),
        key: None,
        body: RequestBody::Whole(Bytes::from_static(b"body")),
        client_gone: CancellationToken::new(),
    };
    let started_at = Instant::now();
    Attempt {
        request: 1,
        number,
        forward: Arc::new(forward),
        started_at,
        deadline: started_at + timeout,
        timeout: None,
        write_deadline: None,
    }
}

const LONG_TIMEOUT: Duration = Duration::from_secs(60);

pub(super) fn upstream_shared() -> (Arc<UpstreamShared>, mpsc::Receiver<Message>) {
    let (control, mailbox) = mpsc::channel(64);
    let sockets = Arc::new(Semaphore::new(8));
    let names = NameIndex::new(["read"], ["small"], ["util"]);
    let stats = Arc::new(AdminStats::new(["read"]));
    (
        Arc::new(UpstreamShared {
            names,
            connect_timeout: LONG_TIMEOUT,
            keepalive: LONG_TIMEOUT,
            sockets,
            control,
            stats,
            memory: MemoryBudget::new(1 << 20, usize::MAX),
            pass_on_margin: PassOnMargin {
                before_deadline: Duration::ZERO,
                before_giving_up: Duration::from_millis(30),
            },
        }),
        mailbox,
    )
}

async fn ended_attempt(mailbox: &mut mpsc::Receiver<Message>) -> AttemptOutcome {
    match mailbox.recv().await {
        Some(Message::AttemptEnded(ended)) => ended,
        _ => panic!("expected the end of an attempt"),
    }
}

/// A backend's actor connected to a scripted listener.
struct ScriptedBackend {
    handle: BackendHandle,
    /// Events reported by the listener.
    events: mpsc::UnboundedReceiver<&'static str>,
    /// The control actor's mailbox.
    mailbox: mpsc::Receiver<Message>,
    listener_task: AbortHandle,
}

async fn scripted_backend() -> ScriptedBackend {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (event_sender, events) = mpsc::unbounded_channel();
    let (served, listener_task) = abortable(serve_script(listener, event_sender));
    tokio::spawn(served);
    let (shared, mailbox) = upstream_shared();
    let handle = BackendHandle::new("s-1".into(), addr, shared);
    ScriptedBackend { handle, events, mailbox, listener_task }
}

/// Makes attempts one after another and tracks whether a connection must be open.
async fn make_attempts(behaviors: Vec<BackendBehavior>) {
    let ScriptedBackend { handle, mut events, mut mailbox, listener_task } = scripted_backend().await;
    let mut is_connected = false;
    for (number, behavior) in behaviors.into_iter().enumerate() {
        let number = number as u32;
        // On a new connection, a short deadline could pass during the dial, which has another outcome.
        let times_out = matches!(behavior, Silent | StallPartway);
        if times_out && !is_connected {
            continue;
        }
        let timeout = if times_out { Duration::from_millis(5) } else { LONG_TIMEOUT };
        assert!(handle.send(BackendCommand::Attempt(attempt(behavior, number, timeout))));
        if !is_connected {
            assert_eq!(events.recv().await, Some("accepted"), "{behavior:?}");
        }
        assert_eq!(events.recv().await, Some("read"), "{behavior:?}");
        if behavior == Cancel {
            handle.send(BackendCommand::Cancel { request: 1, attempt: number });
        }
        let ended = ended_attempt(&mut mailbox).await;
        let (outcome, is_reusable) = behavior.expected();
        assert_eq!((ended.attempt, ended.outcome), (number, outcome), "{behavior:?}");
        let is_ok = outcome == Outcome::Ok;
        assert_eq!(ended.body.as_deref(), is_ok.then_some(&b"ok"[..]), "{behavior:?}");
        assert_eq!(ended.report.utilization.is_some(), is_ok && behavior != MalformedHeaders, "{behavior:?}");
        assert_eq!((ended.metered_usage, ended.actual_units), (None, None), "{behavior:?}");
        // The attempt must not continue in the background: its connection closes with it.
        if !is_reusable {
            assert_eq!(events.recv().await, Some("ended"), "{behavior:?}");
        }
        is_connected = is_reusable;
    }
    handle.close();
    handle.send(BackendCommand::Attempt(attempt(Serve, 99, LONG_TIMEOUT)));
    assert_eq!(ended_attempt(&mut mailbox).await.outcome, Outcome::NotSent, "the backend is closed");
    assert!(events.try_recv().is_err());
    listener_task.abort();
}

proptest! {
    #![proptest_config(fixed_seed_config(48))]
    /// The outcome of each attempt matches what the backend did, on an open connection or on a new one.
    #[test]
    fn attempt_outcomes_match_backend_behavior(
        behaviors in prop::collection::vec(
            prop::sample::select(ALL.to_vec()),
            1..12,
        )
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(make_attempts(behaviors));
    }
}

/// A request is never written if its backend starts to drain while the connection is being opened.
#[tokio::test]
async fn request_is_not_written_if_backend_drains_during_dial() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (shared, _mailbox) = upstream_shared();
    let backend_closed = Arc::new(AtomicBool::new(false));
    let addr = listener.local_addr().unwrap();
    let dialer = Dialer { addr, backend_closed: backend_closed.clone(), shared };
    let actor = BackendActor::new("s-1".into(), dialer);
    let attempt = actor.prepare_attempt(attempt(Serve, 0, LONG_TIMEOUT)).run();
    tokio::pin!(attempt);
    assert!(futures_util::poll!(attempt.as_mut()).is_pending(), "the attempt is dialling");
    backend_closed.store(true, Relaxed);
    assert_eq!(attempt.await.outcome, Outcome::NotSent);
    let (mut stream, _) = listener.accept().await.unwrap();
    drop(actor);
    assert_eq!(stream.read(&mut [0; 1]).await.unwrap(), 0, "nothing was written");
}

/// A second copy of a response, which arrives before the runtime polls the socket, must not be read as the response to
/// the next request.
#[tokio::test]
async fn bytes_received_before_a_request_are_not_its_response() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (shared, mut mailbox) = upstream_shared();
    let handle = BackendHandle::new("s-1".into(), listener.local_addr().unwrap(), shared);
    let mut streams = Vec::new();
    for (number, body) in [b"ok", b"no"].into_iter().enumerate() {
        handle.send(BackendCommand::Attempt(attempt(Serve, number as u32, LONG_TIMEOUT)));
        let (mut stream, _) = tokio::select! {
            accepted = listener.accept() => accepted.unwrap(),
            ended = ended_attempt(&mut mailbox) => panic!("stale bytes were read as the response: {ended:?}"),
        };
        let mut text = Vec::new();
        while !text.ends_with(b"\r\n\r\nbody") {
            stream.read_buf(&mut text).await.unwrap();
        }
        let head = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n";
        stream.write_all(&[&head[..], body].concat()).await.unwrap();
        assert_eq!(ended_attempt(&mut mailbox).await.body.as_deref(), Some(&body[..]));
        stream.try_write(Serve.response()).unwrap();
        streams.push(stream);
    }
}

/// Backends accept few connections, and opening one takes time.
#[tokio::test]
async fn sequential_attempts_share_a_connection() {
    let ScriptedBackend { handle, mut events, mut mailbox, listener_task } = scripted_backend().await;
    for number in 0..20 {
        handle.send(BackendCommand::Attempt(attempt(Serve, number, LONG_TIMEOUT)));
        assert_eq!(ended_attempt(&mut mailbox).await.outcome, Outcome::Ok);
    }
    let mut all = Vec::new();
    while let Ok(event) = events.try_recv() {
        all.push(event);
    }
    assert_eq!(all.iter().filter(|event| **event == "accepted").count(), 1, "{all:?}");
    listener_task.abort();
}

#[tokio::test]
async fn health_check_reports_load() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (shared, mut mailbox) = upstream_shared();
    let handle = BackendHandle::new("s-1".into(), listener.local_addr().unwrap(), shared);
    let started_at = Instant::now();
    handle.send(BackendCommand::Probe { started_at, deadline: started_at + LONG_TIMEOUT });
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut head = [0; 12];
    stream.read_exact(&mut head).await.unwrap();
    assert_eq!(&head, b"GET /health ");
    stream.write_all(Serve.response()).await.unwrap();
    match mailbox.recv().await {
        Some(Message::HealthChecked { outcome: Outcome::Ok, report, .. }) => {
            assert_eq!(report.utilization, Some(0.5));
        }
        _ => panic!("expected a successful health check"),
    }
}

/// A dial fails for lack of file descriptors in this process, or because nothing listens at the backend.
#[tokio::test]
async fn failed_dial_proves_that_the_request_did_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (shared, mut mailbox) = upstream_shared();
    let all = shared.sockets.clone().acquire_many_owned(8).await.unwrap();
    let handle = BackendHandle::new("s-1".into(), listener.local_addr().unwrap(), shared);
    handle.send(BackendCommand::Attempt(attempt(Serve, 0, LONG_TIMEOUT)));
    assert_eq!(ended_attempt(&mut mailbox).await.outcome, Outcome::NotSent, "no file descriptor is left");
    drop((all, listener));
    handle.send(BackendCommand::Attempt(attempt(Serve, 1, LONG_TIMEOUT)));
    assert_eq!(ended_attempt(&mut mailbox).await.outcome, Outcome::ConnectFailed, "nothing listens");
}

/// Guards against a published count of fully written attempts that lacks those that timed out. Attempts used to be
/// counted only when the response head was read or the connection broke, and neither happens if a backend is silent.
#[tokio::test]
async fn timed_out_attempt_counts_as_fully_written() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (shared, mut mailbox) = upstream_shared();
    let handle = BackendHandle::new("s-1".into(), listener.local_addr().unwrap(), shared.clone());
    let written = || shared.stats.json()["upstream_requests"].as_u64().unwrap();
    let mut timeout = Duration::from_millis(50);
    loop {
        let before = written();
        handle.send(BackendCommand::Attempt(attempt(Silent, 0, timeout)));
        let (_stream, _) = listener.accept().await.unwrap();
        let ended = ended_attempt(&mut mailbox).await;
        if ended.outcome == Outcome::TimedOut {
            assert_eq!(written() - before, 1);
            return;
        }
        // The machine was too slow to write the request in time.
        assert_eq!((ended.outcome, written() - before), (Outcome::ConnectFailed, 0));
        timeout *= 2;
    }
}
