//! Clocks that fire while a backend is still writing its answer: none of them may throw away an answer that makes
//! progress, whatever its framing.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::harness::*;
use crate::paced_answers::*;

/// Length of an answer that is longer than the limiter holds whole.
const LONG: usize = 136_000;
/// Pause between two parts of an answer: all of [`LONG`] then comes at about 80 kB a second.
const PAUSE: Duration = Duration::from_millis(105);
/// Number of backends, so that an attempt may have a timeout: there is another one to go to.
const BACKENDS: usize = 4;
/// Latency objective of the requests. After [`QUICK_ANSWERS`], an attempt times out after about 0.2 s.
const LATENCY_OBJECTIVE_MS: f64 = 600.0;
/// Number of quick answers from which the limiter learns the usual latency.
const QUICK_ANSWERS: usize = 40;

/// Backends that answer as `answer` does, and at once while `is_slow` is not set.
struct SwitchedBackends {
    backends: Vec<Backend>,
    is_slow: Arc<AtomicBool>,
}

impl SwitchedBackends {
    fn start(answer: impl Fn(&mut TcpStream) + Clone + Send + Sync + 'static) -> SwitchedBackends {
        let is_slow = Arc::new(AtomicBool::new(true));
        let backend = |_| {
            let (answer, is_slow) = (answer.clone(), is_slow.clone());
            Backend::start(move |stream| {
                if is_slow.load(Relaxed) {
                    answer(stream);
                } else {
                    respond_ok(stream, "a report");
                }
            })
        };
        SwitchedBackends { backends: (0..BACKENDS).map(backend).collect(), is_slow }
    }

    fn entries(&self) -> Vec<Value> {
        self.backends
            .iter()
            .enumerate()
            .map(|(n, backend)| backend.entry(&format!("s-{n}"), "Ready"))
            .collect()
    }

    /// Starts a limiter of these backends.
    fn start_limiter(&self) -> (Limiter, std::sync::mpsc::Sender<Value>) {
        let (discovery, push) = discovery();
        let (counter, _) = quota_counter(true);
        let mut config = config(discovery, counter, self.entries());
        config["settings"]["profiles"][0]["goalTimeMs"] = json!(LATENCY_OBJECTIVE_MS);
        let limiter = Limiter::start(&config);
        limiter.wait_until_ready();
        (limiter, push)
    }

    /// Lets the limiter learn a short latency from quick answers. The backends are slow again from then on.
    fn teach_short_latency(&self, limiter: &Limiter) {
        self.is_slow.store(false, Relaxed);
        for _ in 0..QUICK_ANSWERS {
            assert_eq!(limiter.request(&get_request("large", 1)).status(), 200);
        }
        self.is_slow.store(true, Relaxed);
    }

    fn request_count(&self) -> u32 {
        self.backends.iter().map(Backend::request_count).sum()
    }
}

fn slow_backends(framing: Framing, length: usize) -> SwitchedBackends {
    SwitchedBackends::start(move |stream| _ = write_slowly(stream, framing, (length, length), PAUSE))
}

fn request_with_deadline(deadline_ms: u64) -> String {
    get_request("large", 1).replace("X-Deadline-Ms: 8000", &format!("X-Deadline-Ms: {deadline_ms}"))
}

fn assert_whole(answer: &ReadAnswer, length: usize, context: &str) {
    assert_eq!((answer.status, answer.is_whole), (200, true), "{context}");
    assert!(answer.body == content(length), "{context}: {} bytes", answer.body.len());
}

/// Guards against a sound answer that is cut off when the timeout of its attempt passes, and whose request runs again.
#[test]
fn attempt_timeout_does_not_cut_off_an_answer_that_makes_progress() {
    for framing in FRAMINGS {
        let backends = slow_backends(framing, LONG);
        let (limiter, _push) = backends.start_limiter();
        backends.teach_short_latency(&limiter);
        for n in 1..=3 {
            let answer = read_answer(&mut request_stream(&limiter));
            assert_whole(&answer, LONG, &format!("{framing:?}"));
            assert_eq!(
                backends.request_count(),
                QUICK_ANSWERS as u32 + n,
                "{framing:?}: a request ran twice"
            );
        }
    }
}

/// Guards against a sound answer that is cut off at its client's deadline, and whose request is answered as rejected.
#[test]
fn client_deadline_does_not_cut_off_an_answer_that_makes_progress() {
    for framing in FRAMINGS {
        for deadline_ms in [300, 800] {
            let backends = slow_backends(framing, LONG);
            let (limiter, _push) = backends.start_limiter();
            let answer = read_answer(&mut send_request(&limiter, &request_with_deadline(deadline_ms)));
            assert_whole(&answer, LONG, &format!("{framing:?}, {deadline_ms} ms"));
            assert_eq!(backends.request_count(), 1, "{framing:?}: a request ran twice");
        }
    }
}

