//! Each rule is violated by records just beyond its limit, and not by records at the limit.

use super::*;

const DEADLINE: Duration = Duration::from_secs(1);
const WINDOW: Duration = Duration::from_millis(300);
const STOP: StopTimes = StopTimes { signaled_at: ms(10_000), killed_at: ms(12_000) };
const CONTEXT: CheckContext = CheckContext { stop: STOP, is_void: false };

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn deployment() -> Deployment {
    let class = |name, idempotency| super::super::ClassSettings { name, idempotency, deadline: DEADLINE };
    let keyed = Idempotency::IdempotencyKey { scope: KeyScope::Zone, window: WINDOW };
    let classes = vec![
        class("read", Idempotency::Idempotent),
        class("send", keyed),
        class("once", Idempotency::NotIdempotent),
    ];
    Deployment {
        limiters: 1,
        backends: 3,
        clients: 1,
        idle_clients: 0,
        connect_timeout: ms(250),
        max_work: ms(60),
        classes,
        lists: super::super::ListSettings::default(),
        has_long_bodies: false,
        crowd: 0,
        sockets: 256,
        has_broken_answers: false,
        has_stalls: false,
    }
}

fn request(class: usize, sent_ms: u64, end_ms: u64, end: ClientEnd) -> RequestRecord {
    let (id, sent_at, end) = ("r".to_string(), ms(sent_ms), Some((ms(end_ms), end)));
    RequestRecord { id, class, limiter: 0, deadline: DEADLINE, sent_at, on_reused_connection: false, end }
}

fn attempt(backend: usize, began_ms: u64, end: AttemptEnd) -> AttemptRecord {
    let told_ms = (DEADLINE - ms(began_ms)).as_millis() as u64;
    AttemptRecord { id: "r".into(), backend, began_at: ms(began_ms), told_ms, end }
}

/// Returns the rules that the records of one request violate.
fn violations(request: RequestRecord, attempts: &[AttemptRecord]) -> Vec<Rule> {
    let records = Records::new();
    records.add_request(request);
    for attempt in attempts {
        records.add_attempt(attempt.clone());
    }
    check(&deployment(), &records, CONTEXT).iter().map(|finding| finding.rule).collect()
}

use AttemptEnd::{MayHaveRun, NotRun, Partial};
use ClientEnd::{Answered, Closed, Left, Unanswered};

#[test]
fn unanswered_request_is_lost() {
    let ran = [attempt(0, 5, MayHaveRun)];
    assert_eq!(violations(request(0, 0, 1_500, Unanswered), &ran), [Rule::Lost]);
    assert_eq!(violations(request(0, 0, 900, Closed), &ran), [Rule::Lost]);
    assert_eq!(violations(request(0, 0, 900, Closed), &[]), [Rule::Lost], "on a new connection");
    let reused = RequestRecord { on_reused_connection: true, ..request(0, 0, 900, Closed) };
    assert!(violations(reused, &[]).is_empty(), "the connection was closed while the request was in flight");
    assert_eq!(violations(request(0, 10_800, 12_000, Closed), &[]), [Rule::Lost], "sent late after SIGTERM");
    assert_eq!(violations(request(0, 10_500, 12_000, Closed), &[]), [Rule::Lost], "deadline before SIGKILL");
}

#[test]
fn request_that_may_have_run_is_not_duplicated() {
    let answered = |class| request(class, 0, 500, Answered(200));
    let twice = [attempt(0, 5, MayHaveRun), attempt(2, 50, MayHaveRun)];
    assert!(violations(answered(0), &twice).is_empty());
    assert!(violations(answered(1), &twice).is_empty(), "in the same zone and window");
    assert_eq!(violations(answered(2), &twice), [Rule::Duplicate]);
    let elsewhere = [attempt(0, 5, MayHaveRun), attempt(1, 50, MayHaveRun)];
    assert_eq!(violations(answered(1), &elsewhere), [Rule::Duplicate]);
    let late = [attempt(0, 5, MayHaveRun), attempt(2, 506, MayHaveRun)];
    assert_eq!(violations(answered(1), &late), [Rule::Duplicate]);
    for end in [NotRun, Partial] {
        let allowed = [attempt(0, 5, end), attempt(1, 506, MayHaveRun)];
        assert!(violations(answered(1), &allowed).is_empty() && violations(answered(2), &allowed).is_empty());
    }
}

#[test]
fn rejection_requires_that_nothing_ran() {
    for status in [429, 503] {
        let rejected = |class| request(class, 0, 500, Answered(status));
        let ran = [attempt(0, 5, MayHaveRun)];
        assert!(violations(rejected(0), &ran).is_empty());
        assert_eq!(violations(rejected(1), &ran), [Rule::FalseRejection]);
        assert_eq!(violations(rejected(2), &ran), [Rule::FalseRejection]);
        assert!(violations(rejected(2), &[attempt(0, 5, NotRun)]).is_empty());
    }
    assert!(violations(request(2, 0, 500, Answered(502)), &[attempt(0, 5, MayHaveRun)]).is_empty());
}

#[test]
fn no_attempt_begins_after_the_client_left() {
    let left = || request(0, 0, 100, Left);
    assert!(violations(left(), &[attempt(0, 250, MayHaveRun)]).is_empty());
    assert_eq!(violations(left(), &[attempt(0, 251, MayHaveRun)]), [Rule::ClientGone]);
}

#[test]
fn no_attempt_begins_at_a_draining_backend() {
    let records = Records::new();
    records.add_drain(0, 1);
    let told_ms = records.drains()[0].told_at.as_millis() as u64;
    for (after_ms, is_violated) in [(900, false), (1_100, true)] {
        let began_ms = told_ms + after_ms;
        let request = RequestRecord { sent_at: ms(began_ms), ..request(0, 0, 2_000, Answered(200)) };
        let mut attempt = attempt(1, 0, MayHaveRun);
        attempt.began_at = ms(began_ms);
        let attempts = [&attempt];
        let request_check =
            RequestCheck { deployment: &deployment(), request: &request, attempts: &attempts };
        assert_eq!(
            request_check.attempt_after_drain(&records.drains()).is_some(),
            is_violated,
            "{after_ms} ms after the drain notice"
        );
    }
}

#[test]
fn deadline_of_an_attempt_is_bounded_by_the_time_left() {
    for (told_ms, is_violated) in [(1_100, false), (1_101, true)] {
        let attempt = AttemptRecord { told_ms, ..attempt(0, 100, MayHaveRun) };
        let rules = violations(request(0, 0, 500, Answered(200)), &[attempt]);
        assert_eq!(rules == [Rule::ToldTime], is_violated, "deadline of {told_ms} ms, 900 ms left");
    }
}

/// On a machine that is too busy, rules that depend on times are not checked.
#[test]
fn void_run_skips_timing_rules() {
    let records = Records::new();
    records.add_request(request(2, 0, 100, Left));
    for began_ms in [5, 700] {
        records.add_attempt(attempt(0, began_ms, MayHaveRun));
    }
    let rules = |is_void| {
        let findings = check(&deployment(), &records, CheckContext { is_void, ..CONTEXT });
        findings.iter().map(|finding| finding.rule).collect::<Vec<_>>()
    };
    assert_eq!(rules(false), [Rule::Duplicate, Rule::ClientGone]);
    assert_eq!(rules(true), [Rule::Duplicate]);
}
