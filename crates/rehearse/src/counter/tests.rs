//! The counter reads the text protocol and answers calls in their order.

use super::*;

#[test]
fn only_calls_of_the_protocol_are_read() {
    assert_eq!(parse("add a -2.5 4000"), Some(("a".into(), -2.5, 4_000_000)));
    assert_eq!(parse("add a 1 90000").map(|c| c.2), Some(60_000_000));
    for odd in ["add a 1", "add a x 10", "sub a 1 10", "add a 1 0", "add a 1 10 more", "add a 1e10 10"] {
        assert_eq!(parse(odd), None, "{odd}");
    }
}

#[tokio::test]
async fn calls_written_one_behind_another_are_answered_in_their_order() {
    let text = include_str!("../../../../deploy/fleet-sample.hcl");
    let fleet = sedgestack_fleet::Fleet::parse("f", text).expect("the sample has no fault");
    let counter = start(&fleet.counter).await.expect("loopback has a port");
    let mut stream = TcpStream::connect(counter.address).await.expect("it accepts");
    stream.write_all(b"add a 2 4000\r\nadd a 1.5 4000\r\nping\r\nadd b\r\n").await.expect("it reads");
    let mut lines = BufReader::new(&mut stream).lines();
    for expected in ["ok 2", "ok 3.5", "pong", "error"] {
        assert_eq!(lines.next_line().await.expect("a line").as_deref(), Some(expected));
    }
    counter.resume_empty();
    stream.write_all(b"add a 1 4000\r\n").await.expect("it reads");
    let mut lines = BufReader::new(&mut stream).lines();
    assert_eq!(lines.next_line().await.expect("a line").as_deref(), Some("ok 1"));
}
