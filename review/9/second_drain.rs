//! Case 9: a drain leaves a client's connection open that came in an earlier drain.

#[path = "../rig.rs"]
mod rig;

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rig::{Behaviour, Case, Discovery, Server, Setup, Tier, BROKEN, CLASSES, HELD, PLANS};

/// Work of a request at the server.
const WORK: Duration = Duration::from_millis(1_200);
/// After a call for a drain no client's connection may be idle any more.
const EMPTY_AFTER: Duration = Duration::from_secs(4);

/// Whether the limiter has ended the connection.
fn is_ended(stream: &mut TcpStream) -> bool {
    stream.set_read_timeout(Some(Duration::from_millis(1))).unwrap();
    match stream.read(&mut [0u8; 64]) {
        Ok(0) => true,
        Ok(_) => false,
        Err(error) => !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
    }
}

fn main() {
    let case = Case::new(9);
    let behaviour: Behaviour = Arc::new(|heard, stream| {
        std::thread::sleep(WORK);
        let id = heard.header("x-request-id").unwrap_or("");
        stream
            .write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len()).as_bytes())
            .is_ok()
    });
    let server = Server::start("s-1", &case.record, Some(behaviour));
    let discovery = Discovery::start(vec![server.entry("Ready")]);
    let setup = Setup {
        count: 1,
        settings: String::new(),
        discovery: discovery.addr,
        known: vec![server.entry("Ready")],
        with_links: false,
        classes: CLASSES.into(),
        plans: PLANS.into(),
        more: String::new(),
    };
    let mut tier = Tier::prepare(&case, &setup);
    tier.start(0);
    case.need(tier.wait_until(10_000, |tier| tier.is_ready(0)), "the limiter is not ready");
    let yes =
        |tier: &Tier, call: &str| tier.ops(0, "PUT", call, "").is_some_and(|answer| answer.status == 200);

    // A drain, ended again after 0.6 s. A client connects 0.15 s after the call, while connections still come, and sends
    // a request. Its answer comes when the drain is over.
    if case.trouble {
        case.need(yes(&tier, "quiesce"), "the first drain is refused");
    }
    rig::sleep_ms(150);
    let mut client = TcpStream::connect(tier.limiters[0].listen).expect("the limiter takes the connection");
    let request = "GET /report-read/0000000000000007 HTTP/1.1\r\nHost: limiter\r\nX-Request-Id: d1\r\nX-Class: report-read\r\n\
                   X-Contract: faculdade\r\nX-Deadline-Ms: 3000\r\nX-Metering: units=1,spread=1,first=0\r\n\r\n";
    client.write_all(request.as_bytes()).unwrap();
    case.record.line("client: connected, sent d1");
    rig::sleep_ms(450);
    if case.trouble {
        case.need(yes(&tier, "resume"), "the end of the first drain is refused");
    }
    client.set_read_timeout(Some(Duration::from_secs(4))).unwrap();
    let answer = rig::read_answer(&mut client);
    case.record.say(format!(
        "client: d1 was answered {:?}",
        answer.as_ref().map(|answer| (answer.status, answer.header("connection").map(str::to_string)))
    ));
    case.need(answer.is_some_and(|answer| answer.status == 200), "the request is not served");

    // A second drain, some seconds later. The client rests on its connection until the limiter ends it.
    rig::sleep_ms(2_500);
    if is_ended(&mut client) {
        case.end(HELD, "the connection was ended before the second drain");
    }
    let called = Instant::now();
    case.need(yes(&tier, "quiesce"), "the second drain is refused");
    let mut open_for = None;
    while called.elapsed() < Duration::from_secs(14) {
        rig::sleep_ms(20);
        if is_ended(&mut client) {
            open_for = Some(called.elapsed());
            break;
        }
    }
    case.record.say(format!("after the second drain was called, the client's connection was held idle for {open_for:?} (None: over 14 s)"));
    case.record.say(format!("ready: {}", tier.is_ready(0)));
    if open_for.is_none_or(|open_for| open_for > EMPTY_AFTER + Duration::from_millis(50)) {
        case.end(BROKEN, "a client's connection is held idle 4 s after the call");
    }
    case.end(HELD, "the connection was ended in time");
}
