//! Crowds of slow clients at a limiter with the smallest memory limit. They must not exceed it, and other clients must be
//! served meanwhile.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::harness::*;

/// Smallest memory limit of a limiter, in kB.
const MEMORY_LIMIT_KB: u64 = 32 << 10;
/// Number of slow clients.
const CLIENTS: usize = 700;
/// Time for which the crowd stays. It is longer than the limiter waits for the rest of a request.
const CROWD_TIME: Duration = Duration::from_secs(4);
/// Time within which a sound small request is answered beside the crowd.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Starts a limiter with the smallest memory limit and many descriptors.
fn start(backend: &Backend) -> Limiter {
    let (discovery, _push) = discovery();
    let (counter, _) = quota_counter(true);
    let mut config = config(discovery, counter, vec![backend.entry("s-1", "Ready")]);
    config["limits"]["memory_mb"] = json!(32);
    config["limits"]["sockets"] = json!(1024);
    config["settings"]["plans"][1]["rate"] = json!(1e6);
    config["settings"]["plans"][1]["mostAtOnce"] = json!(1e6);
    let limiter = Limiter::start(&config);
    limiter.wait_until_ready();
    limiter
}

/// Connects the crowd, whose clients each send what `request` returns and then nothing, while a sound client sends small
/// requests.
fn expect_limit_kept(limiter: &mut Limiter, request: impl Fn(usize) -> Vec<u8>) {
    let ends_at = Instant::now() + CROWD_TIME;
    let mut crowd: Vec<TcpStream> = Vec::new();
    let mut served = 0;
    for n in 0..CLIENTS {
        let mut stream = TcpStream::connect(limiter.address).expect("the limiter accepts");
        stream.set_nonblocking(true).expect("a socket");
        let _ = stream.write(&request(n));
        crowd.push(stream);
        if n % 50 == 0 {
            expect_served(limiter);
            served += 1;
        }
    }
    while Instant::now() < ends_at {
        expect_served(limiter);
        served += 1;
        thread::sleep(Duration::from_millis(50));
    }
    assert!(served > CLIENTS / 50);
    let peak = limiter.proc_status("VmHWM");
    assert!(peak <= MEMORY_LIMIT_KB, "{peak} kB; {}", limiter.counters());
}

fn expect_served(limiter: &Limiter) {
    let started = Instant::now();
    assert_eq!(limiter.request(&get_request("large", 1)).status(), 200);
    assert!(started.elapsed() < ANSWER_TIMEOUT, "answered after {:?}", started.elapsed());
}

/// Guards against a process that is killed for memory by clients that stop within a large body.
#[test]
fn bodies_that_stop_before_their_end_fit_the_smallest_memory_limit() {
    let backend = Backend::answering("a report");
    let mut limiter = start(&backend);
    let body = "x".repeat(64 << 10);
    expect_limit_kept(&mut limiter, |_| {
        let mut request = post_request(&body).into_bytes();
        request.truncate(request.len() - 536);
        request
    });
    assert!(limiter.counter("memory_waits") > 0, "the crowd never used up the budget");
}

/// Guards against a process that is killed for memory by clients that stop within a head of many fields.
#[test]
fn heads_of_many_fields_fit_the_smallest_memory_limit() {
    let backend = Backend::answering("a report");
    let mut limiter = start(&backend);
    expect_limit_kept(&mut limiter, |_| {
        let request = get_request("large", 1);
        let mut request = request.trim_end().to_string();
        for n in 0..90 {
            request += &format!("\r\nX-Field-{n}: {}", "y".repeat(680));
        }
        request.into_bytes()
    });
    assert!(limiter.counter("memory_waits") > 0, "the crowd never used up the budget");
}

/// Guards against a process that is killed for memory by clients that don't read their answers.
#[test]
fn unread_answers_fit_the_smallest_memory_limit() {
    let backend = Backend::start(|stream| {
        let body = vec![b'x'; 8_000_000];
        let _ = write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        let _ = stream.write_all(&body);
    });
    let small = Backend::answering("a report");
    let mut limiter = start(&backend);
    let _ = small;
    let crowd: Vec<Client> = (0..150)
        .map(|_| {
            let mut client = limiter.connect();
            client.write(&get_request("large", 1));
            client
        })
        .collect();
    thread::sleep(CROWD_TIME);
    let peak = limiter.proc_status("VmHWM");
    assert!(peak <= MEMORY_LIMIT_KB, "{peak} kB; {}", limiter.counters());
    assert!(limiter.counter("responses_streamed") > 0);
    drop(crowd);
}

/// Guards against memory that grows with each new customer's name: clients send requests at full speed under ever new
/// names.
#[test]
fn ever_new_customers_fit_the_smallest_memory_limit() {
    const CLIENTS: u64 = 8;
    const CUSTOMERS_PER_CLIENT: u64 = 10_000;
    let backend = Backend::answering("a report");
    let limiter = start(&backend);
    thread::scope(|scope| {
        for number in 0..CLIENTS {
            let limiter = &limiter;
            scope.spawn(move || {
                let mut client = limiter.connect();
                let first = number * CUSTOMERS_PER_CLIENT;
                for customer in first..first + CUSTOMERS_PER_CLIENT {
                    let name = format!("{customer:016x}");
                    let request = get_request("large", 1).replace("00000000b4d65521", &name);
                    client.request(&request);
                }
            });
        }
    });
    let peak = limiter.proc_status("VmHWM");
    assert!(peak <= MEMORY_LIMIT_KB, "{peak} kB");
}
