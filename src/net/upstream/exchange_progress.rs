//! How far the exchange of a request on a connection has come, and what follows for its request if it breaks off.

use std::sync::{Mutex, MutexGuard, PoisonError};

use sedgestack::Outcome;

/// Length of the blank line that ends a head, with the line break before it.
const HEAD_END_BYTES: u64 = 4;

/// How far the exchange of the request under way has come, by the bytes that the socket took and gave.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum ExchangeState {
    /// The socket has taken no byte of the request.
    #[default]
    NothingWritten,
    /// The socket has taken a part of the request, without its last byte.
    PartlyWritten,
    /// The socket has taken the last byte of the request.
    WrittenWhole,
    /// The head of the answer was read, its last byte was not.
    AnswerBegun,
    /// The answer was read to its last byte.
    Answered,
}

impl ExchangeState {
    /// Whether the backend may have run the request. Every outcome by which a request may be repeated goes by this.
    pub(super) fn may_have_run(self) -> bool {
        match self {
            ExchangeState::NothingWritten | ExchangeState::PartlyWritten => false,
            // An answer that has begun shows that the backend took the request up, however much of it was written.
            ExchangeState::WrittenWhole | ExchangeState::AnswerBegun | ExchangeState::Answered => true,
        }
    }
}

/// The progress of the request under way on a connection.
///
/// # Invariant
///
/// "Could not connect" ([`Outcome::ConnectFailed`]: the request can't have run, so that it may be repeated) is said only
/// where the socket has not taken the last byte of the request and no answer to it has begun. Otherwise the exchange was
/// reset ([`Outcome::Reset`]) or timed out ([`Outcome::TimedOut`]): the request may have run.
///
/// It holds because
/// - the state belongs to one request: [`ExchangeProgress::begin_request`] is called before the client library gets it,
///   and only once the answer to the one before was read;
/// - within a request the state only moves forward;
/// - only bytes that the socket took are recorded, each after the call that wrote it;
/// - a backend runs a request only once all of it has come;
/// - an exchange that was given up writes no further byte ([`ExchangeProgress::abandon`]), so that what was proved
///   stays true.
#[derive(Debug, Default)]
pub(super) struct ExchangeProgress {
    exchange: Mutex<Exchange>,
}

#[derive(Debug, Default)]
struct Exchange {
    state: ExchangeState,
    written: WrittenBytes,
    /// Length of the body of the request under way.
    body_length: u64,
    /// Requests begun on the connection, the one under way included.
    requests: u64,
    /// Given up: not a byte more is written.
    is_abandoned: bool,
}

impl ExchangeProgress {
    fn exchange(&self) -> MutexGuard<'_, Exchange> {
        self.exchange.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The state of the request under way.
    pub(super) fn state(&self) -> ExchangeState {
        self.exchange().state
    }

    /// A request with a body of this length is given to the connection.
    pub(super) fn begin_request(&self, body_length: u64) {
        let mut exchange = self.exchange();
        exchange.state = ExchangeState::NothingWritten;
        exchange.written = WrittenBytes::default();
        exchange.body_length = body_length;
        exchange.requests += 1;
    }

    /// The socket took these bytes of the request under way.
    pub(super) fn record_written(&self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        let mut exchange = self.exchange();
        exchange.written.record(bytes);
        if !exchange.state.may_have_run() {
            let is_whole = exchange.written.is_whole(exchange.body_length);
            exchange.state =
                if is_whole { ExchangeState::WrittenWhole } else { ExchangeState::PartlyWritten };
        }
    }

    /// The head of the answer was read.
    pub(super) fn record_answer_begun(&self) {
        self.exchange().state = ExchangeState::AnswerBegun;
    }

    /// The answer was read to its last byte.
    pub(super) fn record_answered(&self) {
        self.exchange().state = ExchangeState::Answered;
    }

    /// Gives the exchange up: from now on nothing is written.
    pub(super) fn abandon(&self) {
        self.exchange().is_abandoned = true;
    }

    /// Guards graceful shutdowns: a request that waited for its connection while the backend began to drain must not
    /// begin to be written. Its attempt ends as never sent.
    pub(super) fn may_write(&self, backend_closed: bool) -> bool {
        let exchange = self.exchange();
        let begins = exchange.state == ExchangeState::NothingWritten;
        !(exchange.is_abandoned || (backend_closed && begins))
    }

    /// Whether the connection served requests before, and has taken no byte of the one under way.
    pub(super) fn is_unwritten_on_reused_connection(&self) -> bool {
        let exchange = self.exchange();
        exchange.requests > 1 && exchange.state == ExchangeState::NothingWritten
    }

    /// Whether the socket took the last byte of the request under way.
    pub(super) fn is_written_whole(&self) -> bool {
        let exchange = self.exchange();
        exchange.written.is_whole(exchange.body_length)
    }

    /// How an attempt ends whose exchange broke off.
    pub(super) fn outcome_of_break(&self) -> Outcome {
        if self.state().may_have_run() {
            Outcome::Reset
        } else {
            Outcome::ConnectFailed
        }
    }

    /// How an attempt ends whose exchange was given up at its deadline.
    pub(super) fn outcome_at_deadline(&self) -> Outcome {
        if self.state().may_have_run() {
            Outcome::TimedOut
        } else {
            Outcome::ConnectFailed
        }
    }
}

/// What the socket took of a request.
#[derive(Debug, Default)]
struct WrittenBytes {
    /// How much of the blank line after the head.
    head_end: u64,
    /// How much of the body.
    body: u64,
}

impl WrittenBytes {
    fn record(&mut self, bytes: &[u8]) {
        let (head_end, body) = match_head_end(self.head_end, bytes);
        self.head_end = head_end;
        self.body += body.len() as u64;
    }

    fn is_whole(&self, body_length: u64) -> bool {
        self.head_end == HEAD_END_BYTES && self.body >= body_length
    }
}

/// Looks for the blank line that ends a head, of which `matched` bytes came before: how many of its bytes have come
/// after `bytes`, and what of `bytes` is body.
fn match_head_end(mut matched: u64, bytes: &[u8]) -> (u64, &[u8]) {
    let mut rest = bytes;
    while let (Some((byte, after)), true) = (rest.split_first(), matched < HEAD_END_BYTES) {
        let expected = if matched.is_multiple_of(2) { b'\r' } else { b'\n' };
        matched = match *byte {
            b if b == expected => matched + 1,
            b'\r' => 1,
            _ => 0,
        };
        rest = after;
    }
    (matched, rest)
}

#[cfg(test)]
mod tests;
