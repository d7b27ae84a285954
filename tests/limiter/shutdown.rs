//! The program's end against what crosses it.

use crate::harness::*;
use crate::script::reset;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Tells the limiter to stop, and waits until a connection that rests has been closed for it: one that was accepted
/// later than those under test, so that their turn has come before.
fn stop_and_wait_for_a_close(limiter: &Limiter) {
    let mut resting = limiter.connect();
    assert_eq!(resting.ask(&read("large", 1)).status(), 200);
    limiter.signal("TERM");
    assert!(resting.answer().is_none(), "it is closed");
}

/// Half of a next request has been read on a connection that rested: it is answered, not dropped.
#[test]
fn a_request_half_written_on_a_resting_connection_is_answered_before_the_end() {
    let destination = Destination::answering("a report");
    let (limiter, _push) = crate::limiter(vec![destination.entry("s-1", "Ready")]);
    let mut client = limiter.connect();
    assert_eq!(client.ask(&read("large", 1)).status(), 200);
    let next = read("large", 1);
    let (half, rest) = next.split_at(next.len() / 2);
    client.write(half);
    // What came on a connection before an answer on another one has been read by then.
    assert_eq!(limiter.ask(&read("large", 1)).status(), 200);
    stop_and_wait_for_a_close(&limiter);
    client.write(rest);
    let answer = client.answer().expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    let (status, _) = limiter.end();
    assert!(status.success());
}

/// A second order to stop changes nothing: what was taken is answered.
#[test]
fn told_twice_to_stop_it_still_answers_what_it_has() {
    let (destination, release) = Destination::holding();
    let (limiter, _push) = crate::limiter(vec![destination.entry("s-1", "Ready")]);
    let mut client = limiter.connect();
    client.write(&read("large", 1));
    destination.until_asked();
    limiter.signal("TERM");
    while limiter.connect().ask("GET /ready HTTP/1.1\r\n\r\n").status() == 200 {}
    limiter.signal("TERM");
    limiter.signal("INT");
    release.send(()).unwrap();
    assert_eq!(client.answer().expect("an answer").status(), 200);
    let (status, _) = limiter.end();
    assert!(status.success());
}

/// Connections that the machine accepted while the program stood still, with a request each, and one that is reset.
#[test]
fn what_the_machine_accepted_before_the_listener_closed_is_answered() {
    let destination = Destination::answering("a report");
    let (limiter, _push) = crate::limiter(vec![destination.entry("s-1", "Ready")]);
    limiter.until_ready();
    limiter.signal("STOP");
    let mut clients: Vec<Client> = (0..5)
        .map(|_| {
            let mut client = limiter.connect();
            client.write(&read("large", 1));
            client
        })
        .collect();
    reset(TcpStream::connect(limiter.address).expect("the machine accepts"));
    limiter.signal("TERM");
    // Frozen for longer than it goes on accepting after the order to stop.
    std::thread::sleep(Duration::from_millis(600));
    limiter.signal("CONT");
    for client in &mut clients {
        assert_eq!(client.answer().expect("an answer").status(), 200);
    }
    let (status, _) = limiter.end();
    assert!(status.success());
}

/// A request that is taken late in a stop has its answer before the program ends, though its client would wait for longer
/// and its server hangs.
#[test]
fn what_is_taken_late_in_a_stop_is_answered_before_the_end() {
    let (hanging, _release) = Destination::holding();
    let (discovery, _push) = discovery();
    let (counter, _) = counter(true);
    let mut config = config(discovery, counter, vec![hanging.entry("s-1", "Ready")]);
    for profile in config["settings"]["profiles"].as_array_mut().expect("a list") {
        profile["deadlineMs"] = serde_json::json!(3000.0);
        profile["goalTimeMs"] = serde_json::json!(3000.0);
    }
    let limiter = Limiter::start(&config);
    let mut client = limiter.connect();
    assert_eq!(client.ask("GET /ready HTTP/1.1\r\n\r\n").status(), 200);
    let late = read("large", 1);
    let (half, rest) = late.split_at(late.len() / 2);
    client.write(half);
    assert_eq!(limiter.ask("GET /ready HTTP/1.1\r\n\r\n").status(), 200);
    limiter.signal("TERM");
    // Later than the 0.6 s that are left for leaving: its 3 s end after the program.
    std::thread::sleep(Duration::from_millis(1_200));
    client.write(rest);
    assert!(client.answer().is_some(), "it has its one answer");
    let (status, _) = limiter.end();
    assert!(status.success());
}

/// What SIGKILL finds unanswered is lost where it came more than 0.7 s after SIGTERM, and SIGKILL may come as soon as the
/// longest deadline, counted as 3 s where it is longer, and 0.7 s have passed. The longest deadline here is 8 s; a request
/// that was taken 1.2 s after SIGTERM and whose server hangs was answered 8.5 s after it.
#[test]
fn what_is_taken_late_in_a_stop_is_answered_before_the_earliest_kill() {
    const EARLIEST_KILL: Duration = Duration::from_millis(3_700);
    let (hanging, _release) = Destination::holding();
    let (discovery, _push) = discovery();
    let (counter, _) = counter(true);
    let limiter = Limiter::start(&config(discovery, counter, vec![hanging.entry("s-1", "Ready")]));
    let mut client = limiter.connect();
    assert_eq!(client.ask("GET /ready HTTP/1.1\r\n\r\n").status(), 200);
    let late = read("large", 1);
    let (half, rest) = late.split_at(late.len() / 2);
    client.write(half);
    assert_eq!(limiter.ask("GET /ready HTTP/1.1\r\n\r\n").status(), 200);
    let told = Instant::now();
    limiter.signal("TERM");
    std::thread::sleep(Duration::from_millis(1_200));
    client.write(rest);
    assert!(client.answer().is_some(), "it has its one answer");
    assert!(told.elapsed() < EARLIEST_KILL, "answered {:?} after SIGTERM", told.elapsed());
}
