//! Long bodies of requests and answers, whose bytes show where any are missing, doubled or another body's.

use std::sync::LazyLock;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::Rng;

use super::broken_answer::BreakOff;

/// Length of the text that bodies repeat. It is prime, so that no part of a body occurs at another power of two.
const PERIOD: usize = 23;
/// Number of periods that are compared at once.
const TEXT_PERIODS: usize = 4_096;
/// Lengths of long answers, in bytes.
const ANSWER_LENGTHS: std::ops::RangeInclusive<usize> = 1..=1_500_000;
/// Lengths of answers that are written slowly, in bytes, and the rates, in kilobytes per second.
const SLOW_ANSWER_LENGTHS: std::ops::RangeInclusive<usize> = 70_000..=250_000;
const SLOW_ANSWER_RATES: std::ops::RangeInclusive<u64> = 40..=400;
/// Lengths of long request bodies, in bytes.
const REQUEST_LENGTHS: std::ops::RangeInclusive<usize> = 1..=500_000;
/// Probability that an answer or a request body is long, in a run that has long ones.
const LONG_PROBABILITY: f64 = 0.2;

/// How an answer marks its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By a `Content-Length`.
    Length,
    /// In chunks.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// All framings.
pub const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunked, Framing::UntilClose];

/// The answer that a client asks the backend for, in the query of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerRequest {
    /// Length of the body, in bytes.
    pub length: usize,
    /// How the backend marks its end.
    pub framing: Framing,
    /// Rate at which the backend writes it, in kilobytes per second; 0 for at once.
    pub rate: u64,
    /// How the backend breaks it off, if it does.
    pub break_off: Option<BreakOff>,
}

impl AnswerRequest {
    /// Draws a long answer, or none.
    pub fn draw(rng: &mut StdRng) -> Option<AnswerRequest> {
        rng.random_bool(LONG_PROBABILITY).then(|| {
            let is_slow = rng.random_bool(0.5);
            AnswerRequest {
                length: rng.random_range(if is_slow { SLOW_ANSWER_LENGTHS } else { ANSWER_LENGTHS }),
                framing: *FRAMINGS.choose(rng).expect("there are framings"),
                rate: if is_slow { rng.random_range(SLOW_ANSWER_RATES) } else { 0 },
                break_off: None,
            }
        })
    }

    /// Returns the query that asks for the answer.
    pub fn query(&self) -> String {
        let framing = FRAMINGS.iter().position(|framing| *framing == self.framing).unwrap_or(0);
        let break_off = self.break_off.map(|break_off| break_off.query()).unwrap_or_default();
        format!("?answer={}-{framing}-{}{break_off}", self.length, self.rate)
    }

    /// Returns the head with which a backend answers.
    pub fn head(&self) -> String {
        let framing = match self.framing {
            Framing::Length => format!("Content-Length: {}\r\n", self.length),
            Framing::Chunked => "Transfer-Encoding: chunked\r\n".into(),
            Framing::UntilClose => "Connection: close\r\n".into(),
        };
        format!("HTTP/1.1 200 OK\r\n{framing}\r\n")
    }

    /// Parses the answer that a request line asks for.
    pub fn parse(request_line: &str) -> Option<AnswerRequest> {
        let (_, query) = request_line.split_once("?answer=")?;
        let mut parts = query.split(' ').next()?.split('-');
        let length = parts.next()?.parse().ok()?;
        let framing = *FRAMINGS.get(parts.next()?.parse::<usize>().ok()?)?;
        let rate = parts.next()?.parse().ok()?;
        Some(AnswerRequest { length, framing, rate, break_off: BreakOff::parse(parts) })
    }
}

/// Draws the length of a long request body, or none.
pub fn draw_request_length(rng: &mut StdRng) -> Option<usize> {
    rng.random_bool(LONG_PROBABILITY).then(|| rng.random_range(REQUEST_LENGTHS))
}

/// Many periods of the text that bodies repeat.
static TEXT: LazyLock<Vec<u8>> =
    LazyLock::new(|| (0..PERIOD * TEXT_PERIODS).map(|n| b'a' + (n % PERIOD) as u8).collect());

/// Returns a body of `length` bytes.
pub fn content(length: usize) -> Vec<u8> {
    let mut body = TEXT.repeat(length / TEXT.len());
    body.extend_from_slice(&TEXT[..length - body.len()]);
    body
}

/// Compares a body with [`content`] as its parts arrive.
#[derive(Debug, Default)]
pub struct ContentCheck {
    received: usize,
    is_different: bool,
}

impl ContentCheck {
    /// Takes the next part of the body.
    pub fn update(&mut self, part: &[u8]) {
        let mut rest = part;
        while !rest.is_empty() {
            let expected = &TEXT[self.received % PERIOD..];
            let (next, after) = rest.split_at(rest.len().min(expected.len()));
            self.is_different |= next != &expected[..next.len()];
            self.received += next.len();
            rest = after;
        }
    }

    /// Whether the parts are exactly the body of `length` bytes.
    pub fn is_whole(&self, length: usize) -> bool {
        !self.is_different && self.received == length
    }

    /// Number of bytes received.
    pub fn received(&self) -> usize {
        self.received
    }
}
