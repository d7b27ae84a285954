//! A limiter with 1,100 peers and 1,100 backends, within the smallest resource limits of the platform.

use std::sync::Arc;
use std::thread;

use serde_json::{json, Value};

use crate::harness::*;

/// Number of limiters and of backends.
const FLEET_SIZE: usize = 1_100;
/// Smallest memory limit of a limiter, in kB.
const MEMORY_LIMIT_KB: u64 = 32 << 10;
/// Smallest limit of file descriptors.
const DESCRIPTOR_LIMIT: usize = 256;
/// Number of concurrent clients.
const CLIENTS: usize = 48;
/// Number of requests of each client.
const REQUESTS_PER_CLIENT: usize = 25;

/// Sends requests from many clients at once, and returns how many were served.
fn served_count(limiter: &Arc<Limiter>) -> usize {
    let clients = (0..CLIENTS).map(|_| {
        let limiter = limiter.clone();
        thread::spawn(move || {
            let mut client = limiter.connect();
            (0..REQUESTS_PER_CLIENT)
                .filter(|_| client.request(&get_request("large", 1)).status() == 200)
                .count()
        })
    });
    let clients: Vec<_> = clients.collect();
    clients.into_iter().map(|c| c.join().expect("a client")).sum()
}

/// Endpoint lists of this length, also with indentation, are applied completely. The limiter opens no descriptor,
/// starts no thread and keeps little memory for each entry. All 1,100 backends are one listener.
#[test]
fn lists_of_1100_limiters_and_backends_fit_the_smallest_limits() {
    let backend = Backend::answering("a report");
    let (discovery, push) = discovery_with_format(|list| format!("{list:#}"));
    let (counter, _) = quota_counter(true);
    let servers = |from: usize| -> Vec<Value> {
        (from..from + FLEET_SIZE).map(|n| backend.entry(&format!("s-{n}"), "Ready")).collect()
    };
    let mut config = config(discovery, counter, servers(0));
    let peers: Vec<String> =
        (0..FLEET_SIZE).map(|n| format!("127.0.{}.{}:7946", n / 250 + 1, n % 250 + 1)).collect();
    config["ops"] = json!("127.0.0.1:0");
    config["limits"]["sockets"] = json!(DESCRIPTOR_LIMIT);
    config["peer_listen"] = json!("127.0.0.1:0");
    config["peers"] = json!(peers);
    config["settings"]["caps"]["peerMessages"] = json!(true);
    config["settings"]["nInstances"] = json!(FLEET_SIZE);
    // This limiter alone gets the load that is meant for all limiters together.
    config["settings"]["plans"][1]["rate"] = json!(1e7);
    config["settings"]["plans"][1]["mostAtOnce"] = json!(1e7);
    let limiter = Arc::new(Limiter::start(&config));
    limiter.wait_until_ready();
    assert_eq!(limiter.admin_stat("members"), FLEET_SIZE as u64);
    let before = served_count(&limiter);
    // One list replaces all backends, and then one of its entries changes.
    push.send(json!({"version": 2, "full": true, "servers": servers(FLEET_SIZE)}))
        .expect("the watch is open");
    let gone = |n: usize| json!({"version": 3, "full": false, "servers": [backend.entry(&format!("s-{n}"), "Gone")]});
    push.send(gone(FLEET_SIZE)).expect("the watch is open");
    while limiter.admin_stat("members") != FLEET_SIZE as u64 - 1 {
        thread::yield_now();
    }
    let after = served_count(&limiter);
    assert!(before > 0 && after > 0, "served {before} before and {after} after the list was replaced");
    assert!(limiter.proc_status("VmHWM") <= MEMORY_LIMIT_KB, "{} kB", limiter.proc_status("VmHWM"));
    assert!(limiter.open_descriptors() <= DESCRIPTOR_LIMIT, "{} descriptors", limiter.open_descriptors());
    assert_eq!(
        limiter.proc_status("Threads"),
        1,
        "the number of threads must not depend on the number of backends"
    );
}
