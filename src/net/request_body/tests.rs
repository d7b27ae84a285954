//! Tests of long request bodies.

use super::*;
use crate::net::runtime::memory_budget::BytePool;

async fn body(client_wait: Arc<ClientWait>) -> (mpsc::Sender<BodyPart>, StreamedRequestBody) {
    let memory = BytePool::new(1).reserve(1).await;
    StreamedRequestBody::new(
        Bytes::from_static(b"first"),
        100,
        memory,
        client_wait,
        ShutdownDeadline::default(),
    )
}

/// A request whose rest was passed on must not be sent again: the rest is no longer there.
#[tokio::test]
async fn body_can_be_sent_again_until_its_rest_is_taken() {
    let (_sender, streamed) = body(Arc::default()).await;
    let body = RequestBody::Streamed(streamed);
    assert!(body.is_replayable());
    let RequestBody::Streamed(streamed) = &body else { unreachable!("the body is streamed") };
    assert!(streamed.take_rest().is_some());
    assert!(!body.is_replayable() && streamed.take_rest().is_none());
}

/// A deadline moves while the limiter waits for the client, and not while the backend takes its time.
#[tokio::test(start_paused = true)]
async fn deadline_moves_by_the_time_for_which_the_client_is_awaited() {
    let client_wait = Arc::new(ClientWait::default());
    let (_sender, streamed) = body(client_wait.clone()).await;
    let started = Instant::now();
    let deadline = started + Duration::from_secs(1);
    client_wait.set_socket_empty(true);
    client_wait.set_room(true);
    tokio::time::sleep(Duration::from_secs(3)).await;
    client_wait.set_socket_empty(false);
    let body = RequestBody::Streamed(streamed);
    body.wait_until(deadline).await;
    let waited = started.elapsed();
    assert!(waited >= Duration::from_secs(4) && waited < Duration::from_millis(4_010), "{waited:?}");
}

/// Only an empty socket shows that the client is awaited: otherwise the limiter or the backend is late.
#[tokio::test(start_paused = true)]
async fn client_is_awaited_only_with_room_and_an_empty_socket() {
    let wait = ClientWait::default();
    let second = Duration::from_secs(1);
    wait.set_room(true);
    tokio::time::sleep(second).await;
    assert_eq!(wait.waited(), Duration::ZERO, "there were bytes in the socket");
    wait.set_socket_empty(true);
    tokio::time::sleep(second).await;
    wait.set_room(false);
    tokio::time::sleep(second).await;
    assert_eq!(wait.waited(), second, "there was no room");
    wait.set_room(true);
    tokio::time::sleep(second).await;
    assert_eq!(wait.waited(), 2 * second);
}
