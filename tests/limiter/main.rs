//! Runs the built program on loopback sockets, with scripted stand-ins for the services that it talks to.

mod answer_begun;
mod answer_clocks;
mod bad_input;
mod broken_answers;
mod capacity;
mod client_forms;
mod client_leaves;
mod cold;
mod discovery;
#[cfg(all(target_arch = "x86_64", target_os = "linux"))]
mod filter;
mod harness;
mod large_fleet;
mod long_answers;
mod long_requests;
mod memory;
mod memory_crowds;
mod paced_answers;
mod pool;
#[cfg(all(target_arch = "x86_64", target_os = "linux"))]
mod registers;
#[path = "../common/script.rs"]
mod script;
mod shutdown;
mod size;
mod startup;
mod throttle;
mod told_time;
mod upgrade;
mod window;

use std::io::Write;
use std::net::Shutdown;
use std::sync::mpsc::channel;
use std::sync::Mutex;

use harness::*;
use serde_json::{json, Value};

/// Starts a limiter with a quota counter that answers and with the endpoint list `servers`. The sender changes the
/// list.
fn start_limiter(servers: Vec<Value>) -> (Limiter, std::sync::mpsc::Sender<Value>) {
    let (discovery, push) = discovery();
    let (counter, _) = quota_counter(true);
    (Limiter::start(&config(discovery, counter, servers)), push)
}

#[test]
fn request_is_forwarded_unchanged() {
    let backend = Backend::answering("a report");
    let (limiter, _push) = start_limiter(vec![backend.entry("s-1", "Ready")]);
    let mut client = limiter.connect();
    let request = get_request("large", 1);
    let answer = client.request(&request);
    assert_eq!((answer.status(), answer.body.as_str()), (200, "a report"));
    assert_eq!(client.request(&post_request("a thesis")).status(), 200);
    let id = request.lines().find_map(|l| l.strip_prefix("X-Request-Id: ")).expect("the request has an id");
    let forwarded = backend.take_requests();
    assert_eq!(forwarded[0].start_line, "GET /read/00000000b4d65521?part=1 HTTP/1.1");
    assert_eq!(forwarded[0].header("x-request-id"), Some(id));
    let time_left: u64 = forwarded[0].header("x-deadline-ms").unwrap().parse().unwrap();
    assert!(time_left <= 8000, "{time_left}");
    assert_eq!(forwarded[1].start_line, "POST /send/00000000b4d65521 HTTP/1.1");
    assert_eq!(forwarded[1].header("idempotency-key"), Some("5c0f6e1a2b3d4c59"));
    assert_eq!(forwarded[1].body, "a thesis");
}

#[test]
fn over_quota_request_is_rejected_with_retry_after() {
    let backend = Backend::answering("a report");
    let (limiter, _push) = start_limiter(vec![backend.entry("s-1", "Ready")]);
    assert_eq!(limiter.request(&get_request("small", 4)).status(), 200);
    let answer = limiter.request(&get_request("small", 4));
    assert_eq!(answer.status(), 429);
    let retry_after: f64 = answer.header("retry-after").expect("a header").parse().expect("seconds");
    assert!(retry_after > 0.0 && retry_after <= 0.5, "{retry_after}");
    assert_eq!(backend.request_count(), 1);
}

