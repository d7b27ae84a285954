//! Requests whose bodies are longer than the limiter holds whole: they go to a backend while they arrive.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::harness::*;
use crate::throttle::TenthOfACore;

/// Length of a body of which parts wait in the buffers of the connections.
const LENGTH: usize = 300_000;
/// Rate at which a client may send a body, in bytes per second, from the operators' pages.
const SLOW_RATE: usize = 64_000;
/// By how much each time limit is longer on sockets, from the platform's pages.
const SOCKET_ALLOWANCE: Duration = Duration::from_millis(50);

/// Returns text that differs by position, so that missing or swapped parts are found.
fn content(length: usize) -> String {
    (0..length).map(|n| char::from(b'a' + (n % 23) as u8)).collect()
}

/// Returns a request like [`post_request`] whose client waits `deadline_ms`.
fn post_with_deadline(body: &str, deadline_ms: u64) -> String {
    let request = post_request(body);
    request.replace("X-Deadline-Ms: 8000", &format!("X-Deadline-Ms: {deadline_ms}"))
}

fn start(servers: Vec<Value>) -> Limiter {
    let (discovery, _push) = discovery();
    let (counter, _) = quota_counter(true);
    let mut config = config(discovery, counter, servers);
    config["limits"]["memory_mb"] = json!(32);
    let limiter = Limiter::start(&config);
    limiter.wait_until_ready();
    limiter
}

/// Guards against bodies of over 64 KiB that are refused: the operators' pages allow 32 MB.
#[test]
fn long_body_arrives_whole() {
    let backend = Backend::answering("a report");
    let limiter = start(vec![backend.entry("s-1", "Ready")]);
    for length in [(64 << 10) + 1, LENGTH, 5_000_000] {
        let body = content(length);
        let answer = limiter.request(&post_request(&body));
        assert_eq!((answer.status(), answer.body.as_str()), (200, "a report"), "{length} bytes");
        let requests = backend.take_requests();
        assert!(requests.len() == 1 && requests[0].body == body, "{length} bytes");
    }
}

/// Sixteen bodies of 32 MB at once pass through a process with the smallest memory limit, whole.
#[test]
fn sixteen_bodies_of_32_mb_fit_the_smallest_memory_limit() {
    let backend = Backend::answering("a report");
    let limiter = start(vec![backend.entry("s-1", "Ready")]);
    let body = content(32_000_000);
    thread::scope(|scope| {
        for _ in 0..16 {
            scope.spawn(|| assert_eq!(limiter.request(&post_request(&body)).status(), 200));
        }
    });
    let requests = backend.take_requests();
    assert!(requests.len() == 16 && requests.iter().all(|request| request.body == body));
    assert!(limiter.proc_status("VmHWM") <= 32 << 10, "{} kB", limiter.proc_status("VmHWM"));
}

/// A client may send its body slowly; its time to wait counts from the last byte.
#[test]
fn body_at_the_slowest_rate_is_served_after_more_than_the_clients_deadline() {
    let backend = Backend::answering("a report");
    let limiter = start(vec![backend.entry("s-1", "Ready")]);
    let request = post_with_deadline(&content(LENGTH), 1_000);
    let mut client = limiter.connect();
    let started = Instant::now();
    for (n, part) in request.as_bytes().chunks(SLOW_RATE / 20).enumerate() {
        client.write(std::str::from_utf8(part).expect("text"));
        thread::sleep(Duration::from_millis(50 * (n as u64 + 1)).saturating_sub(started.elapsed()));
    }
    assert!(started.elapsed() > Duration::from_secs(4));
    assert_eq!(client.read_answer().expect("an answer").status(), 200);
}

/// A client that stops within its body must not hold an attempt, and its request must not run.
#[test]
fn body_that_stops_before_its_end_never_runs() {
    let backend = Backend::answering("a report");
    let mut limiter = start(vec![backend.entry("s-1", "Ready")]);
    let request = post_request(&content(LENGTH));
    let mut client = limiter.connect();
    client.write(&request[..request.len() - 1_000]);
    if let Some(answer) = client.read_answer() {
        assert_eq!(answer.status(), 400);
    }
    limiter.wait_for_counters(|count| count("abandoned") == 1);
    limiter.wait_for_counters(|count| {
        count("attempts") == count("attempts_connect_failed") + count("attempts_canceled")
    });
    assert_eq!(backend.request_count(), 0);
}

