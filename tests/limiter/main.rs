//! The built program on loopback sockets, among scripted peers.

mod answer_begun;
mod bad_input;
mod client_leaves;
mod cold;
mod discovery;
#[cfg(all(target_arch = "x86_64", target_os = "linux"))]
mod filter;
mod harness;
mod pool;
#[cfg(all(target_arch = "x86_64", target_os = "linux"))]
mod registers;
#[path = "../common/script.rs"]
mod script;
mod shutdown;
mod size;
mod startup;
mod told_time;
mod upgrade;
mod window;

use std::io::Write;
use std::net::Shutdown;
use std::sync::mpsc::channel;
use std::sync::Mutex;

use harness::*;
use serde_json::{json, Value};

/// A limiter whose counter answers and whose endpoints is `servers`, with a way to change it.
fn limiter(servers: Vec<Value>) -> (Limiter, std::sync::mpsc::Sender<Value>) {
    let (discovery, push) = discovery();
    let (counter, _) = counter(true);
    (Limiter::start(&config(discovery, counter, servers)), push)
}

#[test]
fn a_request_is_served_and_passes_on_unchanged() {
    let destination = Destination::answering("a report");
    let (limiter, _push) = limiter(vec![destination.entry("s-1", "Ready")]);
    let mut client = limiter.connect();
    let request = read("large", 1);
    let answer = client.ask(&request);
    assert_eq!((answer.status(), answer.body.as_str()), (200, "a report"));
    assert_eq!(client.ask(&send("a thesis")).status(), 200);
    let id = request.lines().find_map(|l| l.strip_prefix("X-Request-Id: ")).expect("it has one");
    let seen = destination.seen();
    assert_eq!(seen[0].first, "GET /read/00000000b4d65521?part=1 HTTP/1.1");
    assert_eq!(seen[0].header("x-request-id"), Some(id));
    let left: u64 = seen[0].header("x-deadline-ms").unwrap().parse().unwrap();
    assert!(left <= 8000, "{left}");
    assert_eq!(seen[1].first, "POST /send/00000000b4d65521 HTTP/1.1");
    assert_eq!(seen[1].header("idempotency-key"), Some("5c0f6e1a2b3d4c59"));
    assert_eq!(seen[1].body, "a thesis");
}

#[test]
fn beyond_its_quota_a_customer_is_refused_with_a_time_to_come_back() {
    let destination = Destination::answering("a report");
    let (limiter, _push) = limiter(vec![destination.entry("s-1", "Ready")]);
    assert_eq!(limiter.ask(&read("small", 4)).status(), 200);
    let answer = limiter.ask(&read("small", 4));
    assert_eq!(answer.status(), 429);
    let after: f64 = answer.header("retry-after").expect("advice").parse().expect("seconds");
    assert!(after > 0.0 && after <= 0.5, "{after}");
    assert_eq!(destination.count(), 1);
}

#[test]
fn what_is_malformed_never_reaches_the_module() {
    let destination = Destination::answering("a report");
    let (mut limiter, _push) = limiter(vec![destination.entry("s-1", "Ready")]);
    let (get, post) = (read("large", 1), send("a thesis"));
    let long = "x".repeat((64 << 10) + 1);
    let metering = |said: &str| (get.replace("units=1,spread=1,first=0", said), 400);
    let twice = |line: &str| (get.replace("Host:", &format!("{line}\r\nHost:")), 400);
    let hidden = format!("0\r\n\r\n{get}");
    let length = |lines: &str| (post.replace("Content-Length: 8", lines).replace("a thesis", &hidden), 400);
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
        twice("X-Class: read"),
        twice("X-Contract: small"),
        twice("X-Request-Id: another"),
        twice("X-Deadline-Ms: 8000"),
        twice("X-Metering: units=1,spread=1,first=0"),
        (get.replace("GET", "DELETE"), 400),
        (get.replace("Host:", "Content-Length: 4\r\nHost:") + "body", 400),
        (post.replace("Idempotency-Key", "X-Key"), 400),
        (post.replace("Content-Length: 8", "Content-Length: 65537").replace("a thesis", &long), 413),
        length("Content-Length: 5\r\nTransfer-Encoding: chunked"),
        length("Transfer-Encoding: chunked\r\nContent-Length: 5"),
        length("Content-Length: 5\r\nContent-Length: 6"),
        length("Content-Length: -5"),
        length("Content-Length: 99999999999999999999"),
    ] {
        let mut client = limiter.connect();
        assert_eq!(client.ask(&request).status(), status, "{}", &request[..request.len().min(400)]);
        assert!(client.answer().is_none(), "nothing behind it is read as a request");
    }
    assert!(limiter.counters().contains(" taken=0 "));
    assert_eq!(destination.count(), 0);
}

