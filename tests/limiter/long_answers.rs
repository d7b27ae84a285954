//! Answers that are longer than the limiter holds whole: they are passed on while they arrive, and a client can always
//! tell a whole one from one that was broken off.

use std::io::Read;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use crate::harness::*;
use crate::paced_answers::*;

/// Length of the answers, as in the operators' records.
const LENGTH: usize = 160_000;
/// Time between two parts.
const PAUSE: Duration = Duration::from_millis(30);
/// Time within which the first bytes of a long answer must be passed on, from the backend's first byte.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(50);

/// Guards against sound answers of over 64 KiB that are cut off: they were retried until the request was rejected.
#[test]
fn slow_answer_of_160_kb_arrives_whole_in_every_framing() {
    for framing in FRAMINGS {
        let backend = Backend::start(move |stream| {
            write_slowly(stream, framing, (LENGTH, LENGTH), PAUSE);
        });
        let (limiter, _push) = crate::start_limiter(vec![backend.entry("s-1", "Ready")]);
        limiter.wait_until_ready();
        for _ in 0..3 {
            let answer = read_answer(&mut request_stream(&limiter));
            assert_eq!((answer.status, answer.is_whole), (200, true), "{framing:?}");
            assert!(answer.body == content(LENGTH), "{framing:?}: {} bytes", answer.body.len());
        }
        assert_eq!(backend.request_count(), 3, "{framing:?}: a request ran more than once");
    }
}

/// The first bytes of an answer that is known to be long must not wait for the rest.
#[test]
fn first_bytes_of_a_long_answer_are_passed_on_at_once() {
    let (report, started) = std::sync::mpsc::channel();
    let report = std::sync::Mutex::new(report);
    let backend = Backend::start(move |stream| {
        let _ = report.lock().expect("no script panics").send(Instant::now());
        write_slowly(stream, Framing::Length, (LENGTH, LENGTH), PAUSE);
    });
    let (limiter, _push) = crate::start_limiter(vec![backend.entry("s-1", "Ready")]);
    limiter.wait_until_ready();
    for _ in 0..3 {
        let answer = read_answer(&mut request_stream(&limiter));
        let started: Instant = started.recv().expect("a request");
        let delay = answer.first_byte_at.duration_since(started);
        assert!(answer.is_whole && delay < FIRST_BYTE_TIMEOUT, "the first bytes came after {delay:?}");
    }
}

/// A client must never take a long answer for whole whose backend broke off, and the request must not run again.
#[test]
fn long_answer_that_is_broken_off_has_no_sound_end() {
    for framing in [Framing::Length, Framing::Chunked] {
        let backend = Backend::start(move |stream| {
            write_slowly(stream, framing, (LENGTH, LENGTH - LENGTH / PARTS), Duration::ZERO);
        });
        let (limiter, _push) = crate::start_limiter(vec![backend.entry("s-1", "Ready")]);
        limiter.wait_until_ready();
        let answer = read_answer(&mut request_stream(&limiter));
        assert_eq!((answer.status, answer.is_whole), (200, false), "{framing:?}");
        assert_eq!(backend.request_count(), 1, "{framing:?}");
    }
}

/// Sixteen answers of 32 MB at once pass through a process with the smallest memory limit, whole.
#[test]
fn sixteen_answers_of_32_mb_fit_the_smallest_memory_limit() {
    const LARGE: usize = 32_000_000;
    let backend = Backend::start(|stream| {
        write_slowly(stream, Framing::Length, (LARGE, LARGE), Duration::ZERO);
    });
    let (discovery, _push) = discovery();
    let (counter, _) = quota_counter(true);
    let mut config = config(discovery, counter, vec![backend.entry("s-1", "Ready")]);
    config["limits"]["memory_mb"] = serde_json::json!(32);
    let limiter = Limiter::start(&config);
    limiter.wait_until_ready();
    let expected = content(LARGE);
    thread::scope(|scope| {
        for _ in 0..16 {
            scope.spawn(|| {
                let answer = read_answer(&mut request_stream(&limiter));
                assert!(answer.is_whole && answer.body == expected, "{} bytes", answer.body.len());
            });
        }
    });
    assert!(limiter.proc_status("VmHWM") <= 32 << 10, "{} kB", limiter.proc_status("VmHWM"));
}

/// A client that reads slowly, but reads, must not be cut off: its time counts from the last byte that it took.
#[test]
fn client_that_takes_longer_than_its_time_without_progress_gets_the_whole_answer() {
    const LARGE: usize = 32_000_000;
    /// More than the 5 s within which a client must take some of its answer.
    const READ_TIME: Duration = Duration::from_secs(8);
    let backend = Backend::start(|stream| {
        write_slowly(stream, Framing::Length, (LARGE, LARGE), Duration::ZERO);
    });
    let (limiter, _push) = crate::start_limiter(vec![backend.entry("s-1", "Ready")]);
    limiter.wait_until_ready();
    let mut stream = request_stream(&limiter);
    let started = Instant::now();
    let (mut read, mut buffer) = (0, vec![0; 256 << 10]);
    while let Ok(count @ 1..) = stream.read(&mut buffer) {
        read += count;
        if read >= LARGE {
            break;
        }
        let due = READ_TIME.mul_f64(read as f64 / LARGE as f64);
        thread::sleep(due.saturating_sub(started.elapsed()));
    }
    assert!(read >= LARGE, "cut off after {read} bytes and {:?}", started.elapsed());
}

/// Starts a limiter with an address for admin calls, and a client whose long answer is under way.
fn start_with_answer_under_way() -> (Limiter, Backend, TcpStream) {
    let backend = Backend::start(|stream| {
        write_slowly(stream, Framing::Length, (LENGTH, LENGTH), PAUSE);
    });
    let (discovery, _push) = discovery();
    let (counter, _) = quota_counter(true);
    let mut config = config(discovery, counter, vec![backend.entry("s-1", "Ready")]);
    config["ops"] = serde_json::json!("127.0.0.1:0");
    let mut limiter = Limiter::start(&config);
    limiter.wait_until_ready();
    let stream = request_stream(&limiter);
    limiter.wait_for_counters(|count| count("responses_streamed") == 1);
    (limiter, backend, stream)
}

/// A drain must not cut off a long answer; its connection closes behind it.
#[test]
fn long_answer_under_way_is_finished_in_a_drain() {
    let (limiter, _backend, mut stream) = start_with_answer_under_way();
    assert_eq!(limiter.call_admin("PUT", "quiesce").status(), 200);
    let answer = read_answer(&mut stream);
    assert!(answer.is_whole && answer.body == content(LENGTH), "{} bytes", answer.body.len());
    assert_eq!(stream.read(&mut [0; 1]).expect("the connection ends"), 0);
}

/// A planned stop must not cut off a long answer that ends in time.
#[test]
fn long_answer_under_way_is_finished_in_a_shutdown() {
    let (limiter, _backend, mut stream) = start_with_answer_under_way();
    limiter.signal("TERM");
    let answer = read_answer(&mut stream);
    assert!(answer.is_whole && answer.body == content(LENGTH), "{} bytes", answer.body.len());
    let (status, _) = limiter.wait_for_exit();
    assert!(status.success());
}
