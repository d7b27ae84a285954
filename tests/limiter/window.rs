//! The window in which a repeat is dropped, against a connection that comes up late.

use std::net::Shutdown;
use std::sync::mpsc::channel;
use std::sync::Mutex;
use std::time::Duration;

use serde_json::json;

use crate::harness::*;
use crate::script::FullBacklogListener;

/// The first attempt may have run; the second waits for its connection until the window is over.
#[test]
fn a_repeat_whose_connection_comes_up_after_the_window_is_not_sent() {
    const WINDOW: Duration = Duration::from_millis(700);
    let (asked, was_asked) = channel();
    let (asked, (break_off, breaks)) = (Mutex::new(asked), channel::<()>());
    let breaks = Mutex::new(breaks);
    let first = Destination::start(move |stream| {
        asked.lock().unwrap().send(()).unwrap();
        let _ = breaks.lock().unwrap().recv();
        let _ = stream.shutdown(Shutdown::Both);
    });
    let unopened = FullBacklogListener::listen();
    let late = entry(unopened.address, "s-2", "Ready", 0);
    let (discovery, push) = discovery();
    let (counter, _) = counter(true);
    let mut config = config(discovery, counter, vec![first.entry("s-1", "Ready")]);
    config["settings"]["caps"]["connectTimeoutMs"] = json!(7000.0);
    config["settings"]["profiles"][1]["windowMs"] = json!(WINDOW.as_millis() as f64);
    let mut limiter = Limiter::start(&config);
    let mut client = limiter.connect();
    client.write(&send("a thesis"));
    was_asked.recv_timeout(HUNG).unwrap();
    push.send(json!({"version": 2, "full": false, "servers": [late]})).unwrap();
    limiter.until(|count| count("list_changes") == 1);
    break_off.send(()).unwrap();
    limiter.until(|count| count("dials") == 2);
    std::thread::sleep(WINDOW);
    let late = Destination::on(unopened.open(), |stream| ok(stream, "a report"));
    assert_eq!(client.answer().expect("an answer").status(), 502, "it may have run, and is not sent again");
    while limiter.ask(&read("large", 1)).status() != 200 {}
    let seen: Vec<String> = late.seen().into_iter().map(|m| m.first).collect();
    assert_eq!(seen, ["GET /read/00000000b4d65521?part=1 HTTP/1.1"]);
}
