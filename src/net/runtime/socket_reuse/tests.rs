//! Tests of sockets that share an address.

use super::*;

/// During an upgrade, both processes bind the same addresses.
#[tokio::test]
async fn address_can_be_bound_twice() {
    let first = bind_listener("127.0.0.1:0".parse().expect("an address")).expect("bound");
    let address = first.local_addr().expect("bound");
    let second = bind_listener(address).expect("bound beside the first");
    assert_eq!(second.local_addr().expect("bound"), address);
    let first = bind_datagram_socket("127.0.0.1:0".parse().expect("an address")).expect("bound");
    let address = first.local_addr().expect("bound");
    assert_eq!(
        bind_datagram_socket(address).expect("bound beside the first").local_addr().expect("bound"),
        address
    );
}
