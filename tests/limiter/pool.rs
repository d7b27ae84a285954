//! Connection pool of a backend.

use std::io::BufReader;
use std::net::TcpListener;
use std::sync::mpsc::Sender;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::harness::*;
use crate::script::FullBacklogListener;

/// Time after which a backend closes an idle connection. The limiter must close it earlier.
const KEEPALIVE: Duration = Duration::from_millis(1_500);

/// Starts a limiter with one backend. The sender keeps its discovery open.
fn start_limiter_with(backend: Value) -> (Limiter, Sender<Value>) {
    let (discovery, push) = discovery();
    let (counter, _) = quota_counter(true);
    let mut config = config(discovery, counter, vec![backend]);
    config["settings"]["caps"]["connectTimeoutMs"] = json!(7000.0);
    config["settings"]["caps"]["keepaliveMs"] = json!(KEEPALIVE.as_millis() as f64);
    (Limiter::start(&config), push)
}

/// Two concurrent requests need two connections. While the limiter dials the second one, the first one becomes idle.
#[test]
fn request_waiting_for_a_dial_uses_a_connection_that_becomes_idle() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a port");
    let address = listener.local_addr().expect("the listener is bound");
    let (mut limiter, _push) = start_limiter_with(entry(address, "s-1", "Ready", 0));
    let mut clients = [limiter.connect(), limiter.connect()];
    clients[0].write(&get_request("large", 1));
    let (mut stream, _) = listener.accept().expect("the limiter dials");
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
    let first = read_message(&mut reader).expect("the first request");
    let unopened = FullBacklogListener::from_listener(listener);
    clients[1].write(&get_request("large", 1));
    limiter.wait_for_counters(|count| count("dials") == 2);
    respond_ok(&mut stream, "a report");
    let second = read_message(&mut reader).expect("the second request on the same connection");
    assert_ne!(first.header("x-request-id"), second.header("x-request-id"));
    respond_ok(&mut stream, "a report");
    for client in &mut clients {
        assert_eq!(client.read_answer().expect("an answer").status(), 200);
    }
    // The dial continues, and its connection is closed like any idle one.
    let listener = unopened.open();
    let (spare, _) = listener.accept().expect("the dial continues");
    assert!(read_message(&mut BufReader::new(spare)).is_none());
}

#[test]
fn idle_connection_is_closed_before_the_backend_closes_it() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a port");
    let address = listener.local_addr().expect("the listener is bound");
    let (limiter, _push) = start_limiter_with(entry(address, "s-1", "Ready", 0));
    let mut client = limiter.connect();
    client.write(&get_request("large", 1));
    let (mut stream, _) = listener.accept().expect("the limiter dials");
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
    read_message(&mut reader).expect("the request");
    respond_ok(&mut stream, "a report");
    let idle_since = Instant::now();
    assert!(read_message(&mut reader).is_none());
    assert!(idle_since.elapsed() < KEEPALIVE, "closed after {:?}", idle_since.elapsed());
    assert_eq!(client.read_answer().expect("an answer").status(), 200);
}
