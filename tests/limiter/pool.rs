//! The pool of connections to a backend.

use std::io::BufReader;
use std::net::TcpListener;
use std::sync::mpsc::Sender;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::harness::*;
use crate::script::FullBacklogListener;

/// After so long a backend closes an idle connection; the limiter closes it before.
const KEEPALIVE: Duration = Duration::from_millis(1_500);

/// A limiter before `backend`, and what keeps its discovery open.
fn limiter_of(backend: Value) -> (Limiter, Sender<Value>) {
    let (discovery, push) = discovery();
    let (counter, _) = counter(true);
    let mut config = config(discovery, counter, vec![backend]);
    config["settings"]["caps"]["connectTimeoutMs"] = json!(7000.0);
    config["settings"]["caps"]["keepaliveMs"] = json!(KEEPALIVE.as_millis() as f64);
    (Limiter::start(&config), push)
}

/// Two requests at once need two connections; while the second is dialled, the first one becomes free.
#[test]
fn a_request_that_waits_for_a_dial_takes_a_connection_that_becomes_idle() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a port");
    let address = listener.local_addr().expect("it is bound");
    let (mut limiter, _push) = limiter_of(entry(address, "s-1", "Ready", 0));
    let mut clients = [limiter.connect(), limiter.connect()];
    clients[0].write(&read("large", 1));
    let (mut stream, _) = listener.accept().expect("the limiter dials");
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
    let first = read_message(&mut reader).expect("the first request");
    let unopened = FullBacklogListener::from_listener(listener);
    clients[1].write(&read("large", 1));
    limiter.until(|count| count("dials") == 2);
    ok(&mut stream, "a report");
    let second = read_message(&mut reader).expect("the second request on the same connection");
    assert_ne!(first.header("x-request-id"), second.header("x-request-id"));
    ok(&mut stream, "a report");
    for client in &mut clients {
        assert_eq!(client.answer().expect("an answer").status(), 200);
    }
    // The dial goes on, and the connection that it opens is closed like any other that is idle.
    let listener = unopened.open();
    let (spare, _) = listener.accept().expect("the dial went on");
    assert!(read_message(&mut BufReader::new(spare)).is_none());
}

#[test]
fn an_idle_connection_is_closed_before_its_backend_would_close_it() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a port");
    let address = listener.local_addr().expect("it is bound");
    let (limiter, _push) = limiter_of(entry(address, "s-1", "Ready", 0));
    let mut client = limiter.connect();
    client.write(&read("large", 1));
    let (mut stream, _) = listener.accept().expect("the limiter dials");
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
    read_message(&mut reader).expect("the request");
    ok(&mut stream, "a report");
    let idle_since = Instant::now();
    assert!(read_message(&mut reader).is_none());
    assert!(idle_since.elapsed() < KEEPALIVE, "closed after {:?}", idle_since.elapsed());
    assert_eq!(client.answer().expect("an answer").status(), 200);
}
