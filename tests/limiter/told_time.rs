//! The time that an attempt tells its server.
//!
//! The head was worded as an attempt began, and written once its connection was up. With a dial held back for a second the
//! server was told 7,997 ms where 6,967 ms were left, and would have worked on for a client that had given up.
//!
//! What happened: the head was worded as its attempt began and written once its connection was up, so that it told 7,997
//! ms where 6,967 ms were left. A server worked on for a client that had given up.

use std::io::BufReader;
use std::net::TcpListener;
use std::sync::mpsc::channel;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::harness::*;
use crate::script::{shut_down_write, FullBacklogListener};

/// A connection that comes up late leaves its request less time than there was as its attempt was decided.
#[test]
fn the_time_told_to_a_server_is_what_is_left_as_the_request_is_written() {
    let unopened = FullBacklogListener::listen();
    let late = entry(unopened.address, "s-1", "Ready", 0);
    let (discovery, _push) = discovery();
    let (counter, _) = counter(true);
    let mut config = config(discovery, counter, vec![late]);
    config["settings"]["caps"]["connectTimeoutMs"] = json!(7000.0);
    let mut limiter = Limiter::start(&config);
    let mut client = limiter.connect();
    let begun = Instant::now();
    client.write(&read("large", 1));
    limiter.until(|count| count("dials") == 1);
    std::thread::sleep(Duration::from_millis(400));
    let (came, when) = channel();
    let came = Mutex::new(came);
    let server = Destination::on(unopened.open(), move |stream| {
        came.lock().unwrap().send(Instant::now()).unwrap();
        ok(stream, "a report");
    });
    assert_eq!(client.answer().expect("an answer").status(), 200);
    let waited = when.recv_timeout(HUNG).unwrap().duration_since(begun);
    let told: u64 = server.seen()[0].header("x-deadline-ms").expect("it tells").parse().expect("a number");
    let left = Duration::from_millis(8_000).saturating_sub(waited);
    // The page's slack for a further attempt.
    assert!(
        Duration::from_millis(told) <= left + Duration::from_millis(150),
        "{told} ms told, {left:?} left"
    );
}

/// The pooled connection is dead, and the one that replaces it comes up late. How late the head is read here says nothing of
/// when it was written; it can't have been before the listener was opened.
#[test]
fn the_time_told_is_what_is_left_also_where_a_dead_pooled_connection_is_replaced() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a port");
    let address = listener.local_addr().expect("it is bound");
    let (discovery, _push) = discovery();
    let (counter, _) = counter(true);
    let mut config = config(discovery, counter, vec![entry(address, "s-1", "Ready", 0)]);
    config["settings"]["caps"]["connectTimeoutMs"] = json!(7000.0);
    let mut limiter = Limiter::start(&config);
    let mut client = limiter.connect();
    client.write(&read("large", 1));
    let (mut pooled, _) = listener.accept().expect("the limiter dials");
    let mut reader = BufReader::new(pooled.try_clone().expect("a second handle"));
    read_message(&mut reader).expect("the first request");
    ok(&mut pooled, "a report");
    assert_eq!(client.answer().expect("an answer").status(), 200);

    // The limiter finds the request and the end of its connection in one moment, and the listener shut.
    let unopened = FullBacklogListener::from_listener(listener);
    limiter.freeze();
    shut_down_write(&pooled);
    let begun = Instant::now();
    client.write(&read("large", 1));
    limiter.signal("CONT");
    limiter.until(|count| count("dials") == 2);
    // The machine dials again after a second.
    std::thread::sleep(Duration::from_millis(900));
    let waited = begun.elapsed();
    let server = Destination::on(unopened.open(), |stream| ok(stream, "a report"));
    assert_eq!(client.answer().expect("an answer").status(), 200);
    let told: u64 = server.seen()[0].header("x-deadline-ms").expect("it tells").parse().expect("a number");
    let left = Duration::from_millis(8_000).saturating_sub(waited);
    // The page's slack for a further attempt.
    assert!(
        Duration::from_millis(told) <= left + Duration::from_millis(150),
        "{told} ms told, {left:?} left"
    );
}
