//! Each rule is found broken by the records that break it, and not by those that just keep it.

use super::*;

const DEADLINE: Duration = Duration::from_secs(1);
const WINDOW: Duration = Duration::from_millis(300);
const STOP: StopTimes = StopTimes { told_at: ms(10_000), killed_at: ms(12_000) };
const JUDGED: Circumstances = Circumstances { stop: STOP, is_void: false };

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn deployment() -> Deployment {
    let class = |name, effect| super::super::ClassSettings { name, effect, deadline: DEADLINE };
    let keyed = Effect::Keyed { scope: KeyScope::Zone, window: WINDOW };
    let classes = vec![class("read", Effect::Safe), class("send", keyed), class("once", Effect::Unsafe)];
    Deployment {
        limiters: 1,
        backends: 3,
        clients: 1,
        idle_clients: 0,
        connect_timeout: ms(250),
        max_work: ms(60),
        classes,
    }
}

fn request(class: usize, sent_ms: u64, end_ms: u64, end: ClientEnd) -> RequestRecord {
    let (id, sent_at, end) = ("r".to_string(), ms(sent_ms), Some((ms(end_ms), end)));
    RequestRecord { id, class, limiter: 0, sent_at, on_reused_connection: false, end }
}

fn attempt(backend: usize, began_ms: u64, end: AttemptEnd) -> AttemptRecord {
    let told_ms = (DEADLINE - ms(began_ms)).as_millis() as u64;
    AttemptRecord { id: "r".into(), backend, began_at: ms(began_ms), told_ms, end }
}

/// The rules that the records of one request break.
fn broken(request: RequestRecord, attempts: &[AttemptRecord]) -> Vec<Rule> {
    let records = Records::new();
    records.add_request(request);
    for attempt in attempts {
        records.add_attempt(attempt.clone());
    }
    check(&deployment(), &records, JUDGED).iter().map(|finding| finding.rule).collect()
}

use AttemptEnd::{MayHaveRun, NotRun, Partial};
use ClientEnd::{Answered, Closed, Left, Unanswered};

#[test]
fn a_request_without_its_answer_is_lost() {
    let ran = [attempt(0, 5, MayHaveRun)];
    assert_eq!(broken(request(0, 0, 1_500, Unanswered), &ran), [Rule::Lost]);
    assert_eq!(broken(request(0, 0, 900, Closed), &ran), [Rule::Lost]);
    assert_eq!(broken(request(0, 0, 900, Closed), &[]), [Rule::Lost], "on a new connection");
    let reused = RequestRecord { on_reused_connection: true, ..request(0, 0, 900, Closed) };
    assert!(broken(reused, &[]).is_empty(), "its end crossed the request");
    assert_eq!(broken(request(0, 10_800, 12_000, Closed), &[]), [Rule::Lost], "late in the stop");
    assert_eq!(broken(request(0, 10_500, 12_000, Closed), &[]), [Rule::Lost], "due before the kill");
}

#[test]
fn a_request_that_may_have_run_is_not_sent_again() {
    let answered = |class| request(class, 0, 500, Answered(200));
    let twice = [attempt(0, 5, MayHaveRun), attempt(2, 50, MayHaveRun)];
    assert!(broken(answered(0), &twice).is_empty());
    assert!(broken(answered(1), &twice).is_empty(), "in its zone and window");
    assert_eq!(broken(answered(2), &twice), [Rule::Duplicate]);
    let elsewhere = [attempt(0, 5, MayHaveRun), attempt(1, 50, MayHaveRun)];
    assert_eq!(broken(answered(1), &elsewhere), [Rule::Duplicate]);
    let late = [attempt(0, 5, MayHaveRun), attempt(2, 506, MayHaveRun)];
    assert_eq!(broken(answered(1), &late), [Rule::Duplicate]);
    for unseen in [NotRun, Partial] {
        let allowed = [attempt(0, 5, unseen), attempt(1, 506, MayHaveRun)];
        assert!(broken(answered(1), &allowed).is_empty() && broken(answered(2), &allowed).is_empty());
    }
}

#[test]
fn a_rejection_is_true_to_what_may_have_run() {
    for status in [429, 503] {
        let rejected = |class| request(class, 0, 500, Answered(status));
        let ran = [attempt(0, 5, MayHaveRun)];
        assert!(broken(rejected(0), &ran).is_empty());
        assert_eq!(broken(rejected(1), &ran), [Rule::FalseRejection]);
        assert_eq!(broken(rejected(2), &ran), [Rule::FalseRejection]);
        assert!(broken(rejected(2), &[attempt(0, 5, NotRun)]).is_empty());
    }
    assert!(broken(request(2, 0, 500, Answered(502)), &[attempt(0, 5, MayHaveRun)]).is_empty());
}

#[test]
fn nothing_begins_for_a_client_that_has_gone() {
    let left = || request(0, 0, 100, Left);
    assert!(broken(left(), &[attempt(0, 250, MayHaveRun)]).is_empty());
    assert_eq!(broken(left(), &[attempt(0, 251, MayHaveRun)]), [Rule::ClientGone]);
}

#[test]
fn nothing_begins_at_a_backend_that_drains() {
    let records = Records::new();
    records.add_drain(0, 1);
    let told_ms = records.drains()[0].told_at.as_millis() as u64;
    for (after_ms, breaks) in [(900, false), (1_100, true)] {
        let began_ms = told_ms + after_ms;
        let request = RequestRecord { sent_at: ms(began_ms), ..request(0, 0, 2_000, Answered(200)) };
        let mut attempt = attempt(1, 0, MayHaveRun);
        attempt.began_at = ms(began_ms);
        let attempts = [&attempt];
        let checked = CheckedRequest { deployment: &deployment(), request: &request, attempts: &attempts };
        assert_eq!(checked.drain(&records.drains()).is_some(), breaks, "{after_ms} ms after");
    }
}

#[test]
fn the_time_told_is_what_is_left() {
    for (told_ms, breaks) in [(1_100, false), (1_101, true)] {
        let attempt = AttemptRecord { told_ms, ..attempt(0, 100, MayHaveRun) };
        let found = broken(request(0, 0, 500, Answered(200)), &[attempt]);
        assert_eq!(found == [Rule::ToldTime], breaks, "{told_ms} ms told, 900 left");
    }
}

/// On a machine that is too busy, orders are judged and times are not.
#[test]
fn a_void_run_is_judged_by_what_rests_on_no_time() {
    let records = Records::new();
    records.add_request(request(2, 0, 100, Left));
    for began_ms in [5, 700] {
        records.add_attempt(attempt(0, began_ms, MayHaveRun));
    }
    let rules = |is_void| {
        let findings = check(&deployment(), &records, Circumstances { is_void, ..JUDGED });
        findings.iter().map(|finding| finding.rule).collect::<Vec<_>>()
    };
    assert_eq!(rules(false), [Rule::Duplicate, Rule::ClientGone]);
    assert_eq!(rules(true), [Rule::Duplicate]);
}
