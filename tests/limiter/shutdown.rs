//! Graceful shutdown while requests and connections arrive.

use crate::harness::*;
use crate::script::reset;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Sends SIGTERM and waits until the limiter has closed an idle connection. That connection is the last one accepted,
/// so the limiter has handled the connections under test by then.
fn stop_and_wait_for_idle_close(limiter: &Limiter) {
    let mut idle = limiter.connect();
    assert_eq!(idle.request(&get_request("large", 1)).status(), 200);
    limiter.signal("TERM");
    assert!(idle.read_answer().is_none(), "the idle connection was not closed");
}

/// The limiter has read half of the next request on a persistent connection when it stops. It must answer that request.
#[test]
fn half_written_request_is_answered_during_shutdown() {
    let backend = Backend::answering("a report");
    let (limiter, _push) = crate::start_limiter(vec![backend.entry("s-1", "Ready")]);
    let mut client = limiter.connect();
    assert_eq!(client.request(&get_request("large", 1)).status(), 200);
    let next = get_request("large", 1);
    let (half, rest) = next.split_at(next.len() / 2);
    client.write(half);
    // Once this later request is answered, the limiter has also read the half request.
    assert_eq!(limiter.request(&get_request("large", 1)).status(), 200);
    stop_and_wait_for_idle_close(&limiter);
    client.write(rest);
    let answer = client.read_answer().expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    let (status, _) = limiter.wait_for_exit();
    assert!(status.success());
}

/// Further stop signals change nothing: open requests are still answered.
#[test]
fn repeated_stop_signals_do_not_drop_open_requests() {
    let (backend, release) = Backend::holding_answers();
    let (limiter, _push) = crate::start_limiter(vec![backend.entry("s-1", "Ready")]);
    let mut client = limiter.connect();
    client.write(&get_request("large", 1));
    backend.wait_for_request();
    limiter.signal("TERM");
    while limiter.connect().request("GET /ready HTTP/1.1\r\n\r\n").status() == 200 {}
    limiter.signal("TERM");
    limiter.signal("INT");
    release.send(()).unwrap();
    assert_eq!(client.read_answer().expect("an answer").status(), 200);
    let (status, _) = limiter.wait_for_exit();
    assert!(status.success());
}

/// The kernel accepts connections while the program is suspended: some with a request each, and one that is reset.
#[test]
fn connections_accepted_before_the_listener_closes_are_answered() {
    let backend = Backend::answering("a report");
    let (limiter, _push) = crate::start_limiter(vec![backend.entry("s-1", "Ready")]);
    limiter.wait_until_ready();
    limiter.signal("STOP");
    let mut clients: Vec<Client> = (0..5)
        .map(|_| {
            let mut client = limiter.connect();
            client.write(&get_request("large", 1));
            client
        })
        .collect();
    reset(TcpStream::connect(limiter.address).expect("the kernel accepts"));
    limiter.signal("TERM");
    // Longer than the limiter keeps accepting connections after SIGTERM.
    std::thread::sleep(Duration::from_millis(600));
    limiter.signal("CONT");
    for client in &mut clients {
        assert_eq!(client.read_answer().expect("an answer").status(), 200);
    }
    let (status, _) = limiter.wait_for_exit();
    assert!(status.success());
}

/// A request that is admitted late in a shutdown is answered before the program ends, although its deadline is later
/// and its backend hangs.
#[test]
fn request_admitted_late_in_shutdown_is_answered_before_exit() {
    let (hanging, _release) = Backend::holding_answers();
    let (discovery, _push) = discovery();
    let (counter, _) = quota_counter(true);
    let mut config = config(discovery, counter, vec![hanging.entry("s-1", "Ready")]);
    for profile in config["settings"]["profiles"].as_array_mut().expect("a list") {
        profile["deadlineMs"] = serde_json::json!(3000.0);
        profile["goalTimeMs"] = serde_json::json!(3000.0);
    }
    let limiter = Limiter::start(&config);
    limiter.wait_until_ready();
    let mut client = limiter.connect();
    assert_eq!(client.request("GET /ready HTTP/1.1\r\n\r\n").status(), 200);
    let late_request = get_request("large", 1);
    let (half, rest) = late_request.split_at(late_request.len() / 2);
    client.write(half);
    assert_eq!(limiter.request("GET /ready HTTP/1.1\r\n\r\n").status(), 200);
    limiter.signal("TERM");
    // Later than the 0.6 s margin of the shutdown, so the request's 3 s deadline is after the end of the program.
    std::thread::sleep(Duration::from_millis(1_200));
    client.write(rest);
    assert!(client.read_answer().is_some(), "the late request was not answered");
    let (status, _) = limiter.wait_for_exit();
    assert!(status.success());
}

