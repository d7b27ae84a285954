//! Tests of the stand-in backends over real sockets: request ids, a full queue, a restart, and idempotency keys.

use super::*;
use crate::request_log::RequestDetails;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

fn fleet() -> Fleet {
    let text = include_str!("../../../../deploy/fleet-sample.hcl");
    let mut fleet = Fleet::parse("f", text).expect("the sample fleet is valid").with_backends(3);
    fleet.backend_kinds[0].error_share = 0.0;
    (fleet.backend_kinds[0].slots, fleet.backend_kinds[0].queue_capacity) = (1, 1);
    fleet.classes.iter_mut().for_each(|class| class.attempt_cv = 0.0);
    fleet
}

/// An HTTP client of one backend.
struct TestClient(Client<HttpConnector, Full<Bytes>>, SocketAddr);

impl TestClient {
    /// Sends a request. Returns its status, and whether the response says that the request was not processed; `None`
    /// if the connection failed.
    async fn send(&self, id: Option<&str>) -> Option<(u16, bool)> {
        let mut request = Request::builder().uri(format!("http://{}/report-read/x", self.1));
        if let Some(id) = id {
            request = request.header("x-request-id", id);
        }
        let request = request.body(Full::new(Bytes::new())).expect("the request is valid");
        let response = self.0.request(request).await.ok()?;
        let not_run = response.headers().contains_key("x-not-run");
        Some((response.status().as_u16(), not_run))
    }
}

async fn start(class: usize, work: f64, requests: u64) -> (Backends, TestClient) {
    let fleet = fleet();
    let request_log = Arc::new(RequestLog::new(&fleet));
    for n in 0..requests {
        request_log.open(&format!("id{n}"), RequestDetails { arrival: n / 2, class, work });
    }
    let backends = Backends::start(&fleet, 1, request_log).await.expect("loopback has free ports");
    let address = locked(&backends.slots)[0].address;
    (backends, TestClient(Client::builder(TokioExecutor::new()).build_http(), address))
}

#[tokio::test]
async fn only_requests_with_known_ids_are_served() {
    let (_backends, client) = start(0, 1_000.0, 2).await;
    assert_eq!(client.send(None).await, Some((404, false)));
    assert_eq!(client.send(Some("other")).await, Some((400, false)));
    assert_eq!(client.send(Some("id0")).await, Some((200, false)));
}

/// With one slot and a queue of one, the third concurrent request is rejected without being processed.
#[tokio::test]
async fn full_backend_rejects_with_not_run_header() {
    let (_backends, client) = start(0, 100_000.0, 6).await;
    let (a, b, c) =
        tokio::join!(client.send(Some("id0")), client.send(Some("id2")), client.send(Some("id4")));
    let mut responses = [a, b, c];
    responses.sort_unstable();
    assert_eq!(responses, [Some((200, false)), Some((200, false)), Some((503, true))]);
}

#[tokio::test]
async fn killed_backend_restarts_at_the_same_address() {
    let (backends, client) = start(0, 1_000.0, 2).await;
    assert_eq!(client.send(Some("id0")).await, Some((200, false)));
    backends.kill(0);
    while client.send(Some("id0")).await.is_some() {}
    assert!(backends.restart(0).await.is_some());
    assert_eq!(client.send(Some("id1")).await, Some((200, false)));
}

/// A repeat with a known idempotency key costs a lookup and no work: it is served while the original request, which
/// takes minutes, occupies the other slot.
#[tokio::test]
async fn repeat_with_known_idempotency_key_skips_work() {
    let mut fleet = fleet();
    fleet.backend_kinds[0].slots = 2;
    let request_log = Arc::new(RequestLog::new(&fleet));
    for id in ["id0", "id1"] {
        request_log.open(id, RequestDetails { arrival: 7, class: 1, work: 600e6 });
    }
    let backends = Backends::start(&fleet, 1, request_log).await.expect("loopback has free ports");
    let address = locked(&backends.slots)[0].address;
    let client = TestClient(Client::builder(TokioExecutor::new()).build_http(), address);
    tokio::select! {
        first = client.send(Some("id0")) => panic!("{first:?}"),
        second = async {
            while locked(&backends.shared.keys).is_empty() {
                tokio::task::yield_now().await;
            }
            client.send(Some("id1")).await
        } => assert_eq!(second, Some((200, false))),
    }
}
