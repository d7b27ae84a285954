//! The line protocol between the limiter and the quota counter.

use sedgestack::CounterName;

/// Keeps an idle connection open. The counter answers `pong`.
pub(super) const PING_LINE: &str = "ping\r\n";
/// Maximum length of an answer, which bounds the memory used if a line never ends.
pub(super) const MAX_LINE_BYTES: usize = 256;

/// Why bytes received from the counter are invalid. The connection cannot be used after any of these errors, because
/// answers are matched to calls by their order alone.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum ProtocolError {
    #[error("answer is not valid UTF-8")]
    NotText,
    #[error("unexpected answer '{line}': no call is pending")]
    Unsolicited { line: String },
    #[error("invalid answer '{line}'")]
    UnknownAnswer { line: String },
    #[error("answer is too long")]
    LineTooLong,
}

/// An answer of the counter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Answer {
    /// The amount was added. Contains the new total.
    Total(f64),
    /// The call was not executed.
    Rejected,
    /// The answer to a ping.
    Pong,
}

impl Answer {
    /// Parses a line without its line ending. Returns `None` if it is not a valid answer.
    pub(super) fn parse(line: &str) -> Option<Answer> {
        match line {
            "pong" => return Some(Answer::Pong),
            "busy" | "error" => return Some(Answer::Rejected),
            _ if line.starts_with("error ") => return Some(Answer::Rejected),
            _ => {}
        }
        let total: f64 = line.strip_prefix("ok ")?.parse().ok()?;
        total.is_finite().then_some(Answer::Total(total))
    }
}

/// Returns the line that adds `amount` to the counter `name`. The service drops the counter `time_to_live_ms` after its
/// first use.
pub(super) fn add_line(name: CounterName, amount: f64, time_to_live_ms: u64) -> String {
    format!("add {name} {amount} {time_to_live_ms}\r\n")
}
