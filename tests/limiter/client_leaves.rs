//! Clients that disconnect while their requests wait. The limiter must not send such a request to a backend afterwards.

use std::net::Shutdown;
use std::sync::mpsc::channel;
use std::sync::Mutex;

use serde_json::{json, Value};

use crate::harness::*;
use crate::script::{reset, FullBacklogListener};

/// Ways in which a client disconnects: by closing the connection and by a reset.
const DISCONNECTS: [fn(Client); 2] = [drop, |client| reset(client.into_stream())];

/// Returns a configuration with a long connect timeout, and the sender of endpoint lists.
fn config_with_long_connect_timeout(servers: Vec<Value>) -> (Value, std::sync::mpsc::Sender<Value>) {
    let (discovery, push) = discovery();
    let (counter, _) = quota_counter(true);
    let mut config = config(discovery, counter, servers);
    config["settings"]["caps"]["connectTimeoutMs"] = json!(7000.0);
    (config, push)
}

/// Asserts that the next request of another client is served, and that the backend got no other request.
fn expect_only_next_request(limiter: &Limiter, backend: &Backend) {
    let next = get_request("large", 1);
    assert_eq!(limiter.request(&next).status(), 200);
    let id = |text: &str| text.lines().find_map(|l| l.strip_prefix("X-Request-Id: ").map(str::to_string));
    let received: Vec<_> =
        backend.take_requests().iter().map(|m| m.header("x-request-id").map(str::to_string)).collect();
    assert_eq!(received, [id(&next)]);
}

/// The connection for the attempt is established after the client has disconnected.
#[test]
fn attempt_on_late_connection_is_canceled_after_client_disconnect() {
    for disconnect in DISCONNECTS {
        let unopened = FullBacklogListener::listen();
        let entry = entry(unopened.address, "s-1", "Ready", 0);
        let (config, _push) = config_with_long_connect_timeout(vec![entry]);
        let mut limiter = Limiter::start(&config);
        let mut client = limiter.connect();
        client.write(&get_request("large", 1));
        limiter.wait_for_counters(|count| count("dials") == 1);
        disconnect(client);
        limiter.wait_for_counters(|count| count("abandoned") == 1);
        let backend = Backend::start_on(unopened.open(), |stream| respond_ok(stream, "a report"));
        limiter.wait_for_counters(|count| {
            count("attempts_canceled") + count("attempts_ok") + count("attempts_connect_failed") == 1
        });
        expect_only_next_request(&limiter, &backend);
    }
}

/// The end of the client's connection follows bytes of a second request, which are not read while the first one waits.
#[test]
fn disconnect_behind_unread_bytes_abandons_the_waiting_request() {
    for disconnect in DISCONNECTS {
        let backend = Backend::answering("a report");
        let (config, push) = config_with_long_connect_timeout(vec![]);
        let mut limiter = Limiter::start(&config);
        let mut client = limiter.connect();
        client.write(&(get_request("large", 1) + "GET /read/0000"));
        limiter.wait_for_counters(|count| count("taken") == 1);
        disconnect(client);
        limiter.wait_for_counters(|count| count("abandoned") + count("rejections") == 1);
        assert_eq!(limiter.counter("abandoned"), 1, "the disconnect was not noticed");
        push.send(json!({"version": 2, "full": false, "servers": [backend.entry("s-1", "Ready")]})).unwrap();
        limiter.wait_for_counters(|count| count("list_changes") == 1);
        expect_only_next_request(&limiter, &backend);
    }
}

