//! Tests of watches.

use super::*;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// Returns the next update of a watch; skips the response head, chunk sizes and heartbeats.
async fn next_update(lines: &mut tokio::io::Lines<BufReader<TcpStream>>) -> Value {
    loop {
        let line = lines.next_line().await.expect("the watch can be read").expect("the watch is open");
        if line.starts_with('{') {
            return serde_json::from_str(&line).expect("an update is JSON");
        }
    }
}

#[tokio::test]
async fn watch_sends_missed_and_new_changes() {
    let text = include_str!("../../../../deploy/fleet-sample.hcl");
    let mut fleet = Fleet::parse("f", text).expect("the sample fleet is valid");
    (fleet.discovery.removal_delay, fleet.discovery.addition_delay) = ((0, 0), (0, 0));
    let endpoints = vec![json!({"id": "w0", "state": "Ready"}), json!({"id": "w1", "state": "Ready"})];
    let discovery = Discovery::start(&fleet, 1, endpoints).await.expect("loopback has free ports");
    let watch = |index: u64| {
        let address = discovery.addresses[0];
        async move {
            let mut stream = TcpStream::connect(address).await.expect("the agent accepts connections");
            let head = format!("GET /v1/endpoints?stream=1&index={index} HTTP/1.1\r\nHost: a\r\n\r\n");
            stream.write_all(head.as_bytes()).await.expect("the agent reads the request");
            BufReader::new(stream).lines()
        }
    };
    let mut watch_from_start = watch(0).await;
    let list = next_update(&mut watch_from_start).await;
    assert_eq!((list["full"].as_bool(), list["servers"].as_array().map(Vec::len)), (Some(true), Some(2)));
    discovery.remove(1);
    let change = next_update(&mut watch_from_start).await;
    assert_eq!((&change["version"], &change["servers"][0]["state"]), (&json!(2), &json!("Gone")));
    discovery.add_back(1, 77);
    let change = next_update(&mut watch_from_start).await;
    assert_eq!(change["servers"][0], json!({"id": "w1", "state": "Ready", "started_ms": 77}));
    // A watch that starts after version 2 receives version 3.
    let mut watch_from_version_2 = watch(2).await;
    let change = next_update(&mut watch_from_version_2).await;
    assert_eq!((&change["version"], change["full"].as_bool()), (&json!(3), Some(false)));
}
