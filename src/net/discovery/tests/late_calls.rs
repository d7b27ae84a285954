//! Discovery answers calls late.
//!
//! Guards against a limiter that still sends requests to a draining server after the time by which it must know of the
//! drain, which happened by 0.39 to 0.55 s. Discovery answered calls in turn, 0.29 s each, and the limiter gave up a
//! call after 1 s. The answer came 0.46 s later and was lost, and the call made in its place went to the end of the
//! queue. In one trace the watch was reset at 4.523 s, the call was made at 5.025 s, given up at 6.025 s and made again
//! at 6.525 s, and the drain was reported at 7.239 s. The limiter had to know it by 6.49 s, but sent requests from
//! 6.971 s on.

use super::*;

/// Maximum number of pending calls: the newest one and the late ones.
const MAX_CALLS: usize = 4;

/// The answer may arrive before the call is late, during the backoff after that, or while later calls are pending.
#[tokio::test(start_paused = true)]
async fn late_answer_is_used_as_soon_as_it_arrives() {
    for delay_ms in [20, 990, 1_010, 1_040, 1_300, 2_400, 3_900] {
        let mut discovery = TestDiscovery::new();
        let mut call = discovery.next_call().await;
        let answered_at = call.at + Duration::from_millis(delay_ms);
        sleep_until(answered_at).await;
        call.answer(&list(2, false)).await;
        assert_eq!(discovery.next_change().await, (2, answered_at), "after {delay_ms} ms");
        call.send(&list(3, false)).await;
        assert_eq!(discovery.next_change().await.0, 3, "the answered call is the watch");
    }
}

/// Every call takes so long that the next one is made before it is answered.
#[tokio::test(start_paused = true)]
async fn changes_are_reported_if_every_call_is_late() {
    let mut discovery = TestDiscovery::new();
    for version in 2..6 {
        let mut call = discovery.next_call().await;
        sleep_until(call.at + Duration::from_millis(1_700)).await;
        call.answer(&list(version, false)).await;
        assert_eq!(discovery.next_change().await.0, version);
        // The calls made in the meantime were given up when the first one was answered.
        while let Ok((_, mut stream)) = discovery.calls.try_recv() {
            stream.read_to_end(&mut Vec::new()).await.expect("the stream ends");
        }
        drop(call);
    }
}

/// The failure of a late call neither ends the newer call nor causes another one.
#[tokio::test(start_paused = true)]
async fn failed_late_call_does_not_affect_the_newer_one() {
    let mut discovery = TestDiscovery::new();
    let mut late = discovery.next_call().await;
    let mut newer = discovery.next_call().await;
    late.stream.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n").await.expect("the watch reads");
    sleep_until(newer.at + Duration::from_millis(900)).await;
    newer.answer(&list(2, false)).await;
    assert_eq!(discovery.next_change().await.0, 2);
    assert!(discovery.calls.try_recv().is_err(), "no further call was made");
}

/// Limits the file descriptors used by calls that hang forever.
#[tokio::test(start_paused = true)]
async fn hanging_calls_are_given_up_oldest_first() {
    let mut discovery = TestDiscovery::new();
    discovery.let_calls_hang(20).await;
    let given_up = discovery.held_calls.len() - MAX_CALLS;
    for call in &mut discovery.held_calls[..given_up] {
        call.stream.read_to_end(&mut Vec::new()).await.expect("the stream ends");
    }
    let mut oldest = discovery.held_calls.remove(given_up);
    oldest.answer(&list(2, false)).await;
    assert_eq!(discovery.next_change().await.0, 2);
}
