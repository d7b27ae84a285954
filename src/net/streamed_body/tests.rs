//! Tests of streamed bodies.

use http_body_util::BodyExt;

use super::*;
use crate::net::runtime::memory_budget::BytePool;

async fn body(length: Option<u64>) -> (mpsc::Sender<BodyPart>, StreamedBody) {
    let memory = BytePool::new(1).reserve(1).await;
    StreamedBody::new(Bytes::from_static(b"first "), length, memory)
}

#[tokio::test]
async fn parts_arrive_in_order_and_whole() {
    for length in [None, Some(10)] {
        let (sender, body) = body(length).await;
        assert_eq!(body.size_hint().exact(), length);
        sender.send(Ok(Bytes::from_static(b"rest"))).await.expect("the body is open");
        drop(sender);
        assert_eq!(&body.collect().await.expect("a whole body").to_bytes()[..], b"first rest");
    }
}

/// A sound end must never be passed on for a body that the sender did not send whole.
#[tokio::test]
async fn body_that_is_broken_off_or_too_short_is_an_error() {
    let (sender, broken_off) = body(None).await;
    sender.send(Err(BodyBrokenOff)).await.expect("the body is open");
    assert_eq!(broken_off.collect().await.err(), Some(BodyBrokenOff));
    let (sender, too_short) = body(Some(10)).await;
    drop(sender);
    assert_eq!(too_short.collect().await.err(), Some(BodyBrokenOff));
}
