//! Tests of the memory budget.

use std::time::Duration;

use futures_util::task::noop_waker;
use tokio::time::timeout;

use super::*;

#[tokio::test]
async fn reservation_waits_until_bytes_are_released() {
    let pool = BytePool::new(1_000);
    let first = pool.reserve(700).await;
    assert!(timeout(Duration::from_millis(10), pool.reserve(400)).await.is_err());
    assert_eq!((pool.reserved(), pool.waiting()), (700, 0), "a caller that gave up does not wait");
    drop(first);
    let all = pool.reserve(5_000).await;
    assert_eq!(pool.reserved(), 1_000, "a reservation is cut to the capacity");
    let bytes = all.attach(Bytes::from_static(b"a report"));
    let copy = bytes.clone();
    drop(bytes);
    assert_eq!((&copy[..], pool.reserved()), (&b"a report"[..], 1_000));
    drop(copy);
    assert_eq!(pool.reserved(), 0);
}

/// A head in the guaranteed part is read also if others hold all of the budget.
#[tokio::test]
async fn short_head_is_read_without_a_reservation() {
    let pool = BytePool::new(LONG_HEAD_BYTES);
    let waker = noop_waker();
    let mut cx = Context::from_waker(&waker);
    let (mut long, mut short) = (HeadAllowance::new(pool.clone()), HeadAllowance::new(pool.clone()));
    long.record_read(GUARANTEED_HEAD_BYTES);
    assert_eq!(long.poll_allowed(&mut cx), Poll::Ready(usize::MAX));
    short.record_read(1_000);
    assert_eq!(short.poll_allowed(&mut cx), Poll::Ready(GUARANTEED_HEAD_BYTES - 1_000));
    short.record_read(GUARANTEED_HEAD_BYTES - 1_000);
    assert!(short.poll_allowed(&mut cx).is_pending());
    assert_eq!(pool.waiting(), 1);
    long.reset();
    assert_eq!(short.poll_allowed(&mut cx), Poll::Ready(usize::MAX));
    assert_eq!(pool.waiting(), 0);
}
