//! Discovery answers calls late.
//!
//! A limiter sent requests to a draining server 0.39 to 0.55 s after the drain counted as told. Discovery answered
//! calls in turn, 0.29 s each, and a call was given up after 1 s: its answer came 0.46 s later, to nobody, and the call
//! made in its place stood at the end of the queue (trace: watch reset 4.523, call 5.025, given up 6.025, called again
//! 6.525, told 7.239; told by the bench's count at 6.49, requests from 6.971 on).

use super::*;

/// So many calls may be under way: the newest and the late ones.
const MAX_CALLS: usize = 4;

/// Answered as it waits, in the backoff after it, and beside later calls.
#[tokio::test(start_paused = true)]
async fn a_call_that_waits_its_turn_is_heard_as_it_is_answered() {
    for waits_ms in [20, 990, 1_010, 1_040, 1_300, 2_400, 3_900] {
        let mut discovery = TestDiscovery::new();
        let mut call = discovery.next_call().await;
        let answered = call.at + Duration::from_millis(waits_ms);
        sleep_until(answered).await;
        call.answer(&list(2, false)).await;
        assert_eq!(discovery.next_change().await, (2, answered), "after {waits_ms} ms");
        call.send(&list(3, false)).await;
        assert_eq!(discovery.next_change().await.0, 3, "it is the watch");
    }
}

/// Every call takes longer than until the next one is made.
#[tokio::test(start_paused = true)]
async fn a_discovery_whose_every_call_is_late_is_heard_after_each_reset() {
    let mut discovery = TestDiscovery::new();
    for version in 2..6 {
        let mut call = discovery.next_call().await;
        sleep_until(call.at + Duration::from_millis(1_700)).await;
        call.answer(&list(version, false)).await;
        assert_eq!(discovery.next_change().await.0, version);
        // Calls made meanwhile were given up as the first was answered.
        while let Ok((_, mut stream)) = discovery.calls.try_recv() {
            stream.read_to_end(&mut Vec::new()).await.expect("it is closed");
        }
        drop(call);
    }
}

/// A late call that fails ends neither the newer one nor its backoff.
#[tokio::test(start_paused = true)]
async fn a_late_call_that_fails_leaves_the_newer_one_alone() {
    let mut discovery = TestDiscovery::new();
    let mut late = discovery.next_call().await;
    let mut newer = discovery.next_call().await;
    late.stream.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n").await.expect("it is read");
    sleep_until(newer.at + Duration::from_millis(900)).await;
    newer.answer(&list(2, false)).await;
    assert_eq!(discovery.next_change().await.0, 2);
    assert!(discovery.calls.try_recv().is_err(), "no further call was made");
}

/// Calls that hang for ever take no more than so many descriptors.
#[tokio::test(start_paused = true)]
async fn calls_that_hang_are_given_up_the_oldest_first() {
    let mut discovery = TestDiscovery::new();
    discovery.let_calls_hang(20).await;
    let open = discovery.held_calls.len() - MAX_CALLS;
    for call in &mut discovery.held_calls[..open] {
        call.stream.read_to_end(&mut Vec::new()).await.expect("it is closed");
    }
    let mut oldest = discovery.held_calls.remove(open);
    oldest.answer(&list(2, false)).await;
    assert_eq!(discovery.next_change().await.0, 2);
}