#[test]
fn malformed_requests_are_not_admitted() {
    let backend = Backend::answering("a report");
    let (mut limiter, _push) = start_limiter(vec![backend.entry("s-1", "Ready")]);
    let (get, post) = (get_request("large", 1), post_request("a thesis"));
    let long_body = "x".repeat((64 << 10) + 1);
    let metering = |value: &str| (get.replace("units=1,spread=1,first=0", value), 400);
    let duplicate_header = |line: &str| (get.replace("Host:", &format!("{line}\r\nHost:")), 400);
    let smuggled_request = format!("0\r\n\r\n{get}");
    let length_headers =
        |lines: &str| (post.replace("Content-Length: 8", lines).replace("a thesis", &smuggled_request), 400);
    for (request, status) in [
        (get.replace("/read/", "/lend/"), 404),
        (get.replace("/read/00000000b4d65521", "/read"), 404),
        (get.replace("/read/00000000b4d65521", "/read/00000000b4d65521/more"), 404),
        ("GET / HTTP/1.1\r\n\r\n".into(), 404),
        (get.replace("b4d65521", "xyz65521"), 400),
        (get.replace("/00000000b4d65521", "/ffffffffb4d65521"), 400),
        (get.replace("X-Class: read", "X-Class: send"), 400),
        (get.replace("X-Contract: large", "X-Contract: huge"), 400),
        (get.replace("X-Request-Id: ", "X-Request-Id: \r\nX-Other-Id: "), 400),
        (get.replace("X-Request-Id", "X-Other-Id"), 400),
        (get.replace("X-Deadline-Ms: 8000", "X-Deadline-Ms: soon"), 400),
        (get.replace("X-Deadline-Ms: 8000", "X-Deadline-Ms: +8000"), 400),
        metering("units=NaN,spread=1,first=0"),
        metering("units=inf,spread=1,first=0"),
        metering("units=-1,spread=1,first=0"),
        metering("units=0,spread=1,first=0"),
        metering("units=4.5,spread=1,first=0"),
        metering("units=1,first=0"),
        metering("units=1,spread=0,first=0"),
        metering("units=1,spread=2,first=0"),
        metering("units=1,spread=1,first=1"),
        metering("units=1,spread=1,first=-1"),
        metering("units=1,units=2,spread=1,first=0"),
        duplicate_header("X-Class: read"),
        duplicate_header("X-Contract: small"),
        duplicate_header("X-Request-Id: another"),
        duplicate_header("X-Deadline-Ms: 8000"),
        duplicate_header("X-Metering: units=1,spread=1,first=0"),
        (get.replace("GET", "DELETE"), 400),
        (get.replace("Host:", "Content-Length: 4\r\nHost:") + "body", 400),
        (post.replace("Idempotency-Key", "X-Key"), 400),
        (post.replace("Content-Length: 8", "Content-Length: 33554433").replace("a thesis", &long_body), 413),
        length_headers("Content-Length: 5\r\nTransfer-Encoding: chunked"),
        length_headers("Transfer-Encoding: chunked\r\nContent-Length: 5"),
        length_headers("Content-Length: 5\r\nContent-Length: 6"),
        length_headers("Content-Length: -5"),
        length_headers("Content-Length: 99999999999999999999"),
    ] {
        let mut client = limiter.connect();
        assert_eq!(client.request(&request).status(), status, "{}", &request[..request.len().min(400)]);
        assert!(client.read_answer().is_none(), "the rest of the body must not be read as a request");
    }
    assert!(limiter.counters().contains(" taken=0 "));
    assert_eq!(backend.request_count(), 0);
}

/// A client that keeps sending can read the error response, and the limiter does not read its body forever.
#[test]
fn error_reaches_client_that_keeps_sending() {
    let (limiter, _push) = start_limiter(vec![]);
    let mut client = limiter.connect();
    client.write(&post_request("").replace("Content-Length: 0", "Content-Length: 60000000"));
    client.write(&"x".repeat(100_000));
    assert_eq!(client.read_answer().expect("an error response").status(), 413);
    client.write_until_closed(&[b'x'; 4096]);
}

#[test]
fn duplicate_id_of_open_request_is_rejected() {
    let (backend, release) = Backend::holding_answers();
    let (limiter, _push) = start_limiter(vec![backend.entry("s-1", "Ready")]);
    let mut client = limiter.connect();
    let request = get_request("large", 1);
    client.write(&request);
    backend.wait_for_request();
    assert_eq!(limiter.request(&request).status(), 409);
    release.send(()).unwrap();
    assert_eq!(client.read_answer().expect("an answer to the first request").status(), 200);
    assert_eq!(backend.request_count(), 1);
}

#[test]
fn body_of_64_kib_is_forwarded() {
    let backend = Backend::answering("a report");
    let (limiter, _push) = start_limiter(vec![backend.entry("s-1", "Ready")]);
    let body = "x".repeat(64 << 10);
    assert_eq!(limiter.request(&post_request(&body)).status(), 200);
    assert_eq!(backend.take_requests()[0].body, body);
}

