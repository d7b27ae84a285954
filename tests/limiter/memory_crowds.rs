//! Crowds of other kinds than in `memory`: heads of many short fields, alone and before a body, slow readers, and all of
//! them at once, also with half of the smallest memory limit. The process stays within its limit, what the allocator has
//! handed out stays within what the memory plan accounts for, and other clients are served.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::harness::*;

/// Time for which a crowd stays.
const CROWD_TIME: Duration = Duration::from_secs(3);
/// Time within which a sound small request is answered beside a crowd.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// The same with half of the smallest memory limit, where fewer connections are open at a time: the client's deadline.
const DEADLINE: Duration = Duration::from_secs(8);
/// Length of the answers to requests of the crowd.
const LONG_ANSWER: usize = 2_000_000;

/// What a client of a crowd sends before it stops.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    /// A head of 90 short fields and most of a short body.
    ShortFieldsAndBody,
    /// The same head and half of a long body.
    ShortFieldsAndLongBody,
    /// The same head, not ended.
    ShortFieldsUnended,
    /// A head of 90 fields of 40 bytes, and half of a body that is read whole.
    FieldsAndMiddleBody,
    /// A request whose long answer is not read.
    UnreadAnswer,
    /// Most of the largest body that is read whole.
    LargeBody,
}

const KINDS: [Kind; 6] = [
    Kind::ShortFieldsAndBody,
    Kind::ShortFieldsAndLongBody,
    Kind::ShortFieldsUnended,
    Kind::FieldsAndMiddleBody,
    Kind::UnreadAnswer,
    Kind::LargeBody,
];

impl Kind {
    fn request(self) -> Vec<u8> {
        let short_fields: String = (0..90).map(|n| format!("a{n}: b\r\n")).collect();
        let fields: String = (0..90).map(|n| format!("abcdefgh{n}: {}\r\n", "y".repeat(28))).collect();
        match self {
            Kind::ShortFieldsAndBody => post(&short_fields, 4_096, 4_000),
            Kind::ShortFieldsAndLongBody => post(&short_fields, 1_000_000, 500_000),
            Kind::ShortFieldsUnended => {
                let request = post(&short_fields, 4_096, 0);
                request[..request.len() - 2].to_vec()
            }
            Kind::FieldsAndMiddleBody => post(&fields, 60_000, 30_000),
            Kind::UnreadAnswer => post("", 0, 0),
            Kind::LargeBody => post("", 64 << 10, 65_000),
        }
    }
}

/// Returns a request of the class `once` with a body of `length` bytes, of which `sent` are there.
fn post(fields: &str, length: usize, sent: usize) -> Vec<u8> {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let id = NEXT.fetch_add(1, Relaxed);
    let head = format!(
        "POST /once/00000000b4d65521 HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: 7b1f03aa{id:08x}\r\n\
         X-Class: once\r\nX-Contract: large\r\nX-Deadline-Ms: 8000\r\nX-Metering: units=1,spread=1,first=0\r\n\
         Content-Length: {length}\r\n{fields}\r\n"
    );
    [head.as_bytes(), &vec![b'x'; sent]].concat()
}

/// Starts a limiter as [`configuration`] says.
fn start(memory_mb: u64) -> Limiter {
    let limiter = Limiter::start(&configuration(memory_mb));
    limiter.wait_until_ready();
    limiter
}

