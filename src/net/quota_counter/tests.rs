//! The call pipeline of a connection to the quota counter, compared with a model.

use std::collections::VecDeque;

use proptest::prelude::*;

use super::pipeline::{CallPipeline, SILENCE_TIMEOUT};
use super::*;
use crate::net::fixed_seed_config;

/// Time after which a call expires in these tests.
const CALL_TIMEOUT: Duration = Duration::from_millis(30);

#[derive(Clone, Debug)]
enum Step {
    Call,
    Ping,
    /// At most this many bytes are written.
    Write(usize),
    /// The oldest line, if it was fully written, is answered in two parts.
    Answer {
        busy: bool,
        split_at: usize,
    },
    PassMillis(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => Just(Step::Call),
        1 => Just(Step::Ping),
        3 => (1usize..60).prop_map(Step::Write),
        3 => (any::<bool>(), 0usize..6).prop_map(|(busy, split_at)| Step::Answer { busy, split_at }),
        2 => (1u64..40).prop_map(Step::PassMillis),
    ]
}

/// A line whose answer is outstanding in the model.
#[derive(Clone, Copy)]
struct PendingLine {
    /// `None` for a ping.
    call: Option<CounterName>,
    end_offset: u64,
    /// The deadline of a call that has not expired.
    deadline: Option<Instant>,
}

/// A pipeline with a model of its expected replies.
struct Harness {
    now: Instant,
    pipeline: CallPipeline,
    pending: VecDeque<PendingLine>,
    calls: u64,
    queued_bytes: u64,
    written_bytes: u64,
    total: f64,
    replies: Vec<CounterReply>,
    expected: Vec<CounterReply>,
}

impl Harness {
    fn new() -> Harness {
        let now = Instant::now();
        Harness {
            now,
            pipeline: CallPipeline::new(now),
            pending: VecDeque::new(),
            calls: 0,
            queued_bytes: 0,
            written_bytes: 0,
            total: 0.0,
            replies: Vec::new(),
            expected: Vec::new(),
        }
    }

    fn run(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Call => self.call(),
            Step::Ping => self.ping(),
            Step::Write(max_bytes) => self.write(max_bytes),
            Step::Answer { busy, split_at } => return self.answer(busy, split_at),
            Step::PassMillis(millis) => self.pass(Duration::from_millis(millis)),
        }
        Ok(())
    }

    fn call(&mut self) {
        self.calls += 1;
        let (name, deadline) = (self.calls, self.now + CALL_TIMEOUT);
        self.pipeline.push_call(CounterCall { name, amount: -2.5, lifetime: 4_000_000, deadline }, self.now);
        self.queued_bytes += format!("add {name} -2.5 4000\r\n").len() as u64;
        let end_offset = self.queued_bytes;
        self.pending.push_back(PendingLine { call: Some(name), end_offset, deadline: Some(deadline) });
    }

    fn ping(&mut self) {
        self.pipeline.push_ping(self.now);
        self.queued_bytes += 6;
        self.pending.push_back(PendingLine { call: None, end_offset: self.queued_bytes, deadline: None });
    }

    fn write(&mut self, max_bytes: usize) {
        let bytes = max_bytes.min(self.pipeline.output().len());
        self.pipeline.record_written(bytes);
        self.written_bytes += bytes as u64;
    }

    fn answer(&mut self, busy: bool, split_at: usize) -> Result<(), TestCaseError> {
        let written = self.written_bytes;
        let Some(line) = self.pending.front().copied().filter(|line| line.end_offset <= written) else {
            return Ok(());
        };
        self.pending.pop_front();
        self.total += 1.0;
        let (text, outcome, total) = match (line.call, busy) {
            (None, _) => ("pong\r\n".to_string(), Outcome::Ok, None),
            (_, true) => ("busy\r\n".to_string(), Outcome::Rejected, None),
            (_, false) => (format!("ok {}\r\n", self.total), Outcome::Ok, Some(self.total)),
        };
        let (first, second) = text.as_bytes().split_at(split_at);
        prop_assert_eq!(self.pipeline.receive(first, self.now, &mut self.replies), Ok(()));
        prop_assert_eq!(self.pipeline.receive(second, self.now, &mut self.replies), Ok(()));
        if let (Some(name), Some(_)) = (line.call, line.deadline) {
            self.expected.push(CounterReply { name, outcome, total });
        }
        Ok(())
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
        self.pipeline.expire_calls(self.now, &mut self.replies);
        for line in &mut self.pending {
            let expired = line.deadline.take_if(|deadline| *deadline <= self.now);
            if let (Some(name), Some(_)) = (line.call, expired) {
                self.expected.push(CounterReply { name, outcome: Outcome::TimedOut, total: None });
            }
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        prop_assert_eq!(&self.replies, &self.expected);
        let next_deadline = self.pending.iter().filter_map(|line| line.deadline).min();
        prop_assert_eq!(self.pipeline.next_deadline(), next_deadline);
        prop_assert!(
            self.pending.is_empty() || self.pipeline.silence_deadline() <= self.now + SILENCE_TIMEOUT
        );
        Ok(())
    }

    fn close(mut self) -> Result<(), TestCaseError> {
        self.pipeline.close(&mut self.replies);
        for line in self.pending.iter().filter(|line| line.deadline.is_some()) {
            let is_written = line.end_offset <= self.written_bytes;
            let outcome = if is_written { Outcome::TimedOut } else { Outcome::ConnectFailed };
            self.expected.push(CounterReply { name: line.call.unwrap_or(0), outcome, total: None });
        }
        prop_assert_eq!(self.replies, self.expected);
        Ok(())
    }
}

proptest! {
    #![proptest_config(fixed_seed_config(512))]
    /// Each call gets one reply in order, with the outcome that follows from the answers and the bytes written.
    #[test]
    fn each_call_gets_one_reply_with_the_proven_outcome(steps in prop::collection::vec(step(), 1..60)) {
        let mut harness = Harness::new();
        for step in &steps {
            harness.run(step)?;
            harness.check()?;
        }
        harness.close()?;
    }
}

#[test]
fn unsolicited_or_malformed_answer_is_an_error_and_loses_no_call() {
    let now = Instant::now();
    let mut replies = Vec::new();
    assert!(CallPipeline::new(now).receive(b"ok 1\r\n", now, &mut replies).is_err());
    for malformed in ["okay\r\n", "ok NaN\r\n", "pong\r\n"] {
        let mut pipeline = CallPipeline::new(now);
        pipeline.push_call(CounterCall { name: 7, amount: 1.0, lifetime: 1, deadline: now }, now);
        pipeline.record_written(pipeline.output().len());
        assert!(pipeline.receive(malformed.as_bytes(), now, &mut replies).is_err());
        pipeline.close(&mut replies);
        let lost = CounterReply { name: 7, outcome: Outcome::TimedOut, total: None };
        assert_eq!(std::mem::take(&mut replies), [lost]);
    }
}