#[test]
fn idempotent_request_is_retried_when_backend_dies_during_answer() {
    let dying = Backend::start(|stream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf of");
        let _ = stream.shutdown(Shutdown::Both);
    });
    let healthy = Backend::answering("a report");
    let (limiter, _push) = start_limiter(vec![dying.entry("s-1", "Ready"), healthy.entry("s-2", "Ready")]);
    let mut request_count = 0;
    while dying.request_count() == 0 {
        let answer = limiter.request(&get_request("large", 1));
        assert_eq!((answer.status(), answer.body.as_str()), (200, "a report"));
        request_count += 1;
    }
    assert_eq!(healthy.request_count(), request_count);
}

#[test]
fn keyed_request_that_may_have_run_is_not_sent_to_another_cell() {
    let dying = Backend::start(|stream| {
        let _ = stream.shutdown(Shutdown::Both);
    });
    let other_cell = Backend::answering("a report");
    let mut other_entry = other_cell.entry("s-2", "Terminating");
    other_entry["cell"] = json!(2);
    let (limiter, push) = start_limiter(vec![dying.entry("s-1", "Ready"), other_entry.clone()]);
    assert_eq!(limiter.request(&post_request("a thesis")).status(), 502);
    assert_eq!((dying.request_count(), other_cell.request_count()), (1, 0));
    // Once the other cell is in service too, a request that failed in one cell is still never sent to the other.
    other_entry["state"] = json!("Ready");
    push.send(json!({"version": 2, "full": false, "servers": [other_entry]})).unwrap();
    let mut statuses = Vec::new();
    while other_cell.request_count() == 0 {
        statuses.push(limiter.request(&post_request("a thesis")).status());
    }
    let served = statuses.iter().filter(|s| **s == 200).count() as u32;
    assert_eq!(served, other_cell.request_count());
}

#[test]
fn draining_backend_gets_no_new_requests() {
    let (a, b) = (Backend::answering("a"), Backend::answering("b"));
    let (limiter, push) = start_limiter(vec![a.entry("s-1", "Ready")]);
    assert_eq!(limiter.request(&get_request("large", 1)).body, "a");
    let servers = [a.entry("s-1", "Terminating"), b.entry("s-2", "Ready")];
    push.send(json!({"version": 2, "full": false, "servers": servers})).unwrap();
    // One change lists both backends: once the limiter uses the new one, it also knows of the drain.
    while limiter.request(&get_request("large", 1)).body != "b" {}
    let before = a.request_count();
    for _ in 0..20 {
        assert_eq!(limiter.request(&get_request("large", 1)).body, "b");
    }
    assert_eq!(a.request_count(), before);
}

#[test]
fn restarted_backend_gets_new_connection() {
    let (connected, connections) = channel();
    let connected = Mutex::new(connected);
    let address = listen(move |mut stream| {
        let _ = connected.lock().unwrap().send(());
        let mut reader = std::io::BufReader::new(stream.try_clone().unwrap());
        while read_message(&mut reader).is_some() {
            respond_ok(&mut stream, "a report");
        }
    });
    let entry = |started: u64| json!({"id": "s-1", "addr": address.to_string(), "cell": 1, "state": "Ready", "started_ms": started});
    let marker = Backend::answering("marker");
    let (limiter, push) = start_limiter(vec![entry(0)]);
    assert_eq!(limiter.request(&get_request("large", 1)).body, "a report");
    assert_eq!(limiter.request(&get_request("large", 1)).body, "a report");
    connections.recv_timeout(HANG_TIMEOUT).unwrap();
    assert!(connections.try_recv().is_err(), "the first connection was not reused");
    let servers = [entry(1000), marker.entry("s-2", "Ready")];
    push.send(json!({"version": 2, "full": false, "servers": servers})).unwrap();
    while limiter.request(&get_request("large", 1)).body != "marker" {}
    while limiter.request(&get_request("large", 1)).body != "a report" {}
    connections.recv_timeout(HANG_TIMEOUT).unwrap();
}

#[test]
fn limiter_is_ready_once_a_backend_is_known() {
    let backend = Backend::answering("a report");
    let (limiter, push) = start_limiter(vec![]);
    assert_eq!(limiter.request("GET /ready HTTP/1.1\r\n\r\n").status(), 503);
    let servers = [backend.entry("s-1", "Ready")];
    push.send(json!({"version": 2, "full": true, "servers": servers})).unwrap();
    limiter.wait_until_ready();
    assert_eq!(limiter.request(&get_request("large", 1)).status(), 200);
}