/// The first attempt fails after the client has disconnected. There must be no second attempt.
#[test]
fn request_is_not_retried_after_client_disconnect() {
    for disconnect in DISCONNECTS {
        let (received, was_received) = channel();
        let (received, (close, closed)) = (Mutex::new(received), channel::<()>());
        let closed = Mutex::new(closed);
        let closing = move |stream: &mut std::net::TcpStream| {
            let _ = received.lock().unwrap().send(());
            let _ = closed.lock().unwrap().recv();
            let _ = stream.shutdown(Shutdown::Both);
        };
        let closing = std::sync::Arc::new(closing);
        let backends = [(); 2].map(|()| {
            let closing = closing.clone();
            Backend::start(move |stream| closing(stream))
        });
        let entries = [0, 1].map(|n| backends[n].entry(&format!("s-{n}"), "Ready")).to_vec();
        let (config, push) = config_with_long_connect_timeout(entries.clone());
        let mut limiter = Limiter::start(&config);
        let mut client = limiter.connect();
        client.write(&(get_request("large", 1) + "GET /read/0000"));
        was_received.recv_timeout(HANG_TIMEOUT).unwrap();
        disconnect(client);
        limiter.wait_for_counters(|count| count("abandoned") == 1);
        close.send(()).unwrap();
        limiter.wait_for_counters(|count| count("attempts_reset") == 1);
        let marker = Backend::answering("a report");
        let gone: Vec<Value> = [0, 1].map(|n| backends[n].entry(&format!("s-{n}"), "Gone")).to_vec();
        let servers = [gone, vec![marker.entry("s-2", "Ready")]].concat();
        push.send(json!({"version": 2, "full": false, "servers": servers})).unwrap();
        limiter.wait_for_counters(|count| count("list_changes") == 1);
        expect_only_next_request(&limiter, &marker);
        assert_eq!(limiter.counter("attempts"), 2, "one attempt for each request");
    }
}

/// More bytes than the limiter keeps (it once read 16 KiB ahead) lie between the request and the end of the client's connection. The
/// limiter once missed the end behind 48 KiB and sent the request to a backend (abandoned=0).
#[test]
fn disconnect_behind_more_than_the_read_ahead_is_noticed() {
    const READ_AHEAD_BYTES: usize = 16 << 10;
    for disconnect in DISCONNECTS {
        let backend = Backend::answering("a report");
        let (config, push) = config_with_long_connect_timeout(vec![]);
        let mut limiter = Limiter::start(&config);
        let mut client = limiter.connect();
        client.write(&(get_request("large", 1) + &"x".repeat(3 * READ_AHEAD_BYTES)));
        limiter.wait_for_counters(|count| count("taken") == 1);
        disconnect(client);
        limiter.wait_for_counters(|count| count("abandoned") + count("rejections") + count("failed") == 1);
        assert_eq!(limiter.counter("abandoned"), 1, "the disconnect was not noticed");
        push.send(json!({"version": 2, "full": false, "servers": [backend.entry("s-1", "Ready")]})).unwrap();
        limiter.wait_for_counters(|count| count("list_changes") == 1);
        expect_only_next_request(&limiter, &backend);
    }
}

/// So much follows the request that the limiter's receive buffer is full, and the end of the client's connection does not
/// reach its machine. Guards against requests that are sent on although their client has gone.
#[test]
fn disconnect_behind_a_full_receive_buffer_is_noticed() {
    /// More than the buffers of a connection hold on both sides.
    const MAX_BYTES: usize = 64 << 20;
    for disconnect in DISCONNECTS {
        let backend = Backend::answering("a report");
        let (config, push) = config_with_long_connect_timeout(vec![]);
        let mut limiter = Limiter::start(&config);
        let mut client = limiter.connect();
        client.write(&get_request("large", 1));
        limiter.wait_for_counters(|count| count("taken") == 1);
        client.write_at_once(MAX_BYTES);
        disconnect(client);
        limiter.wait_for_counters(|count| count("abandoned") + count("rejections") + count("failed") == 1);
        assert_eq!(limiter.counter("abandoned"), 1, "the disconnect was not noticed");
        push.send(json!({"version": 2, "full": false, "servers": [backend.entry("s-1", "Ready")]})).unwrap();
        limiter.wait_for_counters(|count| count("list_changes") == 1);
        expect_only_next_request(&limiter, &backend);
    }
}

/// A client whose further bytes were discarded must not get its next request answered with what follows them.
#[test]
fn connection_closes_after_the_answer_if_bytes_behind_the_request_were_discarded() {
    let (backend, release) = Backend::holding_answers();
    let (config, _push) = config_with_long_connect_timeout(vec![backend.entry("s-1", "Ready")]);
    let limiter = Limiter::start(&config);
    let mut client = limiter.connect();
    client.write(&get_request("large", 1));
    backend.wait_for_request();
    client.write(&"x".repeat(1 << 20));
    release.send(()).expect("the backend waits");
    let answer = client.read_answer().expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
}