/// A backend that answers before it has read the body must be heard at once.
#[test]
fn answer_before_the_end_of_the_body_is_passed_on_at_once() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a port");
    let address = listen_on(listener, |mut stream| {
        let _ = stream.read(&mut [0; 1_024]);
        respond_ok(&mut stream, "enough");
        thread::sleep(HANG_TIMEOUT);
    });
    let limiter = start(vec![entry(address, "s-1", "Ready", 0)]);
    let request = post_request(&content(LENGTH));
    let mut client = limiter.connect();
    let started = Instant::now();
    client.write(&request[..request.len() - 100_000]);
    let answer = client.read_answer().expect("an answer");
    assert_eq!((answer.status(), answer.body.as_str()), (200, "enough"));
    assert!(started.elapsed() < Duration::from_secs(1), "answered after {:?}", started.elapsed());
}

/// Guards against a final answer seconds after its time, where a backend reads a long body slowly or not at all.
#[test]
fn backend_that_does_not_read_the_body_does_not_delay_the_answer() {
    let streams: Mutex<Vec<TcpStream>> = Mutex::default();
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a port");
    let address = listen_on(listener, move |stream| streams.lock().expect("no panic").push(stream));
    let limiter = start(vec![entry(address, "s-1", "Ready", 0)]);
    let request = post_with_deadline(&content(30_000_000), 1_500);
    let started = Instant::now();
    let stream = TcpStream::connect(limiter.address).expect("the limiter accepts");
    let mut writer = stream.try_clone().expect("a second handle");
    let writing = thread::spawn(move || {
        let _ = writer.write_all(request.as_bytes());
    });
    let mut first = [0; 12];
    let mut stream = stream;
    stream.set_read_timeout(Some(HANG_TIMEOUT)).expect("a socket");
    stream.read_exact(&mut first).expect("an answer");
    // The platform allows 50 ms more on sockets, and the client's own writes take part of the time.
    let limit = Duration::from_millis(1_500) + 2 * SOCKET_ALLOWANCE;
    assert!(started.elapsed() < limit, "answered after {:?}: {first:?}", started.elapsed());
    drop(stream);
    writing.join().expect("the writer ends");
}

/// Guards against a final answer seconds after its time, where a backend reads a long body slowly from a limiter that gets
/// little of the processor: the limiter took its own delays for waiting for the client.
#[test]
fn delays_of_the_limiter_itself_do_not_move_the_deadline() {
    /// Longer than the buffers of the connections take.
    const TOO_LONG: usize = 30_000_000;
    const DEADLINE: Duration = Duration::from_millis(1_500);
    /// Answers may come half a second late, and the limiter may be held up for 0.15 s.
    const LATE_ANSWER_TIME: Duration = Duration::from_millis(500 + 150);
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a port");
    let address = listen_on(listener, |mut stream| {
        let mut buffer = [0; 64 << 10];
        while stream.read(&mut buffer).is_ok_and(|count| count > 0) {
            thread::sleep(Duration::from_millis(2));
        }
    });
    let limiter = start(vec![entry(address, "s-1", "Ready", 0)]);
    let request = post_with_deadline(&content(TOO_LONG), DEADLINE.as_millis() as u64);
    let mut stream = TcpStream::connect(limiter.address).expect("the limiter accepts");
    let mut writer = stream.try_clone().expect("a second handle");
    let throttle = TenthOfACore::start(limiter.process_id());
    let started = Instant::now();
    let writing = thread::spawn(move || {
        let _ = writer.write_all(request.as_bytes());
    });
    let mut first = [0; 12];
    stream.set_read_timeout(Some(HANG_TIMEOUT)).expect("a socket");
    stream.read_exact(&mut first).expect("an answer");
    let elapsed = started.elapsed();
    assert!(elapsed < DEADLINE + LATE_ANSWER_TIME, "answered after {elapsed:?}: {first:?}");
    drop((throttle, stream));
    writing.join().expect("the writer ends");
}

