//! Thousands of servers: lists that arrive slowly, bursts of changes on a fraction of a core, and lists from discovery
//! services that lag behind.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::mpsc::{channel, Sender};
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::harness::*;
use crate::throttle::TenthOfACore;

/// Largest number of servers in a deployment.
const MAX_SERVERS: usize = 3_200;
/// Largest number of limiters in a deployment.
const MAX_LIMITERS: usize = 900;
/// Time after a drain was written to a limiter in which an attempt may still begin at the draining server.
const DRAIN_GRACE: Duration = Duration::from_secs(1);
/// Number of pieces in which a slow list is written.
const LIST_PIECES: usize = 50;
/// Number of clients that send requests without a pause.
const CLIENTS: usize = 24;
/// Time that a backend takes for a request, so that requests of several clients are spread over the backends.
const WORK: Duration = Duration::from_millis(20);

/// Starts discovery. `script` answers each call, and gets the number of earlier calls and the connection, on which the
/// request was read and the response head was written.
fn scripted_discovery(script: impl Fn(usize, &mut TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let calls = std::sync::atomic::AtomicUsize::new(0);
    listen(move |mut stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
        if read_message(&mut reader).is_none() {
            return;
        }
        if stream.write_all(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n").is_ok() {
            script(calls.fetch_add(1, Relaxed), &mut stream);
        }
    })
}

/// Starts a backend that takes [`WORK`] for a request.
fn working_backend() -> Backend {
    Backend::start(|stream| {
        sleep(WORK);
        respond_ok(stream, "a report");
    })
}

/// Writes heartbeats until the limiter closes the connection.
fn write_heartbeats(stream: &mut TcpStream) {
    while stream.write_all(b"\n").is_ok() {
        sleep(Duration::from_millis(500));
    }
}

/// Clients that send requests until they are dropped.
struct Load {
    stopped: Arc<AtomicBool>,
    clients: Vec<thread::JoinHandle<()>>,
}

impl Load {
    fn start(limiter: SocketAddr) -> Load {
        let stopped = Arc::new(AtomicBool::new(false));
        let client = |_| {
            let stopped = stopped.clone();
            thread::spawn(move || {
                while !stopped.load(Relaxed) {
                    let Ok(stream) = TcpStream::connect(limiter) else { return };
                    stream.set_read_timeout(Some(HANG_TIMEOUT)).expect("the timeout can be set");
                    let mut reader = BufReader::new(stream);
                    while !stopped.load(Relaxed) {
                        let sent = reader.get_mut().write_all(get_request("large", 1).as_bytes());
                        if sent.is_err() || read_message(&mut reader).is_none() {
                            break;
                        }
                        sleep(Duration::from_millis(2));
                    }
                }
            })
        };
        let clients = (0..CLIENTS).map(client).collect();
        Load { stopped, clients }
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.stopped.store(true, Relaxed);
        for client in self.clients.drain(..) {
            let _ = client.join();
        }
    }
}

/// A configuration whose quotas and latency objectives do not limit the load of a test.
fn unlimited_config(discovery: SocketAddr, limiters: usize, servers: Vec<Value>) -> Value {
    let (counter, _) = quota_counter(true);
    let mut config = config(discovery, counter, servers);
    config["settings"]["nInstances"] = json!(limiters);
    config["settings"]["plans"][1]["rate"] = json!(1e7);
    config["settings"]["plans"][1]["mostAtOnce"] = json!(1e7);
    config
}

/// Writes `list` in pieces over `duration`. Sends the index of each of `marks` (byte offsets, ascending) to `written` as
/// soon as the byte at that offset is written.
fn write_slowly(
    stream: &mut TcpStream,
    list: &str,
    duration: Duration,
    marks: &[usize],
    written: &Sender<usize>,
) {
    let bytes = list.as_bytes();
    let mut sent = 0;
    let mut next_mark = 0;
    for piece in bytes.chunks(bytes.len().div_ceil(LIST_PIECES)) {
        if stream.write_all(piece).is_err() {
            return;
        }
        sent += piece.len();
        while next_mark < marks.len() && marks[next_mark] < sent {
            let _ = written.send(next_mark);
            next_mark += 1;
        }
        sleep(duration / LIST_PIECES as u32);
    }
}

/// Returns the byte offset behind the entry of the server `id` in `list`.
fn end_of_entry(list: &str, id: &str) -> usize {
    let start = list.find(&format!("\"{id}\"")).expect("the list names the server");
    start + list[start..].find('}').expect("the entry ends")
}