/// A client that goes on sending can read its error, and what it sends is not read without end.
#[test]
fn an_error_survives_a_client_that_still_sends() {
    let (limiter, _push) = limiter(vec![]);
    let mut client = limiter.connect();
    client.write(&send("").replace("Content-Length: 0", "Content-Length: 60000000"));
    client.write(&"x".repeat(100_000));
    assert_eq!(client.answer().expect("the error").status(), 413);
    client.pour(&[b'x'; 4096]);
}

#[test]
fn the_id_of_an_open_request_is_taken_by_nobody_else() {
    let (destination, release) = Destination::holding();
    let (limiter, _push) = limiter(vec![destination.entry("s-1", "Ready")]);
    let mut client = limiter.connect();
    let request = read("large", 1);
    client.write(&request);
    destination.until_asked();
    assert_eq!(limiter.ask(&request).status(), 409);
    release.send(()).unwrap();
    assert_eq!(client.answer().expect("it was first").status(), 200);
    assert_eq!(destination.count(), 1);
}

/// Neither silent sockets, nor halves of requests, nor sockets kept after one request keep a client out.
#[test]
fn clients_get_in_past_sockets_that_say_nothing_more() {
    let destination = Destination::answering("a report");
    let (discovery, _push) = discovery();
    let (counter, _) = counter(true);
    let mut config = config(discovery, counter, vec![destination.entry("s-1", "Ready")]);
    config["limits"]["sockets"] = json!(96);
    let mut limiter = Limiter::start(&config);
    let mut kept = Vec::new();
    for round in 0..120 {
        let mut client = limiter.connect();
        match round % 4 {
            0 => assert_eq!(client.ask(&read("large", 1)).status(), 200),
            1 => client.write("GET /read/00"),
            2 => client.write(&send("a thesis")[..200]),
            _ => {}
        }
        kept.push(client);
    }
    assert_eq!(limiter.ask(&read("large", 1)).status(), 200);
    assert!(!limiter.counters().contains(" downstream_room_unfinished=0 "));
    // What was not closed for room is closed once its time is up.
    for mut client in kept {
        while client.answer().is_some() {}
    }
}

#[test]
fn a_body_of_64_kib_is_carried() {
    let destination = Destination::answering("a report");
    let (limiter, _push) = limiter(vec![destination.entry("s-1", "Ready")]);
    let body = "x".repeat(64 << 10);
    assert_eq!(limiter.ask(&send(&body)).status(), 200);
    assert_eq!(destination.seen()[0].body, body);
}

#[test]
fn a_safe_request_goes_elsewhere_when_its_destination_dies_in_the_answer() {
    let dying = Destination::start(|stream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf of");
        let _ = stream.shutdown(Shutdown::Both);
    });
    let sound = Destination::answering("a report");
    let (limiter, _push) = limiter(vec![dying.entry("s-1", "Ready"), sound.entry("s-2", "Ready")]);
    let mut asked = 0;
    while dying.count() == 0 {
        let answer = limiter.ask(&read("large", 1));
        assert_eq!((answer.status(), answer.body.as_str()), (200, "a report"));
        asked += 1;
    }
    assert_eq!(sound.count(), asked);
}

#[test]
fn a_keyed_request_that_may_have_run_fails_once_and_is_not_sent_out_of_its_cell() {
    let dying = Destination::start(|stream| {
        let _ = stream.shutdown(Shutdown::Both);
    });
    let elsewhere = Destination::answering("a report");
    let mut other = elsewhere.entry("s-2", "Terminating");
    other["cell"] = json!(2);
    let (limiter, push) = limiter(vec![dying.entry("s-1", "Ready"), other.clone()]);
    assert_eq!(limiter.ask(&send("a thesis")).status(), 502);
    assert_eq!((dying.count(), elsewhere.count()), (1, 0));
    // With the other cell in service too, what died in one cell still never shows in the other.
    other["state"] = json!("Ready");
    push.send(json!({"version": 2, "full": false, "servers": [other]})).unwrap();
    let mut statuses = Vec::new();
    while elsewhere.count() == 0 {
        statuses.push(limiter.ask(&send("a thesis")).status());
    }
    let served = statuses.iter().filter(|s| **s == 200).count() as u32;
    assert_eq!(served, elsewhere.count());
}

