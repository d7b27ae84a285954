//! The progress of the current exchange on a connection, and the outcome of its attempt if the exchange breaks.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sedgestack::Outcome;
use tokio::time::Instant;

/// Length of the `\r\n\r\n` that ends a head.
const HEAD_END_BYTES: u64 = 4;

/// The stage of the current exchange, derived from the bytes that were written to and read from the socket.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum ExchangeState {
    /// The socket has accepted no byte of the request.
    #[default]
    NothingWritten,
    /// The socket has accepted part of the request, but not its last byte.
    PartlyWritten,
    /// The socket has accepted the last byte of the request.
    FullyWritten,
    /// The head of the response has been read, but not its last byte.
    ResponseStarted,
    /// The response has been read to its last byte.
    ResponseComplete,
}

impl ExchangeState {
    /// Whether the backend may have run the request. All outcomes that allow a request to be repeated depend on this.
    pub(super) fn may_have_run(self) -> bool {
        match self {
            ExchangeState::NothingWritten | ExchangeState::PartlyWritten => false,
            // A response shows that the backend is processing the request, however much of the request was written.
            ExchangeState::FullyWritten
            | ExchangeState::ResponseStarted
            | ExchangeState::ResponseComplete => true,
        }
    }
}

/// The progress of the current request on a connection.
///
/// # Invariant
///
/// [`Outcome::ConnectFailed`], which means that the request cannot have run and may be repeated, is reported only if
/// the socket has not accepted the last byte of the request and no response to it has started. In all other cases the
/// outcome is [`Outcome::Reset`] or [`Outcome::TimedOut`]: the request may have run.
///
/// The invariant holds because
/// - the state belongs to a single request: [`ExchangeProgress::begin_request`] is called before the HTTP library
///   receives the request, and only after the response to the previous request has been read;
/// - while a request is in progress, the state only moves forward;
/// - only bytes that the socket accepted are recorded, each after the call that wrote it;
/// - a backend runs a request only after it has received all of it;
/// - an abandoned exchange writes no further byte ([`ExchangeProgress::abandon`]), so the outcome stays valid.
#[derive(Debug, Default)]
pub(super) struct ExchangeProgress {
    exchange: Mutex<Exchange>,
}

#[derive(Debug, Default)]
struct Exchange {
    state: ExchangeState,
    written: WrittenBytes,
    /// Body length of the current request.
    body_length: u64,
    /// Number of requests started on the connection, including the current one.
    request_count: u64,
    /// The exchange was abandoned: no further byte may be written.
    is_abandoned: bool,
    answer: AnswerProgress,
}

/// How far the answer to the current request has come.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AnswerProgress {
    /// Bytes of the body that have been read.
    pub(super) body_bytes: u64,
    /// Until when an answer under way counts as making progress: the attempt's timeout does not cut it off before. `None`
    /// while no answer is under way.
    pub(super) progressing_until: Option<Instant>,
}

impl ExchangeProgress {
    fn exchange(&self) -> MutexGuard<'_, Exchange> {
        self.exchange.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The state of the current exchange.
    pub(super) fn state(&self) -> ExchangeState {
        self.exchange().state
    }

    /// Starts a new exchange for a request with a body of `body_length` bytes.
    pub(super) fn begin_request(&self, body_length: u64) {
        let mut exchange = self.exchange();
        exchange.state = ExchangeState::NothingWritten;
        exchange.written = WrittenBytes::default();
        exchange.body_length = body_length;
        exchange.answer = AnswerProgress::default();
        exchange.request_count += 1;
    }

    /// Records that the socket accepted these bytes of the current request.
    pub(super) fn record_written(&self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        let mut exchange = self.exchange();
        exchange.written.record(bytes);
        if !exchange.state.may_have_run() {
            let is_complete = exchange.written.is_complete(exchange.body_length);
            exchange.state =
                if is_complete { ExchangeState::FullyWritten } else { ExchangeState::PartlyWritten };
        }
    }

    /// Records that the head of the response was read.
    pub(super) fn record_response_started(&self) {
        self.exchange().state = ExchangeState::ResponseStarted;
    }

    /// Records that the response was read to its last byte.
    pub(super) fn record_response_complete(&self) {
        self.exchange().state = ExchangeState::ResponseComplete;
    }

    /// Records that `count` bytes of an answer's body were read, after which it may be silent for `max_silence`.
    pub(super) fn record_answer_part(&self, count: usize, max_silence: Duration) {
        let mut exchange = self.exchange();
        exchange.answer.body_bytes += count as u64;
        exchange.answer.progressing_until = Some(Instant::now() + max_silence);
    }

    /// How far the answer has come.
    pub(super) fn answer(&self) -> AnswerProgress {
        self.exchange().answer
    }

    /// Bytes of the request's body that the socket has accepted.
    pub(super) fn written_body_bytes(&self) -> u64 {
        self.exchange().written.body
    }

    /// Abandons the exchange: nothing more is written on this connection.
    pub(super) fn abandon(&self) {
        self.exchange().is_abandoned = true;
    }

    /// Whether bytes of the current request may be written. If the backend was closed, for example because it started
    /// to drain while the request waited for its connection, a request of which nothing was written must not be sent;
    /// its attempt ends with [`Outcome::NotSent`].
    pub(super) fn may_write(&self, backend_closed: bool) -> bool {
        let exchange = self.exchange();
        let is_unstarted = exchange.state == ExchangeState::NothingWritten;
        !(exchange.is_abandoned || (backend_closed && is_unstarted))
    }

    /// Whether the connection has carried earlier requests and has accepted no byte of the current one.
    pub(super) fn is_unwritten_on_reused_connection(&self) -> bool {
        let exchange = self.exchange();
        exchange.request_count > 1 && exchange.state == ExchangeState::NothingWritten
    }

    /// Number of requests started on the connection.
    pub(super) fn request_count(&self) -> u64 {
        self.exchange().request_count
    }

    /// Whether the socket has accepted the last byte of the current request.
    pub(super) fn is_fully_written(&self) -> bool {
        let exchange = self.exchange();
        exchange.written.is_complete(exchange.body_length)
    }

    /// The outcome of the attempt if its exchange breaks now.
    pub(super) fn outcome_of_broken_exchange(&self) -> Outcome {
        if self.state().may_have_run() {
            Outcome::Reset
        } else {
            Outcome::ConnectFailed
        }
    }

    /// The outcome of the attempt if its deadline passes now.
    pub(super) fn outcome_at_deadline(&self) -> Outcome {
        if self.state().may_have_run() {
            Outcome::TimedOut
        } else {
            Outcome::ConnectFailed
        }
    }
}

/// The part of a request that the socket has accepted.
#[derive(Debug, Default)]
struct WrittenBytes {
    /// Bytes of the `\r\n\r\n` after the head that have been matched.
    head_end: u64,
    /// Bytes of the body that were accepted.
    body: u64,
}

impl WrittenBytes {
    fn record(&mut self, bytes: &[u8]) {
        let (head_end, body) = match_head_end(self.head_end, bytes);
        self.head_end = head_end;
        self.body += body.len() as u64;
    }

    fn is_complete(&self, body_length: u64) -> bool {
        self.head_end == HEAD_END_BYTES && self.body >= body_length
    }
}

/// Searches `bytes` for the `\r\n\r\n` that ends a head; `matched` bytes of it were found before. Returns the number of
/// its bytes found so far, and the part of `bytes` that belongs to the body.
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
