//! Invalid bytes at the address for admin calls and on the socket for peer messages. They may only close their own
//! connection: other calls and requests are still answered, and memory stays within its limit.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream, UdpSocket};
use std::time::Duration;

use serde_json::json;

use crate::harness::*;

/// Memory limit of a limiter, in KB.
const MEMORY_LIMIT_KB: u64 = 32 << 10;
/// Number of bytes sent as an endless line.
const ENDLESS_LINE_BYTES: usize = 8 << 20;

/// Returns invalid admin calls.
fn invalid_calls() -> Vec<Vec<u8>> {
    let long_path = format!("GET /admin/{} HTTP/1.1\r\n\r\n", "x".repeat(200_000));
    let long_name = format!("PUT /admin/cordon?name={} HTTP/1.1\r\n\r\n", "s".repeat(60_000));
    let many_headers = format!("GET /admin/health HTTP/1.1\r\n{}\r\n", "X-A: b\r\n".repeat(5_000));
    vec![
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03".to_vec(),
        b"\r\n\r\n\r\n".to_vec(),
        b"GET /admin/health".to_vec(),
        b"GET /admin/health HTTP/1.1\r\nContent-Length: -1\r\n\r\n".to_vec(),
        b"PUT /admin/rules/stage HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n{".to_vec(),
        b"PUT /admin/cordon?name=%ff%00 HTTP/1.1\r\n\r\n".to_vec(),
        b"PUT /admin/cordon HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n".to_vec(),
        b"DELETE /admin/health HTTP/9.9\r\n\r\n".to_vec(),
        long_path.into_bytes(),
        long_name.into_bytes(),
        many_headers.into_bytes(),
        vec![0; 100_000],
    ]
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the limiter accepts");
    stream.set_read_timeout(Some(HANG_TIMEOUT)).expect("the timeout can be set");
    stream.set_write_timeout(Some(Duration::from_millis(200))).expect("the timeout can be set");
    stream
}

/// Asserts that the limiter still answers operators and clients, and stays within its memory limit.
fn expect_still_serving(limiter: &Limiter, case: &str) {
    assert_eq!(limiter.call_admin("GET", "health").status(), 200, "{case}");
    assert_eq!(limiter.request(&get_request("large", 1)).status(), 200, "{case}");
    let peak_kb = limiter.proc_status("VmHWM");
    assert!(peak_kb < MEMORY_LIMIT_KB, "{case}: {peak_kb} KB");
}

#[test]
fn invalid_admin_calls_do_not_affect_other_connections() {
    let backend = Backend::answering("a report");
    let (discovery, _push) = discovery();
    let (counter, _) = quota_counter(true);
    let mut config = config(discovery, counter, vec![backend.entry("s-1", "Ready")]);
    config["ops"] = json!("127.0.0.1:0");
    let limiter = Limiter::start(&config);
    limiter.wait_until_ready();
    let ops = limiter.ops.expect("the limiter has an address for admin calls");
    for call in invalid_calls() {
        let case = String::from_utf8_lossy(&call[..call.len().min(60)]).into_owned();
        // The whole call in one write, followed by the end of the stream. The limiter may close before it has read all.
        let mut stream = connect(ops);
        let _ = stream.write_all(&call);
        let _ = stream.shutdown(Shutdown::Write);
        expect_still_serving(&limiter, &case);
        let _ = stream.read_to_end(&mut Vec::new());
        // The first bytes one by one, and never the rest.
        let mut incomplete = connect(ops);
        for byte in call.iter().take(40) {
            let _ = incomplete.write_all(&[*byte]);
        }
        expect_still_serving(&limiter, &case);
    }
    let mut endless = connect(ops);
    let mut sent = 0;
    while sent < ENDLESS_LINE_BYTES && endless.write_all(&[b'x'; 4096]).is_ok() {
        sent += 4096;
    }
    expect_still_serving(&limiter, "an endless line");
}

/// Returns a free address, for the limiter to bind a moment later.
fn free_udp_address() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("loopback has a port");
    socket.local_addr().expect("the socket is bound")
}

#[test]
fn invalid_datagrams_do_not_affect_requests() {
    let backend = Backend::answering("a report");
    let (discovery, _push) = discovery();
    let (counter, _) = quota_counter(true);
    let listen = free_udp_address();
    let peer = UdpSocket::bind("127.0.0.1:0").expect("loopback has a port");
    let stranger = UdpSocket::bind("127.0.0.1:0").expect("loopback has a port");
    let mut config = config(discovery, counter, vec![backend.entry("s-1", "Ready")]);
    config["ops"] = json!("127.0.0.1:0");
    config["peer_listen"] = json!(listen.to_string());
    config["peers"] = json!([peer.local_addr().expect("the socket is bound").to_string()]);
    config["settings"]["caps"]["peerMessages"] = json!(true);
    let limiter = Limiter::start(&config);
    limiter.wait_until_ready();
    let all_bytes: Vec<u8> = (0..=255).collect();
    for length in [0, 1, 2, 3, 7, 64, 255, 256] {
        for socket in [&peer, &stranger] {
            for bytes in [&all_bytes[..length], &vec![0xff; length], &vec![0; length]] {
                socket.send_to(bytes, listen).expect("loopback accepts the datagram");
            }
        }
    }
    // Many datagrams longer than any that limiters send.
    for _ in 0..2_000 {
        stranger.send_to(&[b'x'; 9_000], listen).expect("loopback accepts the datagram");
    }
    expect_still_serving(&limiter, "datagrams");
}
