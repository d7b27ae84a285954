//! Tests of long request bodies.

use super::*;
use crate::net::runtime::memory_budget::BytePool;

async fn body() -> (mpsc::Sender<BodyPart>, StreamedRequestBody) {
    let memory = BytePool::new(1).reserve(1).await;
    StreamedRequestBody::new(Bytes::from_static(b"first"), 100, memory, ShutdownDeadline::default())
}

/// A request whose rest was passed on must not be sent again: the rest is no longer there.
#[tokio::test]
async fn body_can_be_sent_again_until_its_rest_is_taken() {
    let (_sender, streamed) = body().await;
    let body = RequestBody::Streamed(streamed);
    assert!(body.is_replayable());
    let RequestBody::Streamed(streamed) = &body else { unreachable!("the body is streamed") };
    assert!(streamed.take_rest().is_some());
    assert!(!body.is_replayable() && streamed.take_rest().is_none());
}

/// A deadline moves while the limiter waits for the client, and not while the backend takes its time.
#[tokio::test(start_paused = true)]
async fn deadline_moves_by_the_time_for_which_the_client_is_awaited() {
    let (_sender, streamed) = body().await;
    let started = Instant::now();
    let deadline = started + Duration::from_secs(1);
    streamed.begin_client_wait();
    tokio::time::sleep(Duration::from_secs(3)).await;
    streamed.end_client_wait();
    let body = RequestBody::Streamed(streamed);
    body.wait_until(deadline).await;
    let waited = started.elapsed();
    assert!(waited >= Duration::from_secs(4) && waited < Duration::from_millis(4_010), "{waited:?}");
}
