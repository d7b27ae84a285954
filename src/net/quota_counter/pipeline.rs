//! The calls in flight on one connection to the quota counter. The I/O itself is done elsewhere.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use sedgestack::Outcome;
use tokio::time::Instant;

use super::protocol::{add_line, Answer, ProtocolError, MAX_LINE_BYTES, PING_LINE};
use super::CounterCall;
use crate::net::control::message::CounterReply;

/// Time without received bytes after which a connection with outstanding answers has failed. A machine that is lost
/// never sends a reset.
pub(super) const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Interval at which an idle connection is pinged. The counter closes idle connections after 10 s or less.
const PING_INTERVAL: Duration = Duration::from_millis(2_000);

/// A sent or queued line whose answer is outstanding.
struct PendingLine {
    kind: LineKind,
    /// Number of bytes queued on this connection up to and including this line.
    end_offset: u64,
}

/// The kind of a pending line. Answers arrive in the order of the lines, so an expired call stays pending until its
/// answer arrives.
enum LineKind {
    Ping,
    Call(CounterCall),
    ExpiredCall,
}

impl LineKind {
    /// Returns the call if it still needs a reply.
    fn open_call(&self) -> Option<&CounterCall> {
        match self {
            LineKind::Call(call) => Some(call),
            LineKind::Ping | LineKind::ExpiredCall => None,
        }
    }
}

/// The calls pipelined on a connection: output to be written, and lines whose answers are outstanding.
pub(super) struct CallPipeline {
    pending: VecDeque<PendingLine>,
    output: BytesMut,
    /// Number of bytes queued in `output` since the connection was opened.
    queued_bytes: u64,
    /// Number of bytes written from `output` since the connection was opened.
    written_bytes: u64,
    input: BytesMut,
    /// When bytes were last received, or a line was queued while none was pending.
    silent_since: Instant,
}

impl CallPipeline {
    /// Creates the pipeline of a newly opened connection.
    pub(super) fn new(now: Instant) -> CallPipeline {
        CallPipeline {
            pending: VecDeque::new(),
            output: BytesMut::new(),
            queued_bytes: 0,
            written_bytes: 0,
            input: BytesMut::new(),
            silent_since: now,
        }
    }

    /// Returns the bytes to be written.
    pub(super) fn output(&self) -> &[u8] {
        &self.output
    }

    /// Whether no answer is outstanding.
    pub(super) fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    fn push_line(&mut self, line: &str, kind: LineKind, now: Instant) {
        if self.is_idle() {
            self.silent_since = now;
        }
        self.output.extend_from_slice(line.as_bytes());
        self.queued_bytes += line.len() as u64;
        self.pending.push_back(PendingLine { kind, end_offset: self.queued_bytes });
    }

    /// Queues a call.
    pub(super) fn push_call(&mut self, call: CounterCall, now: Instant) {
        let time_to_live_ms = (call.lifetime / 1000).max(1);
        let line = add_line(call.name, call.amount, time_to_live_ms);
        self.push_line(&line, LineKind::Call(call), now);
    }

    /// Queues a ping.
    pub(super) fn push_ping(&mut self, now: Instant) {
        self.push_line(PING_LINE, LineKind::Ping, now);
    }

    /// Records that the first `bytes` bytes of the output were written.
    pub(super) fn record_written(&mut self, bytes: usize) {
        self.output.advance(bytes);
        self.written_bytes += bytes as u64;
    }

    /// Processes received bytes and appends the replies that they complete to `replies`.
    ///
    /// # Errors
    /// Returns an error if the bytes are not valid answers to the pending lines. The connection must then be closed.
    pub(super) fn receive(
        &mut self,
        bytes: &[u8],
        now: Instant,
        replies: &mut Vec<CounterReply>,
    ) -> Result<(), ProtocolError> {
        self.silent_since = now;
        self.input.extend_from_slice(bytes);
        while let Some(end) = self.input.iter().position(|byte| *byte == b'\n') {
            let line = self.input.split_to(end + 1);
            let line = std::str::from_utf8(&line).map_err(|_| ProtocolError::NotText)?.trim_end();
            replies.extend(self.receive_line(line)?);
        }
        if self.input.len() > MAX_LINE_BYTES {
            return Err(ProtocolError::LineTooLong);
        }
        Ok(())
    }

    /// Matches an answer to the oldest pending line. Returns the reply if its call still needs one.
    fn receive_line(&mut self, line: &str) -> Result<Option<CounterReply>, ProtocolError> {
        let oldest = self.pending.front();
        let oldest = oldest.ok_or_else(|| ProtocolError::Unsolicited { line: line.to_string() })?;
        let is_ping = matches!(oldest.kind, LineKind::Ping);
        let (outcome, total) = match Answer::parse(line) {
            Some(Answer::Total(total)) if !is_ping => (Outcome::Ok, Some(total)),
            Some(Answer::Rejected) => (Outcome::Rejected, None),
            Some(Answer::Pong) if is_ping => (Outcome::Ok, None),
            // The line stays pending, so that closing the connection determines the outcome of its call.
            _ => return Err(ProtocolError::UnknownAnswer { line: line.to_string() }),
        };
        let reply = oldest.kind.open_call().map(|call| CounterReply { name: call.name, outcome, total });
        self.pending.pop_front();
        Ok(reply)
    }

    /// Times out the calls whose deadline has passed.
    pub(super) fn expire_calls(&mut self, now: Instant, replies: &mut Vec<CounterReply>) {
        for line in &mut self.pending {
            if let Some(call) = line.kind.open_call().filter(|call| call.deadline <= now) {
                replies.push(CounterReply { name: call.name, outcome: Outcome::TimedOut, total: None });
                line.kind = LineKind::ExpiredCall;
            }
        }
    }

    /// Appends replies to the calls in flight on a connection that failed. A call that was not fully written has not
    /// been executed; any other call may have been.
    pub(super) fn close(self, replies: &mut Vec<CounterReply>) {
        for line in &self.pending {
            if let Some(call) = line.kind.open_call() {
                let is_written = line.end_offset <= self.written_bytes;
                let outcome = if is_written { Outcome::TimedOut } else { Outcome::ConnectFailed };
                replies.push(CounterReply { name: call.name, outcome, total: None });
            }
        }
    }

    /// Returns the deadline of the call that expires next.
    pub(super) fn next_deadline(&self) -> Option<Instant> {
        self.pending.iter().filter_map(|line| line.kind.open_call()).map(|call| call.deadline).min()
    }

    /// Returns the time at which, if no bytes are received before, the connection has failed or an idle one must be
    /// pinged.
    pub(super) fn silence_deadline(&self) -> Instant {
        self.silent_since + if self.is_idle() { PING_INTERVAL } else { SILENCE_TIMEOUT }
    }

    /// Returns the time at which [`super::connection::on_wakeup`] must run if nothing happens on the connection.
    pub(super) fn next_wakeup(&self) -> Instant {
        let silence = self.silence_deadline();
        self.next_deadline().map_or(silence, |deadline| deadline.min(silence))
    }
}
