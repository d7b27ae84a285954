//! How far the response to the current request has come on its way to the client.

use crate::net::streamed_body::MAX_UNWRITTEN_BYTES;

/// The stage of the current response, derived from the bytes that the client's socket accepted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum ResponseState {
    /// No complete request has been read yet.
    #[default]
    NotDue,
    /// A request was read, and the socket has accepted no byte of its response.
    NothingWritten,
    /// The socket has accepted part of the response.
    Begun,
    /// The socket has accepted the response to its last byte.
    Complete,
    /// The socket has accepted part of the response, and the rest will not come.
    BrokenOff,
}

/// Where the body of the current response comes from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum BodySource {
    /// The HTTP library has no response yet.
    #[default]
    None,
    /// The library has the whole body.
    Whole,
    /// The library asks for further parts.
    Streaming,
    /// The library has taken the last part of a streamed body.
    StreamEnded,
}

/// What has been written once everything that the HTTP library had has reached the socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Flushed {
    /// Nothing of a response, or of one that is broken off.
    Nothing,
    /// All that has come so far of a response that is passed on while it arrives.
    AllSoFar,
    /// The whole response.
    Response,
}

/// The progress of the current response on a client's connection.
///
/// # Invariant
///
/// While a request is open, the state only moves forward, and only as the socket accepts bytes:
/// `NothingWritten`, `Begun`, then `Complete` or `BrokenOff`. A response breaks off only after the socket has accepted
/// all that was handed to the HTTP library, so a client never loses the start of it, and a response of which nothing is
/// written is never broken off.
///
/// The invariant holds because
/// - [`ResponseProgress::record_accepted`] is called after the call that wrote the bytes, and counts only what is
///   written after the library has the response, which leaves out `100 Continue`;
/// - the library, which ends the connection at once on an error of a body, is told of a break only when
///   [`ResponseProgress::is_flushed`] holds;
/// - [`ResponseProgress::begin_request`] is called once for each request, after the response to the one before.
#[derive(Debug, Default)]
pub(super) struct ResponseProgress {
    state: ResponseState,
    source: BodySource,
    /// Bytes that the socket accepted, with framing.
    accepted: u64,
    /// Bytes of a streamed body that were handed to the library and not written, framing not subtracted.
    unwritten: usize,
    /// Whether the socket has accepted all that was handed to the library.
    is_flushed: bool,
}

impl ResponseProgress {
    /// Records that a request was read, whose response is due.
    pub(super) fn begin_request(&mut self) {
        *self = ResponseProgress { state: ResponseState::NothingWritten, ..ResponseProgress::default() };
    }

    /// Records that the library is about to be handed a response whose body follows in parts.
    pub(super) fn hand_over_stream(&mut self) {
        self.hand_over(BodySource::Streaming);
    }

    /// Records that the library was handed a response with its whole body, unless its body follows in parts.
    pub(super) fn hand_over_whole(&mut self) {
        if !self.is_streaming() {
            self.hand_over(BodySource::Whole);
        }
    }

    fn hand_over(&mut self, source: BodySource) {
        // A request that is malformed gets a response before it was read completely.
        if self.state != ResponseState::NothingWritten {
            self.begin_request();
        }
        self.source = source;
        self.is_flushed = false;
    }

    /// Records that the library was handed a part of a streamed body.
    pub(super) fn hand_part(&mut self, bytes: usize) {
        self.unwritten += bytes;
        self.is_flushed = false;
    }

    /// Records that the library has taken the last part of a streamed body.
    pub(super) fn end_stream(&mut self) {
        self.source = BodySource::StreamEnded;
        self.is_flushed = false;
    }

    /// Records that the rest of a streamed body will not come.
    pub(super) fn break_off(&mut self) {
        debug_assert!(self.is_flushed, "a response breaks off only after all of it was written");
        self.source = BodySource::None;
        if self.state == ResponseState::Begun {
            self.state = ResponseState::BrokenOff;
        }
    }

    /// Records that the socket accepted bytes. Returns whether room for a further part has come up.
    pub(super) fn record_accepted(&mut self, count: usize) -> bool {
        if self.source == BodySource::None || count == 0 {
            return false;
        }
        if self.state == ResponseState::NothingWritten {
            self.state = ResponseState::Begun;
        }
        self.accepted += count as u64;
        let had_room = self.has_room();
        self.unwritten = self.unwritten.saturating_sub(count);
        !had_room && self.has_room()
    }

    /// Records that everything handed to the library so far has reached the socket.
    pub(super) fn record_flushed(&mut self) -> Flushed {
        if self.state != ResponseState::Begun {
            return Flushed::Nothing;
        }
        self.is_flushed = true;
        self.unwritten = 0;
        match self.source {
            BodySource::None => Flushed::Nothing,
            BodySource::Streaming => Flushed::AllSoFar,
            BodySource::Whole | BodySource::StreamEnded => {
                self.state = ResponseState::Complete;
                Flushed::Response
            }
        }
    }

    /// The state of the current response.
    pub(super) fn state(&self) -> ResponseState {
        self.state
    }

    /// Bytes of the current response that the socket has accepted.
    pub(super) fn accepted(&self) -> u64 {
        self.accepted
    }

    /// Whether the body of the current response is passed on while it arrives.
    pub(super) fn is_streaming(&self) -> bool {
        self.source == BodySource::Streaming
    }

    /// Whether the socket has accepted all that was handed to the library.
    pub(super) fn is_flushed(&self) -> bool {
        self.is_flushed
    }

    /// Whether the library may be handed a further part.
    pub(super) fn has_room(&self) -> bool {
        self.unwritten < MAX_UNWRITTEN_BYTES
    }

    /// Whether a request was read whose response the client has not got completely.
    pub(super) fn is_open(&self) -> bool {
        !matches!(self.state, ResponseState::NotDue | ResponseState::Complete)
    }
}

#[cfg(test)]
mod tests;
