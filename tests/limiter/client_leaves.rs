//! A client that has gone: whatever its request waits for, nothing is sent on for it any more.

use std::net::Shutdown;
use std::sync::mpsc::channel;
use std::sync::Mutex;

use serde_json::{json, Value};

use crate::harness::*;
use crate::script::{reset, FullBacklogListener};

/// How a client goes.
const WAYS: [fn(Client); 2] = [drop, |client| reset(client.into_stream())];

/// A configuration with a long wait for connections.
fn patient(servers: Vec<Value>) -> (Value, std::sync::mpsc::Sender<Value>) {
    let (discovery, push) = discovery();
    let (counter, _) = counter(true);
    let mut config = config(discovery, counter, servers);
    config["settings"]["caps"]["connectTimeoutMs"] = json!(7000.0);
    (config, push)
}

/// The class's other requests go on: one of another client is served after what was forced, and only it came.
fn only_the_next_comes(limiter: &Limiter, destination: &Destination) {
    let next = read("large", 1);
    assert_eq!(limiter.ask(&next).status(), 200);
    let id = |text: &str| text.lines().find_map(|l| l.strip_prefix("X-Request-Id: ").map(str::to_string));
    let came: Vec<_> =
        destination.seen().iter().map(|m| m.header("x-request-id").map(str::to_string)).collect();
    assert_eq!(came, [id(&next)]);
}

/// The connection for its attempt comes up after the client has gone.
#[test]
fn an_attempt_whose_dial_is_late_is_not_begun_for_a_client_that_left() {
    for go in WAYS {
        let unopened = FullBacklogListener::listen();
        let entry = entry(unopened.address, "s-1", "Ready", 0);
        let (config, _push) = patient(vec![entry]);
        let mut limiter = Limiter::start(&config);
        let mut client = limiter.connect();
        client.write(&read("large", 1));
        limiter.until(|count| count("dials") == 1);
        go(client);
        limiter.until(|count| count("abandoned") == 1);
        let destination = Destination::on(unopened.open(), |stream| ok(stream, "a report"));
        limiter.until(|count| {
            count("attempts_canceled") + count("attempts_ok") + count("attempts_connect_failed") == 1
        });
        only_the_next_comes(&limiter, &destination);
    }
}

/// The client's end stands behind bytes of a next request, which nobody reads while the first is held.
#[test]
fn a_waiting_request_is_not_sent_on_for_a_client_that_left_behind_more_bytes() {
    for go in WAYS {
        let destination = Destination::answering("a report");
        let (config, push) = patient(vec![]);
        let mut limiter = Limiter::start(&config);
        let mut client = limiter.connect();
        client.write(&(read("large", 1) + "GET /read/0000"));
        limiter.until(|count| count("taken") == 1);
        go(client);
        limiter.until(|count| count("abandoned") + count("rejections") == 1);
        assert_eq!(limiter.count("abandoned"), 1, "it was not seen to go");
        push.send(json!({"version": 2, "full": false, "servers": [destination.entry("s-1", "Ready")]}))
            .unwrap();
        limiter.until(|count| count("list_changes") == 1);
        only_the_next_comes(&limiter, &destination);
    }
}

/// The first attempt breaks after the client has gone: there is no second.
#[test]
fn no_further_attempt_is_begun_for_a_client_that_left() {
    for go in WAYS {
        let (asked, was_asked) = channel();
        let (asked, (break_off, breaks)) = (Mutex::new(asked), channel::<()>());
        let breaks = Mutex::new(breaks);
        let breaking = move |stream: &mut std::net::TcpStream| {
            let _ = asked.lock().unwrap().send(());
            let _ = breaks.lock().unwrap().recv();
            let _ = stream.shutdown(Shutdown::Both);
        };
        let breaking = std::sync::Arc::new(breaking);
        let destinations = [(); 2].map(|()| {
            let breaking = breaking.clone();
            Destination::start(move |stream| breaking(stream))
        });
        let entries = [0, 1].map(|n| destinations[n].entry(&format!("s-{n}"), "Ready")).to_vec();
        let (config, push) = patient(entries.clone());
        let mut limiter = Limiter::start(&config);
        let mut client = limiter.connect();
        client.write(&(read("large", 1) + "GET /read/0000"));
        was_asked.recv_timeout(HUNG).unwrap();
        go(client);
        limiter.until(|count| count("abandoned") == 1);
        break_off.send(()).unwrap();
        limiter.until(|count| count("attempts_reset") == 1);
        let marker = Destination::answering("a report");
        let gone: Vec<Value> = [0, 1].map(|n| destinations[n].entry(&format!("s-{n}"), "Gone")).to_vec();
        let servers = [gone, vec![marker.entry("s-2", "Ready")]].concat();
        push.send(json!({"version": 2, "full": false, "servers": servers})).unwrap();
        limiter.until(|count| count("list_changes") == 1);
        only_the_next_comes(&limiter, &marker);
        assert_eq!(limiter.count("attempts"), 2, "one for each request");
    }
}

/// More bytes than are read ahead stand between the request and its client's end. The end was not looked for there, and the
/// request was sent on (abandoned=0): 48 KiB were written behind it, and 16 KiB are read ahead.
#[test]
fn a_client_that_left_behind_more_than_is_read_ahead_is_seen_to_go() {
    const READ_AHEAD: usize = 16 << 10;
    for go in WAYS {
        let destination = Destination::answering("a report");
        let (config, push) = patient(vec![]);
        let mut limiter = Limiter::start(&config);
        let mut client = limiter.connect();
        client.write(&(read("large", 1) + &"x".repeat(3 * READ_AHEAD)));
        limiter.until(|count| count("taken") == 1);
        go(client);
        limiter.until(|count| count("abandoned") + count("rejections") + count("failed") == 1);
        assert_eq!(limiter.count("abandoned"), 1, "it was not seen to go");
        push.send(json!({"version": 2, "full": false, "servers": [destination.entry("s-1", "Ready")]}))
            .unwrap();
        limiter.until(|count| count("list_changes") == 1);
        only_the_next_comes(&limiter, &destination);
    }
}