/// A list of the largest fleet arrives over `duration`. The servers of its first, middle and last entry drain. Returns
/// once the list is written completely and the limiter has had time to apply it.
fn check_drains_in_slow_list(duration: Duration, indented: bool) {
    let draining: Vec<Backend> = (0..3).map(|_| working_backend()).collect();
    let ready = working_backend();
    let ids = ["first", "middle", "last"];
    let known: Vec<Value> =
        ids.iter().zip(&draining).map(|(id, backend)| backend.entry(id, "Ready")).collect();
    let mut servers: Vec<Value> =
        (0..MAX_SERVERS).map(|n| ready.entry(&format!("s-{n}"), "Terminating")).collect();
    servers[0] = draining[0].entry("first", "Terminating");
    servers[1] = ready.entry("ready", "Ready");
    servers[MAX_SERVERS / 2] = draining[1].entry("middle", "Terminating");
    servers[MAX_SERVERS - 1] = draining[2].entry("last", "Terminating");
    let list = json!({"version": 2, "full": true, "servers": servers});
    let list = if indented { format!("{list:#}\n") } else { format!("{list}\n") };
    let marks: Vec<usize> = ids.iter().map(|id| end_of_entry(&list, id)).collect();
    let (written, entries_written) = channel();
    let discovery = scripted_discovery(move |_, stream| {
        write_slowly(stream, &list, duration, &marks, &written);
        write_heartbeats(stream);
    });
    let known = known.into_iter().chain([ready.entry("ready", "Ready")]).collect();
    let mut limiter = Limiter::start(&unlimited_config(discovery, 1, known));
    let load = Load::start(limiter.address);
    let list_deadline = Instant::now() + duration + Duration::from_secs(10);
    let mut count_at_grace = Vec::new();
    for (entry, backend) in draining.iter().enumerate() {
        while entries_written.recv_timeout(HANG_TIMEOUT) != Ok(entry) {
            assert!(Instant::now() < list_deadline, "the watch ended before the entry '{}'", ids[entry]);
        }
        sleep(DRAIN_GRACE);
        count_at_grace.push(backend.request_count());
    }
    sleep(DRAIN_GRACE);
    drop(load);
    for (backend, (id, count)) in draining.iter().zip(ids.iter().zip(count_at_grace)) {
        let late = backend.request_count() - count;
        assert_eq!(late, 0, "requests to '{id}' after its drain was written {DRAIN_GRACE:?} before");
    }
    assert_eq!(limiter.counter("list_watches"), 1, "the watch that makes progress is kept");
    assert_eq!(limiter.counter("list_changes"), 1);
    assert!(limiter.counter("list_early_drains") > 0);
    assert_eq!(limiter.counter("drain_violations"), 0);
}

#[test]
fn requests_reach_draining_servers_while_a_long_list_arrives_over_four_seconds() {
    check_drains_in_slow_list(Duration::from_secs(4), true);
}

#[test]
fn requests_reach_draining_servers_as_a_long_list_over_eight_seconds_is_never_applied() {
    check_drains_in_slow_list(Duration::from_secs(8), false);
}

#[test]
fn requests_reach_draining_servers_as_a_long_list_over_twenty_seconds_is_never_applied() {
    check_drains_in_slow_list(Duration::from_secs(20), false);
}

/// Each watch is reset after half of the list, so that no list is ever complete.
#[test]
fn drains_are_missed_if_each_watch_is_reset_within_its_list() {
    let (draining, ready) = (working_backend(), working_backend());
    let mut servers: Vec<Value> =
        (0..MAX_SERVERS).map(|n| ready.entry(&format!("s-{n}"), "Terminating")).collect();
    servers[0] = draining.entry("s-draining", "Terminating");
    let list = json!({"version": 2, "full": true, "servers": servers}).to_string();
    let (written, half_written) = channel();
    let discovery = scripted_discovery(move |_, stream| {
        let _ = stream.write_all(&list.as_bytes()[..list.len() / 2]);
        sleep(Duration::from_millis(100));
        let _ = written.send(());
    });
    let known = vec![draining.entry("s-draining", "Ready"), ready.entry("s-ready", "Ready")];
    let limiter = Limiter::start(&unlimited_config(discovery, 1, known));
    let load = Load::start(limiter.address);
    half_written.recv_timeout(HANG_TIMEOUT).expect("the limiter opens a watch");
    sleep(DRAIN_GRACE);
    let count = draining.request_count();
    for _ in 0..3 {
        half_written.recv_timeout(HANG_TIMEOUT).expect("the limiter opens further watches");
    }
    sleep(DRAIN_GRACE);
    drop(load);
    assert_eq!(draining.request_count(), count, "requests to the draining server");
}