/// SIGKILL may follow SIGTERM after the longest deadline, counted as 3 s at most, plus 0.7 s. A request that arrived
/// more than 0.7 s after SIGTERM and is still unanswered is lost then. With a longest deadline of 8 s, a request that
/// was admitted 1.2 s after SIGTERM and whose backend hung was once answered only 8.5 s after SIGTERM.
#[test]
fn request_admitted_late_in_shutdown_is_answered_before_the_earliest_kill() {
    const EARLIEST_KILL: Duration = Duration::from_millis(3_700);
    let (hanging, _release) = Backend::holding_answers();
    let (discovery, _push) = discovery();
    let (counter, _) = quota_counter(true);
    let limiter = Limiter::start(&config(discovery, counter, vec![hanging.entry("s-1", "Ready")]));
    limiter.wait_until_ready();
    let mut client = limiter.connect();
    assert_eq!(client.request("GET /ready HTTP/1.1\r\n\r\n").status(), 200);
    let late_request = get_request("large", 1);
    let (half, rest) = late_request.split_at(late_request.len() / 2);
    client.write(half);
    assert_eq!(limiter.request("GET /ready HTTP/1.1\r\n\r\n").status(), 200);
    let signaled_at = Instant::now();
    limiter.signal("TERM");
    std::thread::sleep(Duration::from_millis(1_200));
    client.write(rest);
    assert!(client.read_answer().is_some(), "the late request was not answered");
    assert!(signaled_at.elapsed() < EARLIEST_KILL, "answered {:?} after SIGTERM", signaled_at.elapsed());
}

/// Time after the call for a drain within which idle connections must be closed, from the operators' pages.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(4);

/// Starts a limiter with an address for admin calls, at a backend that holds its answers back.
fn start_for_drains() -> (Limiter, Backend, std::sync::mpsc::Sender<()>) {
    let (backend, release) = Backend::holding_answers();
    let (discovery, _push) = discovery();
    let (counter, _) = quota_counter(true);
    let mut config = config(discovery, counter, vec![backend.entry("s-1", "Ready")]);
    config["ops"] = serde_json::json!("127.0.0.1:0");
    let limiter = Limiter::start(&config);
    limiter.wait_until_ready();
    (limiter, backend, release)
}

fn set_draining(limiter: &Limiter, call: &str) {
    assert_eq!(limiter.call_admin("PUT", call).status(), 200);
}

/// Guards against a drain that leaves connections open: a connection that came in a drain and was answered after its end
/// used to stay open in the next drain.
#[test]
fn connection_accepted_in_an_ended_drain_closes_in_the_next_one() {
    let (limiter, backend, release) = start_for_drains();
    set_draining(&limiter, "quiesce");
    let mut client = limiter.connect();
    client.write(&get_request("large", 1));
    backend.wait_for_request();
    set_draining(&limiter, "resume");
    release.send(()).expect("the backend waits");
    let answer = client.read_answer().expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (200, None));
    set_draining(&limiter, "quiesce");
    let called_at = Instant::now();
    assert!(client.read_answer().is_none());
    assert!(called_at.elapsed() < DRAIN_TIMEOUT, "closed after {:?}", called_at.elapsed());
}

/// Guards against a connection that stays open in a drain because only its health checks were answered.
#[test]
fn readiness_check_in_a_drain_closes_its_connection() {
    let (limiter, _backend, _release) = start_for_drains();
    set_draining(&limiter, "quiesce");
    let mut client = limiter.connect();
    let answer = client.request("GET /ready HTTP/1.1\r\n\r\n");
    assert_eq!((answer.status(), answer.header("connection")), (503, Some("close")));
    assert!(client.read_answer().is_none());
}
