//! Tests of the wait for the previous process.

use super::*;

#[tokio::test]
async fn waits_for_both_addresses_up_to_deadline() {
    let ops = TcpListener::bind("127.0.0.1:0").expect("loopback has a port");
    let peers = UdpSocket::bind("127.0.0.1:0").expect("loopback has a port");
    let (at_ops, at_peers) = (ops.local_addr().ok(), peers.local_addr().ok());
    let deadline = Instant::now() + Duration::from_secs(60);
    let waiting = tokio::spawn(wait_for_predecessor(at_ops, at_peers, deadline));
    drop(ops);
    tokio::task::yield_now().await;
    assert!(!waiting.is_finished(), "the peers' address is still bound");
    drop(peers);
    waiting.await.expect("the wait ends once both addresses are free");
    let held = UdpSocket::bind("127.0.0.1:0").expect("loopback has a port");
    wait_for_predecessor(None, held.local_addr().ok(), Instant::now()).await;
}
