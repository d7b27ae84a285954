//! Orders of parts, writes, breaks and ends, compared with what the client has got.

use super::*;
use crate::net::fixed_seed_config;
use proptest::prelude::*;

/// What happens to a response.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The library is handed a part of this many bytes.
    Part(usize),
    /// The backend breaks off: the library is told as soon as the invariant allows.
    Break,
    /// The backend ends the body.
    End,
    /// The socket accepts this many bytes at most.
    Write(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1usize..20_000).prop_map(Step::Part),
        1 => Just(Step::Break),
        1 => Just(Step::End),
        6 => (0usize..30_000).prop_map(Step::Write),
    ]
}

/// Length of the head of a response.
const HEAD_BYTES: usize = 90;

/// What the library holds, and what the client has got.
struct Model {
    progress: ResponseProgress,
    buffered: usize,
    received: usize,
    is_break_pending: bool,
    is_ended: bool,
}

impl Model {
    fn new() -> Model {
        let mut progress = ResponseProgress::default();
        progress.begin_request();
        progress.hand_over_stream();
        let buffered = HEAD_BYTES;
        Model { progress, buffered, received: 0, is_break_pending: false, is_ended: false }
    }

    fn play(&mut self, step: Step) {
        let is_over = self.is_break_pending || self.is_ended;
        match step {
            Step::Part(bytes) if !is_over && self.progress.has_room() => {
                self.progress.hand_part(bytes);
                self.buffered += bytes;
            }
            Step::Break if !is_over => self.is_break_pending = true,
            Step::End if !is_over => {
                self.progress.end_stream();
                self.is_ended = true;
                self.write(0);
            }
            Step::Write(most) => self.write(most),
            _ => {}
        }
        if self.is_break_pending && self.progress.is_flushed() {
            self.progress.break_off();
        }
    }

    fn write(&mut self, most: usize) {
        let count = most.min(self.buffered);
        self.progress.record_accepted(count);
        (self.buffered, self.received) = (self.buffered - count, self.received + count);
        if self.buffered == 0 {
            self.progress.record_flushed();
        }
    }

    fn check(&self) {
        let state = self.progress.state();
        let expected_to_have_begun =
            matches!(state, ResponseState::Begun | ResponseState::Complete | ResponseState::BrokenOff);
        assert_eq!(self.received > 0, expected_to_have_begun, "{state:?}, {} bytes", self.received);
        assert_eq!(self.progress.accepted(), self.received as u64);
        if matches!(state, ResponseState::Complete | ResponseState::BrokenOff) {
            assert_eq!(self.buffered, 0, "{state:?} with bytes that the client has not got");
        }
        assert_eq!(state == ResponseState::Complete, self.is_ended && self.buffered == 0);
        assert_eq!(self.progress.is_open(), state != ResponseState::Complete);
    }
}

proptest! {
    #![proptest_config(fixed_seed_config(2_000))]

    /// Guards against a response that counts as begun or broken off before its client has got what was handed over.
    #[test]
    fn response_moves_only_as_the_socket_accepts_bytes(steps in prop::collection::vec(step(), 1..40)) {
        let mut model = Model::new();
        for step in steps {
            model.play(step);
            model.check();
        }
    }
}

/// Guards against `100 Continue` that counts as the begin of the response.
#[test]
fn bytes_before_the_response_are_not_counted() {
    let mut progress = ResponseProgress::default();
    progress.begin_request();
    progress.record_accepted(25);
    progress.record_flushed();
    assert_eq!((progress.state(), progress.accepted()), (ResponseState::NothingWritten, 0));
    progress.hand_over_whole();
    progress.record_accepted(HEAD_BYTES);
    assert_eq!(progress.record_flushed(), Flushed::Response);
}