/// Returns the configuration of a limiter with 1,024 descriptors whose backend gives long answers.
fn configuration(memory_mb: u64) -> Value {
    let backend = Backend::start(|stream| {
        let body = vec![b'x'; LONG_ANSWER];
        let _ = write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {LONG_ANSWER}\r\n\r\n");
        let _ = stream.write_all(&body);
    });
    let (discovery, _push) = discovery();
    let (counter, _) = quota_counter(true);
    let mut config = config(discovery, counter, vec![backend.entry("s-1", "Ready")]);
    let mut once = config["settings"]["profiles"][0].clone();
    (once["name"], once["repeat"]) = (json!("once"), json!("unsafe"));
    config["settings"]["profiles"].as_array_mut().expect("a list").push(once);
    config["ops"] = json!("127.0.0.1:0");
    config["limits"] = json!({"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024});
    config["settings"]["plans"][1]["rate"] = json!(1e6);
    config["settings"]["plans"][1]["mostAtOnce"] = json!(1e6);
    config
}

/// Connects `count` clients, of which number N sends what `request(N)` returns.
fn connect(limiter: &Limiter, count: usize, request: impl Fn(usize) -> Vec<u8>) -> Vec<TcpStream> {
    let mut crowd = Vec::new();
    for n in 0..count {
        let mut stream = TcpStream::connect(limiter.address).expect("the kernel accepts");
        stream.set_nonblocking(true).expect("a socket");
        let _ = stream.write(&request(n));
        crowd.push(stream);
    }
    crowd
}

/// Asserts that what the allocator has handed out is within its limit, and returns it.
fn allocated_within_limit(limiter: &Limiter) -> u64 {
    let stats: Value = serde_json::from_str(&limiter.call_admin("GET", "stats").body).expect("JSON");
    let number = |name: &str| stats["memory"][name].as_u64().expect("a number");
    assert!(number("allocated") <= number("allocated_limit"), "{}", stats["memory"]);
    number("allocated")
}

/// Asserts that the process stays within `memory_mb` while the crowd is there, and answers another client.
fn assert_limit_kept(memory_mb: u64, clients: usize, request: impl Fn(usize) -> Vec<u8>, context: &str) {
    let answer_timeout = if memory_mb < 32 { DEADLINE } else { ANSWER_TIMEOUT };
    let mut limiter = start(memory_mb);
    let crowd = connect(&limiter, clients, request);
    let ends_at = Instant::now() + CROWD_TIME;
    while Instant::now() < ends_at {
        let started = Instant::now();
        assert_eq!(limiter.request("GET /nowhere HTTP/1.1\r\n\r\n").status(), 404, "{context}");
        assert!(started.elapsed() < answer_timeout, "{context}: answered after {:?}", started.elapsed());
        allocated_within_limit(&limiter);
        thread::sleep(Duration::from_millis(50));
    }
    let peak = limiter.proc_status("VmHWM");
    assert!(peak <= memory_mb << 10, "{context}: {peak} kB; {}", limiter.counters());
    drop(crowd);
}

fn assert_kinds_fit(memory_mb: u64, clients: usize, kinds: impl IntoIterator<Item = Kind>) {
    for kind in kinds {
        let context = format!("{clients} x {kind:?}, {memory_mb} MB");
        assert_limit_kept(memory_mb, clients, |_| kind.request(), &context);
    }
}

/// Guards against a process that is killed for memory by clients that send heads of very many short fields and stop.
#[test]
fn crowds_of_700_of_each_sending_kind_fit_the_smallest_memory_limit() {
    assert_kinds_fit(32, 700, KINDS.into_iter().filter(|kind| *kind != Kind::UnreadAnswer));
}

/// Guards against a process that is killed for memory by clients that don't read long answers, and against other clients
/// that are not accepted meanwhile.
#[test]
fn crowd_of_700_unread_answers_fits_the_smallest_memory_limit() {
    assert_kinds_fit(32, 700, [Kind::UnreadAnswer]);
}

/// Guards against a process that is killed for memory where half of the smallest limit is all that there is.
#[test]
fn crowds_of_700_of_each_kind_fit_half_of_the_smallest_memory_limit() {
    assert_kinds_fit(16, 700, KINDS);
}

/// Guards against a process that is killed for memory by slow clients of several kinds at once.
#[test]
fn mixed_crowd_of_940_fits_the_memory_limit() {
    for memory_mb in [16, 32] {
        let request = |n: usize| KINDS[n % KINDS.len()].request();
        assert_limit_kept(memory_mb, 940, request, &format!("940 mixed, {memory_mb} MB"));
    }
}

/// Guards against an answer after its client's time, where the body of a request waits until there is memory for it.
#[test]
fn wait_for_memory_counts_as_the_clients_time() {
    /// Half a second, the page's allowance for a late answer, and that for sockets.
    const LIMIT: Duration = Duration::from_millis(500 + 500 + 50);
    /// Number of long bodies under way, which is more than there is memory for.
    const SENDERS: usize = 16;
    let limiter = start(16);
    let crowd_is_here = AtomicBool::new(true);
    thread::scope(|scope| {
        for _ in 0..SENDERS {
            scope.spawn(|| send_steadily(&limiter, &crowd_is_here));
        }
        thread::sleep(Duration::from_millis(500));
        for _ in 0..3 {
            let request = String::from_utf8(post("", 60_000, 60_000)).expect("text");
            let mut client = limiter.connect();
            let started = Instant::now();
            client.write(&request.replace("X-Deadline-Ms: 8000", "X-Deadline-Ms: 500"));
            let answer = client.read_answer();
            assert!(started.elapsed() < LIMIT, "{answer:?} after {:?}", started.elapsed());
        }
        crowd_is_here.store(false, Relaxed);
    });
}

/// Sends a long body just fast enough not to be closed, while `is_needed`.
fn send_steadily(limiter: &Limiter, is_needed: &AtomicBool) {
    let mut stream = limiter.connect().into_stream();
    let mut sent = stream.write_all(&post("", 2_000_000, 70_000));
    while sent.is_ok() && is_needed.load(Relaxed) {
        thread::sleep(Duration::from_millis(50));
        sent = stream.write_all(&[b'x'; 4_000]);
    }
}

/// The start must say where fewer connections fit the memory limit than the descriptors allow.
#[test]
fn start_says_that_fewer_connections_fit_the_memory_limit() {
    let mut child = command(&configuration(16).to_string()).spawn().expect("the program starts");
    let log = BufReader::new(child.stderr.take().expect("piped"));
    let lines = log.lines().map_while(Result::ok);
    let until_listening: Vec<String> =
        lines.take_while(|line| !line.contains("front: listening on")).collect();
    child.kill().expect("the program runs");
    child.wait().expect("the program ends");
    let is_told = |line: &String| line.contains("memory: limits.memory_mb allows") && line.contains("738");
    assert!(until_listening.iter().any(is_told), "{until_listening:?}");
}

/// Guards against clients that read slowly, but do read, being cut off beside a crowd that reads nothing.
#[test]
fn slow_readers_beside_a_crowd_get_their_whole_answers() {
    /// Rate at which they read, in bytes per second: the whole answer takes 4 s.
    const RATE: usize = 500_000;
    const READERS: usize = 4;
    let limiter = start(32);
    let crowd_is_here = AtomicBool::new(true);
    thread::scope(|scope| {
        let readers: Vec<_> = (0..READERS).map(|_| scope.spawn(|| read_slowly(&limiter, RATE))).collect();
        scope.spawn(|| {
            while crowd_is_here.load(Relaxed) {
                let crowd = connect(&limiter, 300, |_| Kind::UnreadAnswer.request());
                thread::sleep(Duration::from_secs(1));
                drop(crowd);
            }
        });
        let read: Vec<usize> = readers.into_iter().map(|reader| reader.join().expect("a reader")).collect();
        crowd_is_here.store(false, Relaxed);
        assert_eq!(read, vec![LONG_ANSWER; READERS]);
    });
}

/// Reads an answer at `rate` bytes per second, and returns how many bytes of its body came.
fn read_slowly(limiter: &Limiter, rate: usize) -> usize {
    let mut stream = limiter.connect().into_stream();
    stream.write_all(&post("", 0, 0)).expect("the limiter reads");
    let started = Instant::now();
    let (mut bytes, mut buffer) = (Vec::new(), vec![0; 16 << 10]);
    while let Ok(count @ 1..) = stream.read(&mut buffer) {
        bytes.extend_from_slice(&buffer[..count]);
        let due = Duration::from_secs_f64(bytes.len() as f64 / rate as f64);
        thread::sleep(due.saturating_sub(started.elapsed()));
        let head_end = bytes.windows(4).position(|w| w == b"\r\n\r\n");
        if head_end.is_some_and(|end| bytes.len() >= end + 4 + LONG_ANSWER) {
            break;
        }
    }
    let head_end = bytes.windows(4).position(|w| w == b"\r\n\r\n").expect("a head");
    assert!(bytes.starts_with(b"HTTP/1.1 200"), "{}", String::from_utf8_lossy(&bytes[..head_end]));
    bytes.len() - head_end - 4
}

/// Guards against an upgrade whose two processes, which the platform counts as one, together pass the memory limit.
#[test]
fn both_processes_of_an_upgrade_fit_the_memory_limit_beside_a_crowd() {
    for kind in [Kind::ShortFieldsAndBody, Kind::LargeBody, Kind::UnreadAnswer] {
        let most = most_of_both_processes(kind);
        assert!(most <= 32 << 10, "{kind:?}: {most} kB of both processes");
    }
}

/// Starts a process beside one that has a crowd, sends it a crowd too, and stops the first one. Returns the largest size
/// of both together, in kB.
fn most_of_both_processes(kind: Kind) -> u64 {
    let (_port_holder, address) = reserve_shared_port();
    let mut config = configuration(32);
    config["listen"] = json!(address.to_string());
    let first = Limiter::start(&config);
    first.wait_until_ready();
    let mut crowd = connect(&first, 700, |_| kind.request());
    thread::sleep(Duration::from_millis(500));
    let second = Limiter::start(&config);
    crowd.extend(connect(&second, 700, |_| kind.request()));
    let started = Instant::now();
    let mut most = 0;
    while started.elapsed() < Duration::from_millis(1_000) {
        most = most.max(first.proc_status("VmRSS") + second.proc_status("VmRSS"));
        thread::sleep(Duration::from_millis(20));
    }
    first.signal("TERM");
    while started.elapsed() < Duration::from_millis(1_400) {
        most = most.max(first.proc_status("VmRSS") + second.proc_status("VmRSS"));
        thread::sleep(Duration::from_millis(20));
    }
    most
}
