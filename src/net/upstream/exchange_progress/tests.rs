//! Compares the outcomes derived from recorded bytes with a reference model that knows all bytes.

use super::*;
use crate::net::fixed_seed_config;
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Step {
    /// Starts a request with a body of this length, if none is in progress.
    Begin { body_length: usize },
    /// The socket accepts at most this many bytes of the current request.
    Write { max_bytes: usize },
    /// The response head is read, however much of the request was written.
    ResponseHead,
    /// The last byte of the response is read, if its head was read before.
    ResponseEnd,
    /// The backend starts to drain.
    Drain,
    /// The attempt is given up: its deadline or write deadline passed, or its client disconnected.
    Abandon,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => (0usize..40).prop_map(|body_length| Step::Begin { body_length }),
        6 => (1usize..80).prop_map(|max_bytes| Step::Write { max_bytes }),
        1 => Just(Step::ResponseHead),
        3 => Just(Step::ResponseEnd),
        1 => Just(Step::Drain),
        1 => Just(Step::Abandon),
    ]
}

/// The current request in the reference model, described by its bytes rather than by a state.
struct ReferenceRequest {
    bytes: Vec<u8>,
    written: usize,
    is_head_read: bool,
}

impl ReferenceRequest {
    fn new(body_length: usize) -> ReferenceRequest {
        // The head contains sequences that resemble its end, and the body consists of such ends only.
        let mut bytes = b"POST /send/1 HTTP/1.1\r\nX-Odd: \r \r\r\n\r\n".to_vec();
        bytes.extend(b"\r\n\r\n".iter().cycle().take(body_length));
        ReferenceRequest { bytes, written: 0, is_head_read: false }
    }

    fn is_fully_written(&self) -> bool {
        self.written == self.bytes.len()
    }

    fn may_have_run(&self) -> bool {
        self.is_fully_written() || self.is_head_read
    }
}

/// The reference model of a connection, with the progress record under test.
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
            (Step::ResponseHead, Some(request)) => {
                request.is_head_read = true;
                self.progress.record_response_started();
            }
            (Step::ResponseEnd, Some(request)) if request.is_head_read && request.is_fully_written() => {
                self.progress.record_response_complete();
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

    /// Asserts that a break, a deadline or a withdrawal at this moment has the outcome that the bytes prove.
    fn check(&self) {
        let Some(request) = &self.request else { return };
        let may_have_run = request.may_have_run();
        assert_eq!(self.progress.state().may_have_run(), may_have_run);
        assert_eq!(self.progress.is_fully_written(), request.is_fully_written());
        let (broken, late) = match may_have_run {
            true => (Outcome::Reset, Outcome::TimedOut),
            false => (Outcome::ConnectFailed, Outcome::ConnectFailed),
        };
        assert_eq!(self.progress.outcome_of_broken_exchange(), broken);
        assert_eq!(self.progress.outcome_at_deadline(), late);
        let is_unstarted = request.written == 0 && !request.is_head_read;
        let may_write = !(self.is_abandoned || self.is_draining && is_unstarted);
        assert_eq!(self.progress.may_write(self.is_draining), may_write);
    }
}

proptest! {
    #![proptest_config(fixed_seed_config(2048))]
    /// Applies written bytes, responses, drains and abandoned attempts in any order, over any number of requests.
    #[test]
    fn request_counts_as_never_run_only_without_last_byte_and_response(
        steps in prop::collection::vec(step(), 1..80)
    ) {
        let mut reference = Reference::default();
        for step in steps {
            reference.apply(&step);
            reference.check();
        }
    }
}

/// A response to a partly written request means that the request may have run.
#[test]
fn break_after_early_response_counts_as_reset() {
    let progress = ExchangeProgress::default();
    progress.begin_request(8);
    progress.record_written(b"POST /");
    progress.record_response_started();
    assert_eq!(progress.outcome_of_broken_exchange(), Outcome::Reset);
}

/// The bytes of one request do not affect the next one, and only a connection that has served a request counts as
/// reused.
#[test]
fn each_request_is_judged_by_its_own_bytes() {
    let progress = ExchangeProgress::default();
    progress.begin_request(0);
    assert!(!progress.is_unwritten_on_reused_connection());
    progress.record_written(b"GET / HTTP/1.1\r\n\r\n");
    progress.record_response_started();
    progress.record_response_complete();
    assert_eq!(progress.outcome_at_deadline(), Outcome::TimedOut);
    progress.begin_request(0);
    assert!(progress.is_unwritten_on_reused_connection());
    assert_eq!(progress.outcome_at_deadline(), Outcome::ConnectFailed);
}
