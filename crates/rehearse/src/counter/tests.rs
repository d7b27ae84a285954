//! Tests of the quota counter's text protocol.

use super::*;

#[test]
fn parse_add_rejects_malformed_calls() {
    assert_eq!(parse_add("add a -2.5 4000"), Some(("a".into(), -2.5, 4_000_000)));
    assert_eq!(parse_add("add a 1 90000").map(|c| c.2), Some(60_000_000));
    for call in ["add a 1", "add a x 10", "sub a 1 10", "add a 1 0", "add a 1 10 more", "add a 1e10 10"] {
        assert_eq!(parse_add(call), None, "{call}");
    }
}

#[tokio::test]
async fn pipelined_calls_are_answered_in_order() {
    let text = include_str!("../../../../deploy/fleet-sample.hcl");
    let fleet = sedgestack_fleet::Fleet::parse("f", text).expect("the sample fleet is valid");
    let counter = start(&fleet.counter).await.expect("loopback has a free port");
    let mut stream = TcpStream::connect(counter.address).await.expect("the counter accepts connections");
    stream
        .write_all(b"add a 2 4000\r\nadd a 1.5 4000\r\nping\r\nadd b\r\n")
        .await
        .expect("the counter reads calls");
    let mut lines = BufReader::new(&mut stream).lines();
    for expected in ["ok 2", "ok 3.5", "pong", "error"] {
        assert_eq!(lines.next_line().await.expect("the counter answers").as_deref(), Some(expected));
    }
    counter.resume_empty();
    stream.write_all(b"add a 1 4000\r\n").await.expect("the counter reads calls");
    let mut lines = BufReader::new(&mut stream).lines();
    assert_eq!(lines.next_line().await.expect("the counter answers").as_deref(), Some("ok 1"));
}
