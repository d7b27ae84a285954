//! Answers that a backend breaks off, at every point of an answer.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::Rng;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::backend::reset;
use super::body::{content, AnswerRequest, Framing, FRAMINGS};

/// Lengths of answers that break off, in bytes: shorter and longer than what a limiter reads whole.
const LENGTHS: [std::ops::RangeInclusive<usize>; 3] = [2..=400, 401..=60_000, 60_001..=250_000];
/// Bytes of the body that come with the head, if an answer breaks off behind its first part.
const FIRST_PART: usize = 20;
/// Longest time from the last byte to the break, in milliseconds.
const MAX_GAP_MS: u64 = 5;
/// How long before the client's deadline a late answer begins at most, in milliseconds.
const MAX_TIME_LEFT_MS: u64 = 50;

/// Where an answer breaks off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakPoint {
    /// Behind its head.
    Head,
    /// Behind a few bytes of its body.
    FirstPart,
    /// In the middle of its body.
    WithinBody,
    /// Before what marks its end: the last chunk or the last byte.
    BeforeEnd,
    /// Behind its last byte: the answer is whole, where its end does not lie in that of the connection.
    BehindEnd,
}

const POINTS: [BreakPoint; 5] = [
    BreakPoint::Head,
    BreakPoint::FirstPart,
    BreakPoint::WithinBody,
    BreakPoint::BeforeEnd,
    BreakPoint::BehindEnd,
];

/// How an answer breaks off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BreakOff {
    /// Where.
    pub point: BreakPoint,
    /// Time from the request to the answer.
    pub delay: Duration,
    /// Time from the last byte that is written to the break.
    pub gap: Duration,
    /// Whether the connection is reset; otherwise it is closed.
    pub is_reset: bool,
}

impl BreakOff {
    /// Draws an answer that breaks off, to a client that waits for `deadline`.
    pub fn draw_answer(rng: &mut StdRng, deadline: Duration) -> AnswerRequest {
        let framing = *FRAMINGS.choose(rng).expect("there are framings");
        let lengths = LENGTHS.choose(rng).expect("there are lengths").clone();
        let (is_late, breaks_at_once) = (rng.random_bool(0.5), rng.random_bool(0.5));
        let time_left = Duration::from_millis(rng.random_range(0..=MAX_TIME_LEFT_MS));
        let break_off = BreakOff {
            point: *POINTS.choose(rng).expect("there are points"),
            delay: if is_late { deadline.saturating_sub(time_left) } else { Duration::ZERO },
            gap: Duration::from_millis(if breaks_at_once { 0 } else { rng.random_range(1..=MAX_GAP_MS) }),
            // A close is the sound end of a body without a length.
            is_reset: framing == Framing::UntilClose || rng.random_bool(0.5),
        };
        AnswerRequest { length: rng.random_range(lengths), framing, rate: 0, break_off: Some(break_off) }
    }

    /// Returns the part of a query that asks for this.
    pub fn query(&self) -> String {
        let point = POINTS.iter().position(|point| *point == self.point).unwrap_or(0);
        let (delay, gap) = (self.delay.as_millis(), self.gap.as_millis());
        format!("-{point}-{delay}-{gap}-{}", u8::from(self.is_reset))
    }

    /// Parses the numbers of a query.
    pub fn parse<'a>(mut parts: impl Iterator<Item = &'a str>) -> Option<BreakOff> {
        let point = *POINTS.get(parts.next()?.parse::<usize>().ok()?)?;
        let mut milliseconds = || Some(Duration::from_millis(parts.next()?.parse().ok()?));
        let (delay, gap) = (milliseconds()?, milliseconds()?);
        Some(BreakOff { point, delay, gap, is_reset: parts.next()? == "1" })
    }

    fn sent_bytes(&self, length: usize) -> usize {
        match self.point {
            BreakPoint::Head => 0,
            BreakPoint::FirstPart => FIRST_PART.min(length - 1),
            BreakPoint::WithinBody => length / 2,
            BreakPoint::BeforeEnd => length - 1,
            BreakPoint::BehindEnd => length,
        }
    }

    /// Writes the answer at once as far as it goes, and closes or resets the connection.
    ///
    /// # Errors
    /// If the connection ends before.
    pub async fn write(&self, stream: &mut TcpStream, answer: AnswerRequest) -> std::io::Result<()> {
        sleep(self.delay).await;
        let body = &content(answer.length)[..self.sent_bytes(answer.length)];
        let mut bytes = answer.head().into_bytes();
        match answer.framing {
            Framing::Chunked => write_chunks(&mut bytes, body, self.point),
            Framing::Length | Framing::UntilClose => bytes.extend_from_slice(body),
        }
        stream.write_all(&bytes).await?;
        // A timer takes a millisecond at least.
        if !self.gap.is_zero() {
            sleep(self.gap).await;
        }
        if self.is_reset {
            reset(stream)?;
        }
        Ok(())
    }
}

/// Appends one chunk with `body`, and what follows it up to the point of the break.
fn write_chunks(bytes: &mut Vec<u8>, body: &[u8], point: BreakPoint) {
    if body.is_empty() {
        return;
    }
    // The chunk that breaks off is announced longer than it is.
    let missing = usize::from(point == BreakPoint::WithinBody);
    bytes.extend_from_slice(format!("{:x}\r\n", body.len() + missing).as_bytes());
    bytes.extend_from_slice(body);
    if point != BreakPoint::WithinBody {
        bytes.extend_from_slice(b"\r\n");
    }
    if point == BreakPoint::BehindEnd {
        bytes.extend_from_slice(b"0\r\n\r\n");
    }
}

#[cfg(test)]
mod tests;