/// Half of the servers of the largest fleet begin to drain in a burst of single changes, while requests arrive at a
/// limiter that has a tenth of a core.
#[test]
fn requests_reach_draining_servers_after_a_burst_of_single_changes_on_a_tenth_of_a_core() {
    let (draining, ready) = (working_backend(), working_backend());
    let entry = |n: usize, state: &str| {
        let backend = if n.is_multiple_of(2) { &draining } else { &ready };
        backend.entry(&format!("s-{n}"), state)
    };
    let known: Vec<Value> = (0..MAX_SERVERS).map(|n| entry(n, "Ready")).collect();
    let changes = (0..MAX_SERVERS).step_by(2).enumerate().map(|(n, server)| {
        json!({"version": n + 2, "full": false, "servers": [entry(server, "Terminating")]}).to_string() + "\n"
    });
    let changes: String = changes.collect();
    let (start_burst, burst) = channel::<()>();
    let burst = std::sync::Mutex::new(burst);
    let (written, burst_written) = channel();
    let discovery = scripted_discovery(move |_, stream| {
        let _ = burst.lock().expect("no script panics").recv();
        stream.write_all(changes.as_bytes()).expect("the limiter reads");
        let _ = written.send(Instant::now());
        write_heartbeats(stream);
    });
    let limiter = Limiter::start(&unlimited_config(discovery, MAX_LIMITERS, known));
    limiter.wait_until_ready();
    let throttle = TenthOfACore::start(limiter.process_id());
    let load = Load::start(limiter.address);
    sleep(Duration::from_secs(1));
    start_burst.send(()).expect("the watch is open");
    let written_at: Instant = burst_written.recv_timeout(HANG_TIMEOUT).expect("the limiter reads the burst");
    sleep(DRAIN_GRACE.saturating_sub(written_at.elapsed()));
    let (count, ready_count) = (draining.request_count(), ready.request_count());
    sleep(Duration::from_secs(4));
    let late = draining.request_count() - count;
    drop(load);
    drop(throttle);
    assert!(ready.request_count() > ready_count, "the other servers get requests");
    assert_eq!(late, 0, "requests to draining servers later than {DRAIN_GRACE:?} after the burst");
}

/// The configuration file names a server that was removed before the process started. Discovery says so 0.3 s after it
/// was called.
#[test]
fn new_process_is_ready_and_sends_to_a_removed_server_before_it_has_heard_from_discovery() {
    let (removed, current) = (working_backend(), working_backend());
    let list = json!({"version": 2, "full": true, "servers": [current.entry("s-current", "Ready")]});
    let discovery = scripted_discovery(move |_, stream| {
        sleep(Duration::from_millis(300));
        let _ = stream.write_all(format!("{list}\n").as_bytes());
        write_heartbeats(stream);
    });
    let known = vec![removed.entry("s-removed", "Ready"), current.entry("s-current", "Ready")];
    let limiter = Limiter::start(&unlimited_config(discovery, 1, known));
    limiter.wait_until_ready();
    let load = Load::start(limiter.address);
    sleep(Duration::from_millis(200));
    drop(load);
    assert_eq!(removed.request_count(), 0, "requests to the removed server");
}

/// Discovery moves to a service that lags behind: its whole list still names two servers as ready, of which the
/// previous service has removed one and drained the other. The list is then repeated on a further watch.
#[test]
fn server_that_was_removed_or_drained_is_used_again_after_a_move_to_a_lagging_discovery() {
    let (removed, drained, ready) = (working_backend(), working_backend(), working_backend());
    let known =
        vec![removed.entry("s-1", "Ready"), drained.entry("s-2", "Ready"), ready.entry("s-3", "Ready")];
    let current = [drained.entry("s-2", "Terminating"), ready.entry("s-3", "Ready")];
    let current = json!({"version": 50, "full": true, "servers": current});
    let lagging = json!({"version": 7, "full": true, "servers": known.clone()});
    let (first, push) = discovery();
    let second = scripted_discovery(move |call, stream| {
        let _ = stream.write_all(format!("{lagging}\n").as_bytes());
        if call > 0 {
            write_heartbeats(stream);
        }
    });
    let (counter, _) = quota_counter(true);
    let mut config = config(first, counter, known);
    let mut limiter = Limiter::start(&config);
    push.send(current).expect("the watch is open");
    limiter.wait_for_counters(|count| count("list_changes") == 1);
    config["discovery"] = json!(second.to_string());
    limiter.reload(&config.to_string());
    limiter.wait_for_counters(|count| count("list_changes") >= 3);
    let load = Load::start(limiter.address);
    sleep(Duration::from_secs(1));
    drop(load);
    assert!(ready.request_count() > 0);
    let counts = (removed.request_count(), drained.request_count());
    assert_eq!(counts, (0, 0), "requests to the removed and to the drained server");
}
