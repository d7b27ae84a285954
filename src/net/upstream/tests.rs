//! Attempts and health checks on real sockets, before backends that a test scripts.

mod answer_begun;

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

/// What a scripted backend does with a request; its name is the request's path.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Conduct {
    Serve,
    Reject,
    PlainBusy,
    Error,
    Close,
    Half,
    Silent,
    /// The head of an answer and part of its body, and nothing more.
    Stalled,
    Cancel,
    /// Good answers, with more than belongs to them.
    Early,
    Odd,
    Behind,
    Twice,
    /// Malformed answers on a connection that stays open.
    Noise,
    Endless,
    Huge,
    Lengths,
    Framings,
    Negative,
}
use Conduct::*;

const ALL: [Conduct; 19] = [
    Serve, Reject, PlainBusy, Error, Close, Half, Silent, Stalled, Cancel, Early, Odd, Behind, Twice, Noise,
    Endless, Huge, Lengths, Framings, Negative,
];

impl Conduct {
    fn answer(self) -> &'static [u8] {
        match self {
            Serve => b"HTTP/1.1 200 OK\r\nX-Load: util=0.5\r\nContent-Length: 2\r\n\r\nok",
            Reject => b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
            PlainBusy => b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
            Error => b"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n",
            Half | Stalled => b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nha",
            Close | Silent | Cancel => b"",
            Early => {
                b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n\
                HTTP/1.1 200 OK\r\nX-Load: util=0.5\r\nContent-Length: 2\r\n\r\nok"
            }
            Odd => {
                b"HTTP/1.1 200 OK\r\nX-Load: util=much\r\nX-Meter: NaN\r\nX-Settled: inf\r\n\
                Content-Length: 2\r\n\r\nok"
            }
            Behind => b"HTTP/1.1 200 OK\r\nX-Load: util=0.5\r\nContent-Length: 2\r\n\r\nok\x07\x00noise",
            Twice => {
                b"HTTP/1.1 200 OK\r\nX-Load: util=0.5\r\nContent-Length: 2\r\n\r\nok\
                HTTP/1.1 200 OK\r\nX-Load: util=0.5\r\nContent-Length: 2\r\n\r\nok"
            }
            Noise => b"\x16\x03\x01 no answer at all\r\n\r\n",
            Endless => b"HTTP/1.1 200 OK\r\nX-More: and more",
            Huge => b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nand more",
            Lengths => b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
            Framings => {
                b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n\
                2\r\nok\r\n0\r\n\r\n"
            }
            Negative => b"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok",
        }
    }

    /// The outcome, and whether the connection can be used again.
    fn expected(self) -> (Outcome, bool) {
        match self {
            Serve => (Outcome::Ok, true),
            Reject => (Outcome::Rejected, true),
            PlainBusy | Error => (Outcome::Error, true),
            Early | Odd => (Outcome::Ok, true),
            Behind | Twice => (Outcome::Ok, false),
            Noise | Endless | Huge | Lengths | Framings | Negative => (Outcome::Reset, false),
            Close | Half => (Outcome::Reset, false),
            Silent | Stalled => (Outcome::TimedOut, false),
            Cancel => (Outcome::Canceled, false),
        }
    }
}

/// Accepts connections and reports each, each request that came whole, and each end.
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
                let conduct = ALL.iter().find(|c| text.starts_with(&format!("POST /{c:?} "))).unwrap();
                text.clear();
                let _ = events.send("read");
                let _ = stream.write_all(conduct.answer()).await;
                // What has no end goes on for as long as it is read.
                while matches!(conduct, Endless | Huge) && stream.write_all(&[b'x'; 4096]).await.is_ok() {}
                if matches!(conduct, Close | Half) {
                    break;
                }
            }
            drop(stream);
            let _ = events.send("ended");
        });
    }
}

fn attempt(conduct: Conduct, number: u32, timeout: Duration) -> Attempt {
    let forward = ForwardedRequest {
        method: Method::POST,
        path: format!("/{conduct:?}").try_into().unwrap(),
        id: OpenRequestIds::default().claim(HeaderValue::from_static("9b1f03aa5c7e2d41")).unwrap(),
        key: None,
        body: Bytes::from_static(b"body"),
        client_gone: CancellationToken::new(),
    };
    let begun = Instant::now();
    Attempt {
        request: 1,
        number,
        forward: Arc::new(forward),
        begun,
        deadline: begun + timeout,
        written_by: None,
    }
}

