//! How scripted backends react to requests.

use sedgestack::Outcome;

/// How a scripted backend reacts to a request. The variant's name is the path of the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum BackendBehavior {
    Serve,
    Reject,
    PlainUnavailable,
    Error,
    CloseUnanswered,
    ClosePartway,
    Silent,
    /// Sends a response head and part of its body, and then nothing more.
    StallPartway,
    Cancel,
    // Valid responses with unusual headers, or with bytes before or after them.
    InformationalFirst,
    MalformedHeaders,
    ExtraBytes,
    DuplicateResponse,
    // Malformed responses on a connection that stays open.
    NotHttp,
    EndlessHead,
    OversizedBody,
    ConflictingLengths,
    ConflictingFraming,
    NegativeLength,
}
use BackendBehavior::*;

pub(super) const ALL: [BackendBehavior; 19] = [
    Serve,
    Reject,
    PlainUnavailable,
    Error,
    CloseUnanswered,
    ClosePartway,
    Silent,
    StallPartway,
    Cancel,
    InformationalFirst,
    MalformedHeaders,
    ExtraBytes,
    DuplicateResponse,
    NotHttp,
    EndlessHead,
    OversizedBody,
    ConflictingLengths,
    ConflictingFraming,
    NegativeLength,
];

impl BackendBehavior {
    pub(super) fn response(self) -> &'static [u8] {
        match self {
            Serve => b"HTTP/1.1 200 OK\r\nX-Load: util=0.5\r\nContent-Length: 2\r\n\r\nok",
            Reject => b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
            PlainUnavailable => b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
            Error => b"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n",
            ClosePartway | StallPartway => b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nha",
            CloseUnanswered | Silent | Cancel => b"",
            InformationalFirst => {
                b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n\
                HTTP/1.1 200 OK\r\nX-Load: util=0.5\r\nContent-Length: 2\r\n\r\nok"
            }
            MalformedHeaders => {
                b"HTTP/1.1 200 OK\r\nX-Load: util=much\r\nX-Meter: NaN\r\nX-Settled: inf\r\n\
                Content-Length: 2\r\n\r\nok"
            }
            ExtraBytes => b"HTTP/1.1 200 OK\r\nX-Load: util=0.5\r\nContent-Length: 2\r\n\r\nok\x07\x00noise",
            DuplicateResponse => {
                b"HTTP/1.1 200 OK\r\nX-Load: util=0.5\r\nContent-Length: 2\r\n\r\nok\
                HTTP/1.1 200 OK\r\nX-Load: util=0.5\r\nContent-Length: 2\r\n\r\nok"
            }
            NotHttp => b"\x16\x03\x01 no answer at all\r\n\r\n",
            EndlessHead => b"HTTP/1.1 200 OK\r\nX-More: and more",
            OversizedBody => b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nand more",
            ConflictingLengths => b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
            ConflictingFraming => {
                b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n\
                2\r\nok\r\n0\r\n\r\n"
            }
            NegativeLength => b"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok",
        }
    }

    /// The expected outcome, and whether the connection can be reused.
    pub(super) fn expected(self) -> (Outcome, bool) {
        match self {
            Serve => (Outcome::Ok, true),
            Reject => (Outcome::Rejected, true),
            PlainUnavailable | Error => (Outcome::Error, true),
            InformationalFirst | MalformedHeaders => (Outcome::Ok, true),
            ExtraBytes | DuplicateResponse => (Outcome::Ok, false),
            NotHttp | EndlessHead | OversizedBody | ConflictingLengths | ConflictingFraming
            | NegativeLength => (Outcome::Reset, false),
            CloseUnanswered | ClosePartway => (Outcome::Reset, false),
            Silent | StallPartway => (Outcome::TimedOut, false),
            Cancel => (Outcome::Canceled, false),
        }
    }
}
