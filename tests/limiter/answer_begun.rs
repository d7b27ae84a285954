//! A backend sends the head and part of the body of an answer, and then hangs until the attempt times out.
//!
//! The limiter once recorded such an attempt as failed to connect, which means that it can't have run. It retried the
//! request on another backend after the idempotency window, and the request ran twice (attempts=102 for taken=101,
//! attempts_connect_failed=1). See docs/incidents/2026-12-03-hung-answer-counts-as-never-run.md.

use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;

use serde_json::json;

use crate::harness::*;

const PARTIAL_ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nha";
/// Idempotency window in milliseconds, shorter than the timeout of any attempt.
const IDEMPOTENCY_WINDOW_MS: f64 = 20.0;

/// Number of requests served first. From them the limiter learns the latency of answers and earns its retry budget.
const WARMUP_REQUESTS: usize = 100;

/// Starts a backend that serves requests until `hangs` is set, and then leaves its answers incomplete.
fn hanging_backend(hangs: &Arc<AtomicBool>) -> Backend {
    let hangs = hangs.clone();
    Backend::start(move |stream| {
        if !hangs.load(Relaxed) {
            return respond_ok(stream, "a report");
        }
        let _ = stream.write_all(PARTIAL_ANSWER);
    })
}

#[test]
fn keyed_request_with_hung_answer_is_not_retried_after_the_idempotency_window() {
    let hangs = Arc::new(AtomicBool::new(false));
    let backends = [hanging_backend(&hangs), hanging_backend(&hangs)];
    let entries = vec![backends[0].entry("s-1", "Ready"), backends[1].entry("s-2", "Ready")];
    let (discovery, _push) = discovery();
    let (counter, _) = quota_counter(true);
    let mut config = config(discovery, counter, entries);
    config["settings"]["profiles"][1]["keyScope"] = json!("all");
    config["settings"]["profiles"][1]["windowMs"] = json!(IDEMPOTENCY_WINDOW_MS);
    let mut limiter = Limiter::start(&config);
    for _ in 0..WARMUP_REQUESTS {
        assert_eq!(limiter.request(&post_request("a thesis")).status(), 200);
    }
    let run_count = || backends.iter().map(Backend::request_count).sum::<u32>();
    let runs_before = run_count();
    hangs.store(true, Relaxed);
    let answer = limiter.request(&post_request("a thesis"));
    assert_ne!(answer.status(), 200);
    assert_eq!(run_count() - runs_before, 1, "the request ran more than once: {}", limiter.counters());
}