const LONG: Duration = Duration::from_secs(60);

pub(super) fn upstream_shared() -> (Arc<UpstreamShared>, mpsc::Receiver<Message>) {
    let (control, mailbox) = mpsc::channel(64);
    let sockets = Arc::new(Semaphore::new(8));
    let names = NameIndex::new(["read"], ["small"], ["util"]);
    let stats = Arc::new(AdminStats::new(["read"]));
    (
        Arc::new(UpstreamShared { names, connect_timeout: LONG, keepalive: LONG, sockets, control, stats }),
        mailbox,
    )
}

async fn ended_attempt(mailbox: &mut mpsc::Receiver<Message>) -> AttemptOutcome {
    match mailbox.recv().await {
        Some(Message::AttemptEnded(ended)) => ended,
        _ => panic!("a backend's actor reports how attempts ended"),
    }
}

/// A backend's actor before a scripted listener.
struct ScriptedBackend {
    handle: BackendHandle,
    /// What the listener reports.
    events: mpsc::UnboundedReceiver<&'static str>,
    /// The module's mailbox.
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
    let handle = BackendHandle::start("s-1".into(), addr, shared);
    ScriptedBackend { handle, events, mailbox, listener_task }
}

/// Makes attempts one after another; the model knows whether a connection is open.
async fn make_attempts(conducts: Vec<Conduct>) {
    let ScriptedBackend { handle, mut events, mut mailbox, listener_task } = scripted_backend().await;
    let mut is_connected = false;
    for (number, conduct) in conducts.into_iter().enumerate() {
        let number = number as u32;
        // A deadline can be told from a dial that failed only where no dial is needed.
        let times_out = matches!(conduct, Silent | Stalled);
        if times_out && !is_connected {
            continue;
        }
        let timeout = if times_out { Duration::from_millis(5) } else { LONG };
        assert!(handle.send(BackendCommand::Attempt(attempt(conduct, number, timeout))));
        if !is_connected {
            assert_eq!(events.recv().await, Some("accepted"), "{conduct:?}");
        }
        assert_eq!(events.recv().await, Some("read"), "{conduct:?}");
        if conduct == Cancel {
            handle.send(BackendCommand::Cancel { request: 1, attempt: number });
        }
        let ended = ended_attempt(&mut mailbox).await;
        let (outcome, is_reusable) = conduct.expected();
        assert_eq!((ended.attempt, ended.outcome), (number, outcome), "{conduct:?}");
        let is_ok = outcome == Outcome::Ok;
        assert_eq!(ended.body.as_deref(), is_ok.then_some(&b"ok"[..]), "{conduct:?}");
        assert_eq!(ended.report.utilization.is_some(), is_ok && conduct != Odd, "{conduct:?}");
        assert_eq!((ended.metered_usage, ended.actual_units), (None, None), "{conduct:?}");
        // Guards against an attempt that goes on unseen: its connection ends with it.
        if !is_reusable {
            assert_eq!(events.recv().await, Some("ended"), "{conduct:?}");
        }
        is_connected = is_reusable;
    }
    handle.close();
    handle.send(BackendCommand::Attempt(attempt(Serve, 99, LONG)));
    assert_eq!(ended_attempt(&mut mailbox).await.outcome, Outcome::NotSent, "the backend drains");
    assert!(events.try_recv().is_err());
    listener_task.abort();
}

proptest! {
    #![proptest_config(fixed_seed_config(48))]
    /// Each attempt ends as what the backend did proves, on the connection that is open or on a new one.
    #[test]
    fn attempts_end_as_what_the_backend_did_proves(
        conducts in prop::collection::vec(
            prop::sample::select(ALL.to_vec()),
            1..12,
        )
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(make_attempts(conducts));
    }
}

