//! The idempotency window, when a connection takes long to establish.

use std::net::Shutdown;
use std::sync::mpsc::channel;
use std::sync::Mutex;
use std::time::Duration;

use serde_json::json;

use crate::harness::*;
use crate::script::FullBacklogListener;

/// The first attempt may have run. The retry waits for its connection until the idempotency window is over.
#[test]
fn retry_is_not_sent_after_the_idempotency_window() {
    const WINDOW: Duration = Duration::from_millis(700);
    let (received, was_received) = channel();
    let (received, (close, closed)) = (Mutex::new(received), channel::<()>());
    let closed = Mutex::new(closed);
    let first = Backend::start(move |stream| {
        received.lock().unwrap().send(()).unwrap();
        let _ = closed.lock().unwrap().recv();
        let _ = stream.shutdown(Shutdown::Both);
    });
    let unopened = FullBacklogListener::listen();
    let late_entry = entry(unopened.address, "s-2", "Ready", 0);
    let (discovery, push) = discovery();
    let (counter, _) = quota_counter(true);
    let mut config = config(discovery, counter, vec![first.entry("s-1", "Ready")]);
    config["settings"]["caps"]["connectTimeoutMs"] = json!(7000.0);
    config["settings"]["profiles"][1]["windowMs"] = json!(WINDOW.as_millis() as f64);
    let mut limiter = Limiter::start(&config);
    let mut client = limiter.connect();
    client.write(&post_request("a thesis"));
    was_received.recv_timeout(HANG_TIMEOUT).unwrap();
    push.send(json!({"version": 2, "full": false, "servers": [late_entry]})).unwrap();
    limiter.wait_for_counters(|count| count("list_changes") == 1);
    close.send(()).unwrap();
    limiter.wait_for_counters(|count| count("dials") == 2);
    std::thread::sleep(WINDOW);
    let late = Backend::start_on(unopened.open(), |stream| respond_ok(stream, "a report"));
    assert_eq!(
        client.read_answer().expect("an answer").status(),
        502,
        "the request may have run and must not be retried"
    );
    while limiter.request(&get_request("large", 1)).status() != 200 {}
    let forwarded: Vec<String> = late.take_requests().into_iter().map(|m| m.start_line).collect();
    assert_eq!(forwarded, ["GET /read/00000000b4d65521?part=1 HTTP/1.1"]);
}