#[test]
fn silent_quota_counter_delays_nothing_and_is_redialled() {
    let backend = Backend::answering("a report");
    let (discovery, _push) = discovery();
    let (counter, connections) = quota_counter(false);
    let limiter = Limiter::start(&config(discovery, counter, vec![backend.entry("s-1", "Ready")]));
    connections.recv_timeout(HANG_TIMEOUT).unwrap();
    assert_eq!(limiter.request(&get_request("small", 2)).status(), 200);
    // The limiter's even share of the quota still applies, and the limiter replaces the silent connection by a new one.
    assert_eq!(limiter.request(&get_request("small", 2)).status(), 200);
    assert_eq!(limiter.request(&get_request("small", 2)).status(), 429);
    connections.recv_timeout(HANG_TIMEOUT).expect("a second connection");
}

#[test]
fn client_disconnect_abandons_the_request() {
    let (backend, release) = Backend::holding_answers();
    let (mut limiter, _push) = start_limiter(vec![backend.entry("s-1", "Ready")]);
    let mut client = limiter.connect();
    client.write(&get_request("large", 1));
    backend.wait_for_request();
    drop(client);
    while !limiter.counters().contains(" abandoned=1 ") {}
    release.send(()).unwrap();
    while !limiter.counters().contains(" attempts_ok=1 ") {}
    assert!(limiter.counters().contains(" served=0 "));
}

#[test]
fn graceful_shutdown_answers_open_requests() {
    let (backend, release) = Backend::holding_answers();
    let (limiter, _push) = start_limiter(vec![backend.entry("s-1", "Ready")]);
    limiter.wait_until_ready();
    let (mut busy, mut idle) = (limiter.connect(), limiter.connect());
    assert_eq!(idle.request("GET /ready HTTP/1.1\r\n\r\n").status(), 200);
    busy.write(&get_request("large", 1));
    backend.wait_for_request();
    limiter.signal("TERM");
    assert!(idle.read_answer().is_none(), "an idle connection was not closed");
    release.send(()).unwrap();
    let answer = busy.read_answer().expect("the open request is answered");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    let (status, log) = limiter.wait_for_exit();
    assert!(status.success(), "{log}");
    assert!(log.contains("counters:") && log.contains(" served=1 "), "{log}");
}

/// Discovery and the quota counter move to new addresses during a request, with and without `LB_DISCOVERY` set at the
/// start. The new discovery restarts its version numbers, and a drain announced by the old one still applies.
#[test]
fn reload_moves_discovery_and_quota_counter_without_losing_a_request() {
    for from_environment in [false, true] {
        let (holding, release) = Backend::holding_answers();
        let (draining, next) = (Backend::answering("drained"), Backend::answering("next"));
        let (discovery_a, push_a) = discovery();
        let (discovery_b, push_b) = discovery();
        let ((counter_a, connected_a), (counter_b, connected_b)) = (quota_counter(true), quota_counter(true));
        let servers = vec![holding.entry("s-1", "Ready"), draining.entry("s-2", "Terminating")];
        let mut settings = config(discovery_a, counter_a, servers);
        settings["known"]["version"] = json!(50);
        let mut limiter = Limiter::start_with_discovery(&settings, from_environment.then_some(discovery_a));
        connected_a.recv_timeout(HANG_TIMEOUT).expect("the first quota counter is dialled");
        let mut client = limiter.connect();
        client.write(&get_request("large", 1));
        holding.wait_for_request();

        assert!(limiter.reload("{").contains("refused"), "an invalid file was not refused");
        assert!(connected_b.try_recv().is_err());
        settings["discovery"] = json!(discovery_b.to_string());
        settings["counter"] = json!(counter_b.to_string());
        let log_line = limiter.reload(&settings.to_string());
        assert!(log_line.contains(&discovery_b.to_string()), "{log_line}");
        connected_b.recv_timeout(HANG_TIMEOUT).expect("the next quota counter is dialled");
        let servers =
            [holding.entry("s-1", "Terminating"), draining.entry("s-2", "Ready"), next.entry("s-3", "Ready")];
        push_b.send(json!({"version": 3, "full": true, "servers": servers})).unwrap();
        while !limiter.counters().contains(" list_changes=1 ") {}
        for _ in 0..20 {
            assert_eq!(limiter.request(&get_request("large", 1)).body, "next");
        }
        release.send(()).unwrap();
        assert_eq!(
            client.read_answer().expect("an answer to the request from before the reload").body,
            "a report"
        );
        assert_eq!(draining.request_count(), 0);
        assert!(limiter.counters().contains(" reloads=1 reloads_refused=1 "));
        drop(push_a);
    }
}

