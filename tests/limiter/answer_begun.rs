//! A backend sends the head of an answer and part of its body, and hangs until the attempt is given up.
//!
//! The attempt ended as one that could not connect, and so can't have run; its request was sent to the next backend after
//! the idempotency window of its first run, and ran twice (attempts=102 for taken=101, attempts_connect_failed=1). The
//! cause was in how the upstream side recorded the progress of an exchange: see
//! docs/incidents/2026-12-03-hung-answer-counts-as-never-run.md.

use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;

use serde_json::json;

use crate::harness::*;

const HEAD_AND_PART: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nha";
/// Shorter than any attempt is waited for.
const WINDOW_MS: f64 = 20.0;

/// Requests that are served first, by which the limiter learns how long answers take and may afford a retry.
const SERVED_FIRST: usize = 100;

/// A backend that serves until `hangs` is set; then its answers begin and hang.
fn hanging_backend(hangs: &Arc<AtomicBool>) -> Destination {
    let hangs = hangs.clone();
    Destination::start(move |stream| {
        if !hangs.load(Relaxed) {
            return ok(stream, "a report");
        }
        let _ = stream.write_all(HEAD_AND_PART);
    })
}

#[test]
fn a_keyed_request_whose_answer_hangs_is_not_run_again_after_its_window() {
    let hangs = Arc::new(AtomicBool::new(false));
    let backends = [hanging_backend(&hangs), hanging_backend(&hangs)];
    let entries = vec![backends[0].entry("s-1", "Ready"), backends[1].entry("s-2", "Ready")];
    let (discovery, _push) = discovery();
    let (counter, _) = counter(true);
    let mut config = config(discovery, counter, entries);
    config["settings"]["profiles"][1]["keyScope"] = json!("all");
    config["settings"]["profiles"][1]["windowMs"] = json!(WINDOW_MS);
    let mut limiter = Limiter::start(&config);
    for _ in 0..SERVED_FIRST {
        assert_eq!(limiter.ask(&send("a thesis")).status(), 200);
    }
    let runs = || backends.iter().map(Destination::count).sum::<u32>();
    let runs_before = runs();
    hangs.store(true, Relaxed);
    let answer = limiter.ask(&send("a thesis"));
    assert_ne!(answer.status(), 200);
    assert_eq!(runs() - runs_before, 1, "it came whole more than once: {}", limiter.counters());
}