/// A request whose body was passed on beyond what is kept must not be sent to another backend. The body is too long for the
/// buffers of a connection, so its last byte is never written to the backend that breaks off.
#[test]
fn long_body_is_not_sent_twice_once_its_start_is_gone() {
    const TOO_LONG: usize = 20_000_000;
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a port");
    let breaking = listen_on(listener, |mut stream| {
        let (mut read, mut buffer) = (0, [0; 8 << 10]);
        while read < LENGTH {
            read += stream.read(&mut buffer).unwrap_or(LENGTH);
        }
    });
    let healthy = Backend::answering("a report");
    let mut limiter = start(vec![entry(breaking, "s-1", "Ready", 0), healthy.entry("s-2", "Ready")]);
    let body = content(TOO_LONG);
    let mut served = 0;
    while limiter.counter("attempts_connect_failed") == 0 {
        let status = limiter.request(&post_request(&body)).status();
        assert!(status == 200 || status == 429, "{status}");
        served += usize::from(status == 200);
    }
    let requests = healthy.take_requests();
    assert!(requests.len() == served && requests.iter().all(|request| request.body == body));
}

/// A long body is sent to another backend if the first one did not come up.
#[test]
fn long_body_is_sent_to_another_backend_after_a_refused_connection() {
    let unused = TcpListener::bind("127.0.0.1:0").expect("loopback has a port");
    let refusing = unused.local_addr().expect("the listener is bound");
    drop(unused);
    let healthy = Backend::answering("a report");
    let mut limiter = start(vec![entry(refusing, "s-1", "Ready", 0), healthy.entry("s-2", "Ready")]);
    let body = content(LENGTH);
    let mut sent = 0;
    while limiter.counter("attempts_connect_failed") == 0 {
        assert_eq!(limiter.request(&post_request(&body)).status(), 200);
        sent += 1;
    }
    let requests = healthy.take_requests();
    assert!(requests.len() == sent && requests.iter().all(|request| request.body == body));
}

/// Guards against a long request that SIGKILL finds unanswered: its deadline moves while its client is awaited, also beyond
/// the end of a shutdown.
#[test]
fn long_request_under_way_is_answered_before_the_end_of_a_shutdown() {
    let (hanging, _release) = Backend::holding_answers();
    let limiter = start(vec![hanging.entry("s-1", "Ready")]);
    let request = post_with_deadline(&content(LENGTH), 8_000);
    let (start, rest) = request.split_at(request.len() / 2);
    let mut client = limiter.connect();
    client.write(start);
    // Once this is answered, the limiter has read the start.
    assert_eq!(limiter.request("GET /ready HTTP/1.1\r\n\r\n").status(), 200);
    limiter.signal("TERM");
    thread::sleep(Duration::from_millis(1_500));
    client.write(rest);
    assert!(client.read_answer().is_some(), "the request was not answered");
}

/// Guards against a long request that is kept waiting although its client has gone: the end of the connection lies behind
/// bytes that are not read before an attempt takes them.
#[test]
fn disconnect_behind_a_long_body_abandons_the_waiting_request() {
    let mut limiter = start_without_backends();
    let request = post_request(&content(30_000_000));
    let mut client = limiter.connect();
    client.write(&request[..100_000]);
    limiter.wait_for_counters(|count| count("taken") == 1);
    client.write_at_once(20_000_000);
    drop(client);
    limiter.wait_for_counters(|count| count("abandoned") + count("rejections") + count("failed") == 1);
    assert_eq!(limiter.counter("abandoned"), 1, "the disconnect was not noticed");
}

/// Starts a limiter that knows no backend, so that requests wait.
fn start_without_backends() -> Limiter {
    let (discovery, _push) = discovery();
    let (counter, _) = quota_counter(true);
    Limiter::start(&config(discovery, counter, vec![]))
}