#[test]
fn a_destination_that_drains_gets_nothing_new() {
    let (a, b) = (Destination::answering("a"), Destination::answering("b"));
    let (limiter, push) = limiter(vec![a.entry("s-1", "Ready")]);
    assert_eq!(limiter.ask(&read("large", 1)).body, "a");
    let servers = [a.entry("s-1", "Terminating"), b.entry("s-2", "Ready")];
    push.send(json!({"version": 2, "full": false, "servers": servers})).unwrap();
    // One change names both: once the new one is used, the drain is known.
    while limiter.ask(&read("large", 1)).body != "b" {}
    let before = a.count();
    for _ in 0..20 {
        assert_eq!(limiter.ask(&read("large", 1)).body, "b");
    }
    assert_eq!(a.count(), before);
}

#[test]
fn a_destination_back_under_its_id_gets_no_connection_of_its_former_life() {
    let (connected, connections) = channel();
    let connected = Mutex::new(connected);
    let address = listen(move |mut stream| {
        let _ = connected.lock().unwrap().send(());
        let mut reader = std::io::BufReader::new(stream.try_clone().unwrap());
        while read_message(&mut reader).is_some() {
            ok(&mut stream, "a report");
        }
    });
    let entry = |started: u64| json!({"id": "s-1", "addr": address.to_string(), "cell": 1, "state": "Ready", "started_ms": started});
    let marker = Destination::answering("marker");
    let (limiter, push) = limiter(vec![entry(0)]);
    assert_eq!(limiter.ask(&read("large", 1)).body, "a report");
    assert_eq!(limiter.ask(&read("large", 1)).body, "a report");
    connections.recv_timeout(HUNG).unwrap();
    assert!(connections.try_recv().is_err(), "the first connection is used again");
    let servers = [entry(1000), marker.entry("s-2", "Ready")];
    push.send(json!({"version": 2, "full": false, "servers": servers})).unwrap();
    while limiter.ask(&read("large", 1)).body != "marker" {}
    while limiter.ask(&read("large", 1)).body != "a report" {}
    connections.recv_timeout(HUNG).unwrap();
}

#[test]
fn ready_is_said_only_once_a_destination_is_known() {
    let destination = Destination::answering("a report");
    let (limiter, push) = limiter(vec![]);
    assert_eq!(limiter.ask("GET /ready HTTP/1.1\r\n\r\n").status(), 503);
    let servers = [destination.entry("s-1", "Ready")];
    push.send(json!({"version": 2, "full": true, "servers": servers})).unwrap();
    limiter.until_ready();
    assert_eq!(limiter.ask(&read("large", 1)).status(), 200);
}

#[test]
fn a_silent_counter_holds_up_nothing_and_is_called_anew() {
    let destination = Destination::answering("a report");
    let (discovery, _push) = discovery();
    let (counter, connections) = counter(false);
    let limiter = Limiter::start(&config(discovery, counter, vec![destination.entry("s-1", "Ready")]));
    connections.recv_timeout(HUNG).unwrap();
    assert_eq!(limiter.ask(&read("small", 2)).status(), 200);
    // The share of the quota still binds, and the silent connection is given up for a new one.
    assert_eq!(limiter.ask(&read("small", 2)).status(), 200);
    assert_eq!(limiter.ask(&read("small", 2)).status(), 429);
    connections.recv_timeout(HUNG).expect("a second connection");
}

#[test]
fn a_client_that_goes_away_is_told_to_the_module() {
    let (destination, release) = Destination::holding();
    let (mut limiter, _push) = limiter(vec![destination.entry("s-1", "Ready")]);
    let mut client = limiter.connect();
    client.write(&read("large", 1));
    destination.until_asked();
    drop(client);
    while !limiter.counters().contains(" abandoned=1 ") {}
    release.send(()).unwrap();
    while !limiter.counters().contains(" attempts_ok=1 ") {}
    assert!(limiter.counters().contains(" served=0 "));
}

#[test]
fn told_to_stop_it_answers_what_it_has_and_leaves() {
    let (destination, release) = Destination::holding();
    let (limiter, _push) = limiter(vec![destination.entry("s-1", "Ready")]);
    let (mut busy, mut idle) = (limiter.connect(), limiter.connect());
    assert_eq!(idle.ask("GET /ready HTTP/1.1\r\n\r\n").status(), 200);
    busy.write(&read("large", 1));
    destination.until_asked();
    limiter.signal("TERM");
    assert!(idle.answer().is_none(), "an idle downstream connection is closed");
    release.send(()).unwrap();
    let answer = busy.answer().expect("what was taken is answered");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    let (status, log) = limiter.end();
    assert!(status.success(), "{log}");
    assert!(log.contains("counters:") && log.contains(" served=1 "), "{log}");
}