/// A request that waited for its connection while its backend began to drain is never written.
#[tokio::test]
async fn a_connection_that_comes_up_while_draining_takes_no_request() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (shared, _mailbox) = upstream_shared();
    let backend_closed = Arc::new(AtomicBool::new(false));
    let addr = listener.local_addr().unwrap();
    let dialer = Dialer { addr, backend_closed: backend_closed.clone(), shared };
    let actor = BackendActor::new("s-1".into(), dialer);
    let attempt = actor.attempt_run(attempt(Serve, 0, LONG)).run();
    tokio::pin!(attempt);
    assert!(futures_util::poll!(attempt.as_mut()).is_pending(), "it dials");
    backend_closed.store(true, Relaxed);
    assert_eq!(attempt.await.outcome, Outcome::NotSent);
    let (mut stream, _) = listener.accept().await.unwrap();
    drop(actor);
    assert_eq!(stream.read(&mut [0; 1]).await.unwrap(), 0, "nothing was written");
}

/// A copy of an answer that comes behind it, before the runtime looks, is not the next request's answer.
#[tokio::test]
async fn bytes_received_before_a_request_are_not_its_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (shared, mut mailbox) = upstream_shared();
    let handle = BackendHandle::start("s-1".into(), listener.local_addr().unwrap(), shared);
    let mut streams = Vec::new();
    for (number, answer) in [b"ok", b"no"].into_iter().enumerate() {
        handle.send(BackendCommand::Attempt(attempt(Serve, number as u32, LONG)));
        let (mut stream, _) = tokio::select! {
            accepted = listener.accept() => accepted.unwrap(),
            ended = ended_attempt(&mut mailbox) => panic!("answered by what came before: {ended:?}"),
        };
        let mut text = Vec::new();
        while !text.ends_with(b"\r\n\r\nbody") {
            stream.read_buf(&mut text).await.unwrap();
        }
        let head = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n";
        stream.write_all(&[&head[..], answer].concat()).await.unwrap();
        assert_eq!(ended_attempt(&mut mailbox).await.body.as_deref(), Some(&answer[..]));
        stream.try_write(Serve.answer()).unwrap();
        streams.push(stream);
    }
}

/// Connections at a backend are scarce, and a new one costs time.
#[tokio::test]
async fn attempts_one_after_another_share_one_connection() {
    let ScriptedBackend { handle, mut events, mut mailbox, listener_task } = scripted_backend().await;
    for number in 0..20 {
        handle.send(BackendCommand::Attempt(attempt(Serve, number, LONG)));
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
async fn a_health_check_reports_the_load() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (shared, mut mailbox) = upstream_shared();
    let handle = BackendHandle::start("s-1".into(), listener.local_addr().unwrap(), shared);
    let begun = Instant::now();
    handle.send(BackendCommand::Probe { begun, deadline: begun + LONG });
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut head = [0; 12];
    stream.read_exact(&mut head).await.unwrap();
    assert_eq!(&head, b"GET /health ");
    stream.write_all(Serve.answer()).await.unwrap();
    match mailbox.recv().await {
        Some(Message::HealthChecked { outcome: Outcome::Ok, report, .. }) => {
            assert_eq!(report.utilization, Some(0.5));
        }
        _ => panic!("a health check that was answered"),
    }
}

/// For want of descriptors here, or as nobody listens at the backend.
#[tokio::test]
async fn a_dial_that_fails_proves_that_nothing_ran() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (shared, mut mailbox) = upstream_shared();
    let all = shared.sockets.clone().acquire_many_owned(8).await.unwrap();
    let handle = BackendHandle::start("s-1".into(), listener.local_addr().unwrap(), shared);
    handle.send(BackendCommand::Attempt(attempt(Serve, 0, LONG)));
    assert_eq!(ended_attempt(&mut mailbox).await.outcome, Outcome::NotSent, "no descriptor is left");
    drop((all, listener));
    handle.send(BackendCommand::Attempt(attempt(Serve, 1, LONG)));
    assert_eq!(ended_attempt(&mut mailbox).await.outcome, Outcome::ConnectFailed, "nobody listens");
}

/// Operators read the count of attempts that were written whole. Those that timed out were missing in it: they were counted
/// as the head of their answer was read, or as their connection broke, and neither happens where a backend is silent.
#[tokio::test]
async fn an_attempt_that_times_out_counts_as_written_whole() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (shared, mut mailbox) = upstream_shared();
    let handle = BackendHandle::start("s-1".into(), listener.local_addr().unwrap(), shared.clone());
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
        // The machine was too slow to write it in time.
        assert_eq!((ended.outcome, written() - before), (Outcome::ConnectFailed, 0));
        timeout *= 2;
    }
}