/// Guards against a slow answer that is passed on only shortly before its client's deadline, though it is under way.
#[test]
fn first_bytes_of_a_slow_unannounced_answer_do_not_wait_for_64_kib() {
    /// Time after the first part from which a further part shows that the answer is slow, one pause, and 50 ms.
    const LIMIT: Duration = Duration::from_millis(100 + 105 + 50);
    for framing in [Framing::Chunked, Framing::UntilClose] {
        let backends = slow_backends(framing, LONG);
        let (limiter, _push) = backends.start_limiter();
        let started = Instant::now();
        let answer = read_answer(&mut request_stream(&limiter));
        let delay = answer.first_byte_at - started;
        assert!(delay < LIMIT, "{framing:?}: the first bytes came after {delay:?}");
    }
}

/// Guards against answers in large lumps that are cut off in the pause between two of them.
#[test]
fn pause_between_two_lumps_does_not_cut_off_an_answer() {
    const LUMPS: usize = 4;
    const LUMP_PAUSE: Duration = Duration::from_millis(600);
    for framing in [Framing::Chunked, Framing::UntilClose] {
        let backends = SwitchedBackends::start(move |stream| {
            write_in_parts(stream, framing, (LONG, LONG), LUMPS, LUMP_PAUSE);
        });
        let (limiter, _push) = backends.start_limiter();
        backends.teach_short_latency(&limiter);
        let answer = read_answer(&mut request_stream(&limiter));
        assert_whole(&answer, LONG, &format!("{framing:?}"));
    }
}

/// A short answer that began and hangs must still be given up for another backend's.
#[test]
fn short_answer_that_hangs_is_retried_at_another_backend() {
    let has_hung = Arc::new(AtomicBool::new(false));
    let backends = SwitchedBackends::start(move |stream| {
        if has_hung.swap(true, Relaxed) {
            return respond_ok(stream, "a report");
        }
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\na re");
        let _ = stream.read(&mut [0; 1]);
    });
    let (limiter, _push) = backends.start_limiter();
    backends.teach_short_latency(&limiter);
    let answer = read_answer(&mut request_stream(&limiter));
    assert_eq!((answer.status, answer.body.as_slice()), (200, &b"a report"[..]));
}

/// An answer that began, was passed on at its client's deadline and hangs must end in time, without a sound end.
#[test]
fn silent_answer_ends_within_half_a_second_after_the_deadline() {
    const DEADLINE: Duration = Duration::from_millis(600);
    const LATE_ANSWER_TIME: Duration = Duration::from_millis(500);
    let backend = Backend::start(|stream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\na re\r\n");
        let _ = stream.read(&mut [0; 1]);
    });
    let (limiter, _push) = crate::start_limiter(vec![backend.entry("s-1", "Ready")]);
    limiter.wait_until_ready();
    let request = request_with_deadline(DEADLINE.as_millis() as u64);
    let started = Instant::now();
    let answer = read_answer(&mut send_request(&limiter, &request));
    assert!(started.elapsed() < DEADLINE + LATE_ANSWER_TIME, "ended after {:?}", started.elapsed());
    assert!(!answer.is_whole || answer.status != 200, "a broken answer looks whole");
}

/// The removal of its backend from the list must not cut off an answer.
#[test]
fn removal_of_the_backend_does_not_cut_off_an_answer() {
    for framing in FRAMINGS {
        let backends = slow_backends(framing, LONG);
        let (mut limiter, push) = backends.start_limiter();
        let mut stream = request_stream(&limiter);
        limiter.wait_for_counters(|count| count("responses_streamed") == 1);
        push.send(json!({"version": 2, "full": true, "servers": []})).expect("discovery runs");
        limiter.wait_for_counters(|count| count("list_changes") >= 1);
        assert_whole(&read_answer(&mut stream), LONG, &format!("{framing:?}"));
    }
}

/// A planned stop must not cut off an answer that ends before the process has to.
#[test]
fn shutdown_does_not_cut_off_an_answer() {
    for framing in FRAMINGS {
        let backends = slow_backends(framing, LONG);
        let (limiter, _push) = backends.start_limiter();
        let mut stream = request_stream(&limiter);
        while backends.request_count() == 0 {
            thread::sleep(Duration::from_millis(1));
        }
        limiter.signal("TERM");
        assert_whole(&read_answer(&mut stream), LONG, &format!("{framing:?}"));
    }
}

/// Guards against a request that ran, and whose answer was under way, being logged nowhere when it is given up.
#[test]
fn given_up_answer_is_logged_with_its_request_and_clock() {
    let backend = Backend::start(|stream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\na re");
        let _ = stream.read(&mut [0; 1]);
    });
    let (limiter, _push) = crate::start_limiter(vec![backend.entry("s-1", "Ready")]);
    limiter.wait_until_ready();
    let request = request_with_deadline(300);
    let id = request.lines().find_map(|line| line.strip_prefix("X-Request-Id: ")).expect("an id").to_string();
    assert_ne!(limiter.request(&request).status(), 200);
    limiter.signal("TERM");
    let (_, log) = limiter.wait_for_exit();
    let line = log.lines().find(|line| line.contains("attempt cut") && line.contains(&id));
    let line = line.unwrap_or_else(|| panic!("no line about the attempt in: {log}"));
    assert!(line.contains("Deadline") && line.contains("4 body bytes read"), "{line}");
}
