//! Bad bytes at the operators' address and on the peers' socket: they cost their own connection alone, nobody else's
//! answer, and no memory.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream, UdpSocket};
use std::time::Duration;

use serde_json::json;

use crate::harness::*;

/// What the platform allows a limiter, KB.
const MEMORY_LIMIT_KB: u64 = 32 << 10;
/// Bytes poured where something endless is sent.
const POURED_BYTES: usize = 8 << 20;

/// Calls that are no calls.
fn bad_calls() -> Vec<Vec<u8>> {
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
    let stream = TcpStream::connect(address).expect("it accepts");
    stream.set_read_timeout(Some(HUNG)).expect("a time-out is set");
    stream.set_write_timeout(Some(Duration::from_millis(200))).expect("a time-out is set");
    stream
}

/// The limiter still answers operators and clients, within its memory.
fn still_serves(limiter: &Limiter, what: &str) {
    assert_eq!(limiter.call("GET", "health").status(), 200, "{what}");
    assert_eq!(limiter.ask(&read("large", 1)).status(), 200, "{what}");
    let peak_kb = limiter.status("VmHWM");
    assert!(peak_kb < MEMORY_LIMIT_KB, "{what}: {peak_kb} KB");
}

#[test]
fn bad_bytes_at_the_operators_address_cost_their_own_connection_alone() {
    let backend = Destination::answering("a report");
    let (discovery, _push) = discovery();
    let (counter, _) = counter(true);
    let mut config = config(discovery, counter, vec![backend.entry("s-1", "Ready")]);
    config["ops"] = json!("127.0.0.1:0");
    let limiter = Limiter::start(&config);
    limiter.until_ready();
    let ops = limiter.ops.expect("it has the address");
    for call in bad_calls() {
        let what = String::from_utf8_lossy(&call[..call.len().min(60)]).into_owned();
        // Whole at once, then closed for writing; the limiter may close before it has read all.
        let mut stream = connect(ops);
        let _ = stream.write_all(&call);
        let _ = stream.shutdown(Shutdown::Write);
        still_serves(&limiter, &what);
        let _ = stream.read_to_end(&mut Vec::new());
        // Half of it, byte by byte, and never the rest.
        let mut held = connect(ops);
        for byte in call.iter().take(40) {
            let _ = held.write_all(&[*byte]);
        }
        still_serves(&limiter, &what);
    }
    let mut endless = connect(ops);
    let mut poured = 0;
    while poured < POURED_BYTES && endless.write_all(&[b'x'; 4096]).is_ok() {
        poured += 4096;
    }
    still_serves(&limiter, "a line without end");
}

/// A free address, which the limiter gets a moment later.
fn free_udp_address() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("loopback has a port");
    socket.local_addr().expect("it is bound")
}

#[test]
fn bad_datagrams_cost_nobody_an_answer() {
    let backend = Destination::answering("a report");
    let (discovery, _push) = discovery();
    let (counter, _) = counter(true);
    let listen = free_udp_address();
    let peer = UdpSocket::bind("127.0.0.1:0").expect("loopback has a port");
    let stranger = UdpSocket::bind("127.0.0.1:0").expect("loopback has a port");
    let mut config = config(discovery, counter, vec![backend.entry("s-1", "Ready")]);
    config["ops"] = json!("127.0.0.1:0");
    config["peer_listen"] = json!(listen.to_string());
    config["peers"] = json!([peer.local_addr().expect("it is bound").to_string()]);
    config["settings"]["caps"]["peerMessages"] = json!(true);
    let limiter = Limiter::start(&config);
    limiter.until_ready();
    let digits: Vec<u8> = (0..=255).collect();
    for length in [0, 1, 2, 3, 7, 64, 255, 256] {
        for socket in [&peer, &stranger] {
            for bytes in [&digits[..length], &vec![0xff; length], &vec![0; length]] {
                socket.send_to(bytes, listen).expect("loopback takes it");
            }
        }
    }
    // Longer than any that limiters send, and many of them.
    for _ in 0..2_000 {
        stranger.send_to(&[b'x'; 9_000], listen).expect("loopback takes it");
    }
    still_serves(&limiter, "datagrams");
}
