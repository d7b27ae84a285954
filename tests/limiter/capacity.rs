//! More clients than there are connections: none is kept out by others until its time is over.

use std::sync::mpsc::Sender;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::harness::*;

/// Starts a limiter with the fewest descriptors that it accepts.
fn start_with_few_sockets(backend: &Backend) -> (Limiter, Sender<Value>) {
    let (discovery, push) = discovery();
    let (counter, _) = quota_counter(true);
    let mut config = config(discovery, counter, vec![backend.entry("s-1", "Ready")]);
    config["limits"]["sockets"] = json!(96);
    (Limiter::start(&config), push)
}

/// Clients can connect although silent connections, incomplete requests and connections kept open after a request use
/// up the sockets.
#[test]
fn idle_connections_do_not_lock_out_clients() {
    let backend = Backend::answering("a report");
    let (mut limiter, _push) = start_with_few_sockets(&backend);
    let mut open_clients = Vec::new();
    for round in 0..120 {
        let mut client = limiter.connect();
        match round % 4 {
            0 => assert_eq!(client.request(&get_request("large", 1)).status(), 200),
            1 => client.write("GET /read/00"),
            2 => client.write(&post_request("a thesis")[..200]),
            _ => {}
        }
        open_clients.push(client);
    }
    assert_eq!(limiter.request(&get_request("large", 1)).status(), 200);
    assert!(!limiter.counters().contains(" downstream_room_unfinished=0 "));
    // The limiter closes the remaining connections when their timeouts expire.
    for mut client in open_clients {
        while client.read_answer().is_some() {}
    }
}

/// Guards against a client that waits to be accepted until its time is over, as all connections have requests in flight.
#[test]
fn client_behind_requests_in_flight_is_refused_in_time() {
    const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
    /// More than there are connections for clients with 96 descriptors.
    const IN_FLIGHT: usize = 50;
    let (backend, _release) = Backend::holding_answers();
    let (mut limiter, _push) = start_with_few_sockets(&backend);
    limiter.wait_until_ready();
    let crowd: Vec<_> = (0..IN_FLIGHT)
        .map(|_| {
            let mut client = limiter.connect();
            client.write(&get_request("large", 1));
            client
        })
        .collect();
    for _ in 0..5 {
        let started = Instant::now();
        let mut client = limiter.connect();
        let answer = client.request(&get_request("large", 1));
        assert_eq!(answer.status(), 429);
        assert!(started.elapsed() < ANSWER_TIMEOUT, "refused after {:?}", started.elapsed());
        assert!(client.read_answer().is_none(), "the connection of a refusal stays open");
    }
    assert_eq!(limiter.counter("responses_unwritten"), 0);
    drop(crowd);
}