/// Discovery and the counter move under a request, whether or not the environment named discovery at the
/// start; versions of the next discovery begin anew, and a drain told by the former one holds.
#[test]
fn a_reload_moves_the_list_and_the_counter_without_losing_a_request() {
    for from_environment in [false, true] {
        let (held, release) = Destination::holding();
        let (drained, next) = (Destination::answering("drained"), Destination::answering("next"));
        let (discovery_a, push_a) = discovery();
        let (discovery_b, push_b) = discovery();
        let ((counter_a, connected_a), (counter_b, connected_b)) = (counter(true), counter(true));
        let servers = vec![held.entry("s-1", "Ready"), drained.entry("s-2", "Terminating")];
        let mut settings = config(discovery_a, counter_a, servers);
        settings["known"]["version"] = json!(50);
        let mut limiter = Limiter::start_with(&settings, from_environment.then_some(discovery_a));
        connected_a.recv_timeout(HUNG).expect("the first counter is called");
        let mut client = limiter.connect();
        client.write(&read("large", 1));
        held.until_asked();

        assert!(limiter.reload("{").contains("refused"), "a faulty file changes nothing");
        assert!(connected_b.try_recv().is_err());
        settings["discovery"] = json!(discovery_b.to_string());
        settings["counter"] = json!(counter_b.to_string());
        let said = limiter.reload(&settings.to_string());
        assert!(said.contains(&discovery_b.to_string()), "{said}");
        connected_b.recv_timeout(HUNG).expect("the next counter is called");
        let servers =
            [held.entry("s-1", "Terminating"), drained.entry("s-2", "Ready"), next.entry("s-3", "Ready")];
        push_b.send(json!({"version": 3, "full": true, "servers": servers})).unwrap();
        while !limiter.counters().contains(" list_changes=1 ") {}
        for _ in 0..20 {
            assert_eq!(limiter.ask(&read("large", 1)).body, "next");
        }
        release.send(()).unwrap();
        assert_eq!(client.answer().expect("it was taken before the move").body, "a report");
        assert_eq!(drained.count(), 0);
        assert!(limiter.counters().contains(" reloads=1 reloads_refused=1 "));
        drop(push_a);
    }
}

#[test]
fn a_faulty_configuration_is_refused_by_its_key() {
    let nowhere = "127.0.0.1:1".parse().unwrap();
    let sound = self::config(nowhere, nowhere, vec![]);
    let with = |path: &str, value: Value| {
        let mut config = sound.clone();
        *config.pointer_mut(path).expect("the key is there") = value;
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
        (with("/counter", json!(null)), "counter"),
        (with("/known/servers", json!([{"id": "s-1"}])), "known.servers[0]"),
        ("{".to_string(), "configuration"),
    ] {
        let out = command(&config).output().expect("the program starts");
        let log = String::from_utf8_lossy(&out.stderr).to_string();
        assert!(!out.status.success() && log.contains(key), "{key}: {log}");
        assert!(!log.contains("panicked"), "{log}");
    }
    // The same is refused at a reload, and what ran goes on.
    let destination = Destination::answering("a report");
    let (discovery, _push) = discovery();
    let (counter, _) = counter(true);
    let running = self::config(discovery, counter, vec![destination.entry("s-1", "Ready")]);
    let mut limiter = Limiter::start(&running);
    let mut faulty = running.clone();
    faulty["settings"]["plans"][0]["rate"] = json!(-2);
    faulty["discovery"] = json!("127.0.0.1:1");
    let told = limiter.reload(&faulty.to_string());
    assert!(told.contains("refused") && told.contains("settings.plans[0].rate: -2, expected"), "{told}");
    assert_eq!(limiter.ask(&read("large", 1)).status(), 200);
    // A key that nobody knows does no harm.
    let mut unknown = running;
    unknown["settings"]["caps"]["moonPhase"] = json!({"full": true});
    let told = limiter.reload(&unknown.to_string());
    assert!(!told.contains("refused"), "{told}");
    let unset = command("{}").env_remove("LB_CONFIG").output().expect("the program starts");
    assert!(!unset.status.success() && String::from_utf8_lossy(&unset.stderr).contains("LB_CONFIG"));
}