#[test]
fn configuration_errors_name_the_key() {
    let nowhere = "127.0.0.1:1".parse().unwrap();
    let valid = self::config(nowhere, nowhere, vec![]);
    let with = |path: &str, value: Value| {
        let mut config = valid.clone();
        *config.pointer_mut(path).expect("the key exists") = value;
        config.to_string()
    };
    for (config, key) in [
        (with("/settings/caps/maxOpen", json!("many")), "settings.caps.maxOpen"),
        (
            with("/settings/profiles/0/repeat", json!("often")),
            "settings.profiles[0].repeat: often, expected safe, keyed or unsafe",
        ),
        (
            with("/settings/profiles/1/keyScope", json!("moon")),
            "settings.profiles[1].keyScope: moon, expected all, zone or cell",
        ),
        (
            with("/settings/granularityMs", json!(-1)),
            "settings.granularityMs: -1, expected a time in milliseconds of 0 or more",
        ),
        (
            with("/settings/profiles/1/deadlineMs", json!(-5)),
            "settings.profiles[1].deadlineMs: -5, expected a time in milliseconds of 0 or more",
        ),
        (
            with("/settings/plans/1/rate", json!(-2)),
            "settings.plans[1].rate: -2, expected a number of 0 or more",
        ),
        (
            with("/settings/plans/1/name", json!("small")),
            "settings.plans[1].name: 'small', expected a unique name",
        ),
        (with("/settings/profiles", json!([])), "settings.profiles: [], expected at least one entry"),
        (with("/settings/selfIndex", json!(1)), "settings.selfIndex: 1, expected a number below nInstances"),
        (with("/settings/caps/maxAttempts", json!(0)), "settings.caps.maxAttempts: 0, expected 1 or more"),
        (
            with("/settings/rules/coldFrom", json!(1.5)),
            "settings.rules.coldFrom: 1.5, expected a share from 0 to 1",
        ),
        (with("/listen", json!("here")), "listen"),
        (with("/seed", json!("seed")), "seed"),
        (with("/limits/sockets", json!(8)), "limits.sockets"),
        (with("/limits/memory_mb", json!(8)), "limits.memory_mb: 8 is below the minimum of 16"),
        (with("/counter", json!(null)), "counter"),
        (with("/known/servers", json!([{"id": "s-1"}])), "known.servers[0]"),
        ("{".to_string(), "configuration"),
    ] {
        let out = command(&config).output().expect("the program starts");
        let log = String::from_utf8_lossy(&out.stderr).to_string();
        assert!(!out.status.success() && log.contains(key), "{key}: {log}");
        assert!(!log.contains("panicked"), "{log}");
    }
    // A reload refuses an invalid file too, and the limiter keeps running with the previous one.
    let backend = Backend::answering("a report");
    let (discovery, _push) = discovery();
    let (counter, _) = quota_counter(true);
    let running = self::config(discovery, counter, vec![backend.entry("s-1", "Ready")]);
    let mut limiter = Limiter::start(&running);
    let mut invalid = running.clone();
    invalid["settings"]["plans"][0]["rate"] = json!(-2);
    invalid["discovery"] = json!("127.0.0.1:1");
    let log_line = limiter.reload(&invalid.to_string());
    assert!(
        log_line.contains("refused") && log_line.contains("settings.plans[0].rate: -2, expected"),
        "{log_line}"
    );
    assert_eq!(limiter.request(&get_request("large", 1)).status(), 200);
    // Unknown keys are ignored.
    let mut unknown = running;
    unknown["settings"]["caps"]["moonPhase"] = json!({"full": true});
    let log_line = limiter.reload(&unknown.to_string());
    assert!(!log_line.contains("refused"), "{log_line}");
    let without_config = command("{}").env_remove("LB_CONFIG").output().expect("the program starts");
    assert!(
        !without_config.status.success()
            && String::from_utf8_lossy(&without_config.stderr).contains("LB_CONFIG")
    );
}
