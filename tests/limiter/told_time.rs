//! The remaining time that an attempt sends to its backend in `X-Deadline-Ms`.
//!
//! The limiter once formatted the head of the request when an attempt began, and wrote it when the connection was
//! established. With a dial that took a second the backend got 7,997 ms while 6,967 ms were left, so it could keep
//! working for a client that had given up.

use std::io::BufReader;
use std::net::TcpListener;
use std::sync::mpsc::channel;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::harness::*;
use crate::script::{shut_down_write, FullBacklogListener};

/// While a connection is being established, the request's remaining time decreases.
#[test]
fn deadline_header_is_the_time_left_when_the_request_is_written() {
    let unopened = FullBacklogListener::listen();
    let late_entry = entry(unopened.address, "s-1", "Ready", 0);
    let (discovery, _push) = discovery();
    let (counter, _) = quota_counter(true);
    let mut config = config(discovery, counter, vec![late_entry]);
    config["settings"]["caps"]["connectTimeoutMs"] = json!(7000.0);
    let mut limiter = Limiter::start(&config);
    let mut client = limiter.connect();
    let sent_at = Instant::now();
    client.write(&get_request("large", 1));
    limiter.wait_for_counters(|count| count("dials") == 1);
    std::thread::sleep(Duration::from_millis(400));
    let (received, received_at) = channel();
    let received = Mutex::new(received);
    let backend = Backend::start_on(unopened.open(), move |stream| {
        received.lock().unwrap().send(Instant::now()).unwrap();
        respond_ok(stream, "a report");
    });
    assert_eq!(client.read_answer().expect("an answer").status(), 200);
    let waited = received_at.recv_timeout(HANG_TIMEOUT).unwrap().duration_since(sent_at);
    let header_ms: u64 =
        backend.take_requests()[0].header("x-deadline-ms").expect("a header").parse().expect("a number");
    let time_left = Duration::from_millis(8_000).saturating_sub(waited);
    // The specification allows a further attempt this much more time.
    assert!(
        Duration::from_millis(header_ms) <= time_left + Duration::from_millis(150),
        "{header_ms} ms in the header, {time_left:?} left"
    );
}

/// The pooled connection is closed, and the one that replaces it takes long to establish. The time at which the backend
/// reads the head does not show when it was written, but it can't have been written before the listener was opened.
#[test]
fn deadline_header_is_the_time_left_after_a_pooled_connection_is_replaced() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a port");
    let address = listener.local_addr().expect("the listener is bound");
    let (discovery, _push) = discovery();
    let (counter, _) = quota_counter(true);
    let mut config = config(discovery, counter, vec![entry(address, "s-1", "Ready", 0)]);
    config["settings"]["caps"]["connectTimeoutMs"] = json!(7000.0);
    let mut limiter = Limiter::start(&config);
    let mut client = limiter.connect();
    client.write(&get_request("large", 1));
    let (mut pooled, _) = listener.accept().expect("the limiter dials");
    let mut reader = BufReader::new(pooled.try_clone().expect("a second handle"));
    read_message(&mut reader).expect("the first request");
    respond_ok(&mut pooled, "a report");
    assert_eq!(client.read_answer().expect("an answer").status(), 200);

    // When the limiter resumes, it finds the request and the end of its connection at once, and can't connect.
    let unopened = FullBacklogListener::from_listener(listener);
    limiter.freeze();
    shut_down_write(&pooled);
    let sent_at = Instant::now();
    client.write(&get_request("large", 1));
    limiter.signal("CONT");
    limiter.wait_for_counters(|count| count("dials") == 2);
    // The kernel retries the connection after a second.
    std::thread::sleep(Duration::from_millis(900));
    let waited = sent_at.elapsed();
    let backend = Backend::start_on(unopened.open(), |stream| respond_ok(stream, "a report"));
    assert_eq!(client.read_answer().expect("an answer").status(), 200);
    let header_ms: u64 =
        backend.take_requests()[0].header("x-deadline-ms").expect("a header").parse().expect("a number");
    let time_left = Duration::from_millis(8_000).saturating_sub(waited);
    // The specification allows a further attempt this much more time.
    assert!(
        Duration::from_millis(header_ms) <= time_left + Duration::from_millis(150),
        "{header_ms} ms in the header, {time_left:?} left"
    );
}
