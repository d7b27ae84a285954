//! Limiters while discovery is unreachable, silent or back after losing its state.

use std::os::unix::process::CommandExt;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::harness::*;
use crate::script::FullBacklogListener;

/// Smallest number of file descriptors that the program works with. It is also set as the limit of the process.
const MIN_DESCRIPTORS: u64 = 96;

/// Starts a limiter with [`MIN_DESCRIPTORS`] file descriptors.
fn start_with_few_descriptors(config: &mut Value) -> Limiter {
    config["limits"]["sockets"] = json!(MIN_DESCRIPTORS);
    Limiter::start_customized(config, |command| {
        let limit = libc::rlimit { rlim_cur: MIN_DESCRIPTORS, rlim_max: MIN_DESCRIPTORS };
        // SAFETY: between fork and exec the closure only makes this system call, which takes no lock.
        unsafe {
            command.pre_exec(move || match libc::setrlimit(libc::RLIMIT_NOFILE, &limit) {
                0 => Ok(()),
                _ => Err(std::io::Error::last_os_error()),
            })
        };
    })
}

/// Idle clients use up all descriptors for clients while discovery and the quota counter are down. The limiter can
/// still connect to both once they are back, and to backends.
#[test]
fn idle_clients_leave_descriptors_for_discovery_quota_counter_and_backends() {
    let known = Backend::answering("a report");
    let (discovery, counter) = (FullBacklogListener::listen(), FullBacklogListener::listen());
    let mut config = config(discovery.address, counter.address, vec![known.entry("s-1", "Ready")]);
    let mut limiter = start_with_few_descriptors(&mut config);
    let mut idle = Vec::new();
    while limiter.counter("downstream_room_idle") < 20 {
        let mut client = limiter.connect();
        client.write(&get_request("large", 1));
        // Each client gets its answer before its idle connection may be closed to free a descriptor.
        assert_eq!(client.read_answer().expect("an answer").status(), 200);
        idle.push(client);
    }
    assert_eq!(limiter.counter("downstream_accept_failed"), 0);
    let next = Backend::answering("the next");
    let (_, push) = discovery_on(discovery.open(), std::string::ToString::to_string);
    let servers = [known.entry("s-1", "Gone"), next.entry("s-2", "Ready")];
    push.send(json!({"version": 2, "full": false, "servers": servers})).unwrap();
    let (_, _connected) = quota_counter_on(counter.open(), true);
    limiter.wait_for_counters(|count| count("list_changes") == 1);
    assert_eq!(limiter.request(&get_request("large", 1)).body, "the next");
    limiter.wait_for_counters(|count| count("counter_connects") > 0);
    assert!(limiter.open_descriptors() <= MIN_DESCRIPTORS as usize);
}

/// Many limiters start at once while discovery is silent and the quota counter is down. Each becomes ready with the
/// endpoint list in its configuration.
#[test]
fn limiters_that_start_together_become_ready_without_discovery() {
    let backend = Backend::answering("a report");
    let (discovery, counter) = (FullBacklogListener::listen(), FullBacklogListener::listen());
    let config = config(discovery.address, counter.address, vec![backend.entry("s-1", "Ready")]);
    let started = Instant::now();
    let limiters: Vec<Limiter> = std::thread::scope(|scope| {
        let starts: Vec<_> = (0..12).map(|_| scope.spawn(|| Limiter::start(&config))).collect();
        starts.into_iter().map(|start| start.join().expect("the limiter starts")).collect()
    });
    for limiter in &limiters {
        limiter.wait_until_ready();
        assert_eq!(limiter.request(&get_request("large", 1)).status(), 200);
    }
    assert!(started.elapsed() < Duration::from_secs(10), "{:?}", started.elapsed());
}

/// Discovery comes back after losing its version numbers. The limiter applies its complete list, although the version
/// is lower than before, and the changes that follow. A backend that was draining keeps draining until it restarts.
#[test]
fn complete_list_with_lower_version_is_applied() {
    let (old, draining, new) =
        (Backend::answering("old"), Backend::answering("draining"), Backend::answering("new"));
    let (mut limiter, push) = crate::start_limiter(vec![old.entry("s-1", "Ready")]);
    let servers = [old.entry("s-1", "Ready"), draining.entry("s-2", "Terminating")];
    push.send(json!({"version": 50, "full": true, "servers": servers})).unwrap();
    limiter.wait_for_counters(|count| count("list_changes") == 1);
    push.send(Value::Null).unwrap();
    let servers = [draining.entry("s-2", "Ready"), new.entry("s-3", "Ready")];
    push.send(json!({"version": 3, "full": true, "servers": servers})).unwrap();
    limiter.wait_for_counters(|count| count("list_changes") == 2);
    for _ in 0..10 {
        assert_eq!(limiter.request(&get_request("large", 1)).body, "new");
    }
    push.send(json!({"version": 4, "full": false, "servers": [new.entry("s-3", "Terminating")]})).unwrap();
    limiter.wait_for_counters(|count| count("list_changes") == 3);
    assert_ne!(
        limiter.request(&get_request("large", 1)).status(),
        200,
        "a request was served without a backend"
    );
}
