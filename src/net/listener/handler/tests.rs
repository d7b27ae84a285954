//! Tests of the answers to requests, with replies given by the test in place of the control actor.

use std::sync::atomic::AtomicU64;

use super::*;
use crate::net::listener::open_ids::OpenRequestIds;
use crate::net::runtime::memory_budget::MemoryBudget;
use crate::net::runtime::shutdown::ShutdownDeadline;
use sedgestack::platform::NameIndex;
use sedgestack::Idempotency;
use tokio::sync::{mpsc, watch};
use tower_service::Service;

/// Returns the routes, the control actor's mailbox (with capacity for one message) and the phase to set.
fn routes_and_mailbox() -> (Router, mpsc::Receiver<Message>, watch::Sender<Phase>) {
    let (control, mailbox) = mpsc::channel(1);
    let (phase_sender, phase) = watch::channel(Phase::Serving);
    let names = NameIndex::new(["read"], ["small"], []);
    let listener = Listener {
        names,
        idempotency: vec![Idempotency::Idempotent],
        is_ready: Arc::default(),
        phase,
        shutdown_deadline: ShutdownDeadline::default(),
        control,
        next_request_id: AtomicU64::new(1),
        max_units: 4.0,
        limiters: 4,
        max_timeout: Duration::from_secs(8),
        open_ids: OpenRequestIds::default(),
        stats: Arc::new(AdminStats::new(["read"])),
        memory: MemoryBudget::new(1 << 20, usize::MAX),
    };
    (routes(listener), mailbox, phase_sender)
}

fn request(timeout_ms: &str) -> axum::extract::Request {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    axum::http::Request::get("/read/00000000b4d65521")
        .header("X-Request-Id", NEXT.fetch_add(1, Relaxed))
        .header("X-Class", "read")
        .header("X-Contract", "small")
        .header("X-Deadline-Ms", timeout_ms)
        .header("X-Metering", "units=2,spread=3,first=1")
        .body(Body::empty())
        .expect("a request")
}

fn accepted(message: Option<Message>) -> AcceptedRequest {
    match message {
        Some(Message::Accepted(accepted)) => accepted,
        _ => panic!("the listener hands over a request"),
    }
}

/// A reply that never comes, and a reply whose sender is dropped, are both answered with 504.
#[tokio::test(start_paused = true)]
async fn lost_reply_is_answered_504_before_client_deadline() {
    let (mut routes, mut mailbox, _phase) = routes_and_mailbox();
    let started = Instant::now();
    let mut answer = routes.call(request("480"));
    assert!(futures_util::poll!(&mut answer).is_pending());
    let handed_over = accepted(mailbox.recv().await);
    assert_eq!((handed_over.request.units, handed_over.request.spread), (2.0, 3));
    assert_eq!(answer.await.map(|a| a.status()), Ok(StatusCode::GATEWAY_TIMEOUT));
    assert!(started.elapsed() < Duration::from_millis(480));
    assert!(matches!(mailbox.recv().await, Some(Message::Abandoned(id)) if id == handed_over.request.id));

    let mut answer = routes.call(request("480"));
    assert!(futures_util::poll!(&mut answer).is_pending());
    let started = Instant::now();
    drop(accepted(mailbox.recv().await).reply);
    assert_eq!(answer.await.map(|a| a.status()), Ok(StatusCode::GATEWAY_TIMEOUT));
    assert_eq!(started.elapsed(), Duration::ZERO, "answered at once");
}

/// The second request arrives while the mailbox is full and is rejected; the first client then disconnects.
#[tokio::test]
async fn client_disconnect_is_reported_despite_full_mailbox() {
    let (mut routes, mut mailbox, _phase) = routes_and_mailbox();
    let mut gone = routes.call(request("480"));
    assert!(futures_util::poll!(&mut gone).is_pending());
    assert_eq!(routes.call(request("480")).await.map(|a| a.status()), Ok(StatusCode::TOO_MANY_REQUESTS));
    drop(gone);
    let id = accepted(mailbox.recv().await).request.id;
    assert!(matches!(mailbox.recv().await, Some(Message::Abandoned(gone)) if gone == id));
}

#[tokio::test]
async fn responses_match_replies_of_control_actor() {
    let (mut routes, mut mailbox, phase) = routes_and_mailbox();
    let replies = [
        (Reply::Served("a report".into()), 200, None),
        (Reply::Rejected { retry_after: 250_000 }, 429, Some("0.250")),
        (Reply::Rejected { retry_after: 0 }, 429, None),
        (Reply::Failed, 502, None),
    ];
    for (reply, status, after) in replies {
        let mut answer = routes.call(request("480"));
        assert!(futures_util::poll!(&mut answer).is_pending());
        let version = (status == 200).then_some(7);
        accepted(mailbox.recv().await).reply.send((reply, version)).expect("the listener waits");
        let answer = answer.await.expect("an answer");
        assert_eq!(answer.status().as_u16(), status);
        let header = |name| answer.headers().get(name).map(|v: &HeaderValue| v.to_str().expect("text"));
        assert_eq!((header("retry-after"), header("connection")), (after, None));
        assert_eq!(header("x-rules"), version.map(|_| "7"));
    }
    phase.send_replace(Phase::Stopping);
    let ready = axum::http::Request::get("/ready").body(Body::empty()).expect("a request");
    assert_eq!(routes.call(ready).await.map(|a| a.status()), Ok(StatusCode::SERVICE_UNAVAILABLE));
}

/// The response to a request that the platform would not send states what was expected, byte for byte.
#[tokio::test]
async fn malformed_request_is_answered_with_what_was_expected() {
    let metering = "expected one X-Metering header with units, spread and first in range";
    let cases = [
        ("x-class", "write", "expected one X-Class header with the class of the path"),
        ("x-contract", "large", "expected one X-Contract header with a known plan"),
        ("x-request-id", "", "expected one X-Request-Id header"),
        ("x-deadline-ms", "+480", "expected one X-Deadline-Ms header with a whole number"),
        ("x-metering", "units=5,spread=3,first=1", metering),
        ("x-metering", "units=2,spread=3,first=4", metering),
        ("x-metering", "units=2,spread=3,spread=3,first=1", metering),
        ("content-length", "1", "this class allows no body"),
        ("transfer-encoding", "chunked", "expected a Content-Length, not a Transfer-Encoding"),
    ];
    let (mut routes, _mailbox, _phase) = routes_and_mailbox();
    for (name, value, expected) in cases {
        let mut request = request("480");
        request.headers_mut().insert(name, HeaderValue::from_static(value));
        let answer = routes.call(request).await.expect("an answer");
        assert_eq!(answer.status(), StatusCode::BAD_REQUEST, "{name}: {value}");
        assert_eq!(answer.headers().get("connection").expect("a connection header"), "close");
        let body = axum::body::to_bytes(answer.into_body(), usize::MAX).await.expect("a body");
        assert_eq!(body, format!("{expected}\n"), "{name}: {value}");
    }
    let unknown = axum::http::Request::get("/list/00000000b4d65521").body(Body::empty()).expect("a request");
    assert_eq!(routes.call(unknown).await.map(|a| a.status()), Ok(StatusCode::NOT_FOUND));
}
