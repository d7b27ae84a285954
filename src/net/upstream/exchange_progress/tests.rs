//! What the recorded bytes prove, against a reference that knows all of them.

use super::*;
use crate::net::fixed_seed_config;
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Step {
    /// A request with such a body is given to the connection, if none is under way.
    Begin { body_length: usize },
    /// The socket takes so many bytes at most of the request under way.
    Write { max_bytes: usize },
    /// The answer's head is read, however much was written.
    AnswerHead,
    /// The answer's last byte is read, if its head was.
    AnswerEnd,
    /// The backend begins to drain.
    Drain,
    /// The attempt is given up: its deadline passed, its client left, or its window closed.
    Abandon,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => (0usize..40).prop_map(|body_length| Step::Begin { body_length }),
        6 => (1usize..80).prop_map(|max_bytes| Step::Write { max_bytes }),
        1 => Just(Step::AnswerHead),
        3 => Just(Step::AnswerEnd),
        1 => Just(Step::Drain),
        1 => Just(Step::Abandon),
    ]
}

/// The request under way as the reference knows it: plain facts, no states.
struct ReferenceRequest {
    bytes: Vec<u8>,
    written: usize,
    is_head_read: bool,
}

impl ReferenceRequest {
    fn new(body_length: usize) -> ReferenceRequest {
        // A head with what looks like its end, and a body of nothing else.
        let mut bytes = b"POST /send/1 HTTP/1.1\r\nX-Odd: \r \r\r\n\r\n".to_vec();
        bytes.extend(b"\r\n\r\n".iter().cycle().take(body_length));
        ReferenceRequest { bytes, written: 0, is_head_read: false }
    }

    fn is_written_whole(&self) -> bool {
        self.written == self.bytes.len()
    }

    fn may_have_run(&self) -> bool {
        self.is_written_whole() || self.is_head_read
    }
}

/// What is known of a connection, and the record of it that is tested.
#[derive(Default)]
struct Reference {
    progress: ExchangeProgress,
    request: Option<ReferenceRequest>,
    is_draining: bool,
    is_abandoned: bool,
}

impl Reference {
    fn apply(&mut self, step: &Step) {
        match (step, &mut self.request) {
            (Step::Begin { body_length }, None) if !self.is_abandoned => {
                self.progress.begin_request(*body_length as u64);
                self.request = Some(ReferenceRequest::new(*body_length));
            }
            (Step::Write { max_bytes }, Some(request)) if self.progress.may_write(self.is_draining) => {
                let end = (request.written + max_bytes).min(request.bytes.len());
                self.progress.record_written(&request.bytes[request.written..end]);
                request.written = end;
            }
            (Step::AnswerHead, Some(request)) => {
                request.is_head_read = true;
                self.progress.record_answer_begun();
            }
            (Step::AnswerEnd, Some(request)) if request.is_head_read && request.is_written_whole() => {
                self.progress.record_answered();
                self.request = None;
            }
            (Step::Drain, _) => self.is_draining = true,
            (Step::Abandon, _) => {
                self.is_abandoned = true;
                self.progress.abandon();
            }
            _ => {}
        }
    }

    /// At every moment a break, the deadline and a withdrawal find just what the bytes prove.
    fn check(&self) {
        let Some(request) = &self.request else { return };
        let may_have_run = request.may_have_run();
        assert_eq!(self.progress.state().may_have_run(), may_have_run);
        assert_eq!(self.progress.is_written_whole(), request.is_written_whole());
        let (broken, late) = match may_have_run {
            true => (Outcome::Reset, Outcome::TimedOut),
            false => (Outcome::ConnectFailed, Outcome::ConnectFailed),
        };
        assert_eq!(self.progress.outcome_of_break(), broken);
        assert_eq!(self.progress.outcome_at_deadline(), late);
        let begins = request.written == 0 && !request.is_head_read;
        let may_write = !(self.is_abandoned || self.is_draining && begins);
        assert_eq!(self.progress.may_write(self.is_draining), may_write);
    }
}

proptest! {
    #![proptest_config(fixed_seed_config(2048))]
    /// Written bytes, answers, drains and given-up attempts in any order, over any number of requests.
    #[test]
    fn a_request_counts_as_never_run_only_without_its_last_byte_and_without_an_answer(
        steps in prop::collection::vec(step(), 1..80)
    ) {
        let mut reference = Reference::default();
        for step in steps {
            reference.apply(&step);
            reference.check();
        }
    }
}

/// After an answer to half a request the bytes prove nothing: the request may have run.
#[test]
fn after_an_early_answer_a_break_counts_as_reset() {
    let progress = ExchangeProgress::default();
    progress.begin_request(8);
    progress.record_written(b"POST /");
    progress.record_answer_begun();
    assert_eq!(progress.outcome_of_break(), Outcome::Reset);
}

/// The request before proves nothing about the next one, and only a connection that served one counts as reused.
#[test]
fn each_request_on_a_connection_is_judged_by_its_own_bytes() {
    let progress = ExchangeProgress::default();
    progress.begin_request(0);
    assert!(!progress.is_unwritten_on_reused_connection());
    progress.record_written(b"GET / HTTP/1.1\r\n\r\n");
    progress.record_answer_begun();
    progress.record_answered();
    assert_eq!(progress.outcome_at_deadline(), Outcome::TimedOut);
    progress.begin_request(0);
    assert!(progress.is_unwritten_on_reused_connection());
    assert_eq!(progress.outcome_at_deadline(), Outcome::ConnectFailed);
}
