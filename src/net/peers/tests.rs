//! Tests of the datagrams between limiters.

use super::*;

/// Datagrams from unknown senders are dropped, and so are those that are too long in either direction. Datagrams of
/// consensus and canary analysis go to the consensus actor.
#[tokio::test]
async fn passes_only_datagrams_of_known_peers_up_to_256_bytes() {
    let local = || async { UdpSocket::bind("127.0.0.1:0").await.expect("loopback has a port") };
    let (peer, stranger) = (local().await, local().await);
    let own: SocketAddr = "127.0.0.1:1".parse().expect("an address");
    let addresses = vec![own, peer.local_addr().expect("it is bound")];
    let listen = "127.0.0.1:0".parse().expect("an address");
    let peers = Peers::bind(listen, addresses, None, 0, true).await.expect("loopback has a port");
    let address = peers.socket.local_addr().expect("it is bound");
    let (messages, mailbox) = mpsc::channel(4);
    let (control, mut control_mailbox) = mpsc::channel(4);
    let (consensus, mut consensus_datagrams) = mpsc::channel(4);
    tokio::spawn(peers.run(mailbox, control, Some(consensus)));

    stranger.send_to(b"who", address).await.expect("sent");
    peer.send_to(&[1; MAX_DATAGRAM_BYTES + 1], address).await.expect("sent");
    peer.send_to(&[2; MAX_DATAGRAM_BYTES], address).await.expect("sent");
    match control_mailbox.recv().await {
        Some(Message::PeerDatagram { from: 1, bytes }) => assert_eq!(bytes, [2; MAX_DATAGRAM_BYTES]),
        _ => panic!("the datagram of 256 bytes comes first"),
    }
    for magic in [CONSENSUS_MAGIC, OUTCOME_SUMS_MAGIC] {
        peer.send_to(&[magic, 9], address).await.expect("sent");
        assert_eq!(consensus_datagrams.recv().await, Some(vec![magic, 9]), "it goes to the consensus actor");
    }
    messages
        .send(OutgoingDatagram::Broadcast(vec![3; MAX_DATAGRAM_BYTES + 1]))
        .await
        .expect("the actor runs");
    messages.send(OutgoingDatagram::To(1, vec![4; 2])).await.expect("the actor runs");
    let mut buffer = [0; 2 * MAX_DATAGRAM_BYTES];
    assert_eq!(peer.recv(&mut buffer).await.expect("received"), 2);
}
