//! Reads the body of a response: a short one whole, of a long one the start, after which the rest is passed on while it
//! arrives.
//!
//! Whether a body without an announced length is long shows only as it arrives. Such a body is passed on before a clock
//! would throw it away: from a size, after a time, and at the latest shortly before the client's deadline. Until then its
//! request can still be sent again.

use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use axum::http::StatusCode;
use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use tokio::task::yield_now;
use tokio::time::Instant;

use super::exchange_progress::ExchangeProgress;
use crate::net::runtime::clock::sleep_until_some;
use crate::net::runtime::memory_budget::{BytePool, Reservation, GUARANTEED_BODY_BYTES};
use crate::net::streamed_body::{MAX_BODY_BYTES, MAX_WHOLE_BODY_BYTES, RESPONSE_STREAM_MEMORY_BYTES};

/// A body without an announced length is passed on once it has more bytes than this.
const PASS_ON_BYTES: usize = 16 << 10;
/// A body without an announced length is passed on with the first part that arrives this long after its first one.
const PASS_ON_TIME: Duration = Duration::from_millis(100);

/// The pause that shows a first part near the deadline to be under way, as a share of how early the deadline is near: a
/// short answer that breaks off mostly does so at once, and can be retried.
const PAUSE_DIVISOR: u32 = 8;
/// Turns of the runtime in which a break that has already arrived is read.
const TURNS_TO_READ_A_BREAK: usize = 2;

/// Time for which an answer that may be long may be silent before its attempt's timeout cuts it off, and a short one.
const MAX_SILENCE: Duration = Duration::from_secs(1);
const MAX_SILENCE_OF_SHORT_BODY: Duration = Duration::from_millis(250);

/// What was read of a response's body.
pub(super) enum ReadBody {
    Whole(Bytes),
    /// The start of a body that is passed on while it arrives.
    Long(LongBody),
    /// The body broke off, or is too long.
    Broken,
}

/// The start of a long body, and its rest.
pub(super) struct LongBody {
    pub(super) first: Bytes,
    pub(super) body: Incoming,
    pub(super) length: Option<u64>,
    pub(super) memory: Reservation,
    /// When the last part arrived, or the head if there was none.
    pub(super) last_part_at: Instant,
}

/// What the head of a response says about the length of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LengthClass {
    /// Short enough to be read whole, or not the body of an answer.
    Short,
    /// Not announced.
    Unannounced,
    /// Longer than is read whole.
    Long,
    /// Longer than the platform allows, or too long for an error.
    Excessive,
}

impl LengthClass {
    fn of(status: StatusCode, length: Option<u64>) -> LengthClass {
        match length {
            None if status == StatusCode::OK => LengthClass::Unannounced,
            None => LengthClass::Short,
            Some(length) if length <= MAX_WHOLE_BODY_BYTES as u64 => LengthClass::Short,
            Some(length) if length <= MAX_BODY_BYTES && status == StatusCode::OK => LengthClass::Long,
            Some(_) => LengthClass::Excessive,
        }
    }

    /// Time without a further part after which the attempt's timeout cuts the answer off. While a body that may be long
    /// is late, another attempt would mostly be late too; a short one can still be had from another backend.
    fn max_silence(self) -> Duration {
        if self.may_be_long() {
            MAX_SILENCE
        } else {
            MAX_SILENCE_OF_SHORT_BODY
        }
    }

    /// Whether the body may take longer than an attempt: it is passed on rather than cut off.
    fn may_be_long(self) -> bool {
        matches!(self, LengthClass::Unannounced | LengthClass::Long)
    }
}

/// The next frame of a body, an error if it broke off, or `None` at its end.
type NextFrame = Option<Result<Frame<Bytes>, hyper::Error>>;

/// Reads one response body.
pub(super) struct BodyReader<'a> {
    body: Incoming,
    length: Option<u64>,
    class: LengthClass,
    memory: &'a Arc<BytePool>,
    progress: &'a ExchangeProgress,
    collected: BytesMut,
    reservation: Option<Reservation>,
    first_part_at: Option<Instant>,
    last_part_at: Instant,
    /// Whether the client's deadline is near.
    is_deadline_near: bool,
}

impl<'a> BodyReader<'a> {
    pub(super) fn new(
        status: StatusCode,
        body: Incoming,
        memory: &'a Arc<BytePool>,
        progress: &'a ExchangeProgress,
    ) -> BodyReader<'a> {
        let length = body.size_hint().exact();
        BodyReader {
            body,
            length,
            class: LengthClass::of(status, length),
            memory,
            progress,
            collected: BytesMut::new(),
            reservation: None,
            first_part_at: None,
            last_part_at: Instant::now(),
            is_deadline_near: false,
        }
    }

    /// Reads the body whole, or until it is passed on. `deadline_near` completes `margin` before the client's deadline.
    pub(super) async fn read(
        mut self,
        deadline_near: impl Future<Output = ()>,
        margin: Duration,
    ) -> ReadBody {
        if self.class == LengthClass::Excessive {
            return ReadBody::Broken;
        }
        if self.class.may_be_long() {
            self.progress.record_answer_part(0, self.class.max_silence());
        }
        let mut deadline_near = pin!(deadline_near);
        let pause = margin / PAUSE_DIVISOR;
        while !self.is_known_to_be_long() {
            let pass_on_at = self.pass_on_at(pause);
            let frame = tokio::select! {
                biased;
                frame = self.body.frame() => frame,
                () = &mut deadline_near, if self.class.may_be_long() && !self.is_deadline_near => {
                    self.is_deadline_near = true;
                    continue;
                }
                () = sleep_until_some(pass_on_at) => break,
            };
            if let Some(ended) = self.take(frame).await {
                return ended;
            }
        }
        if let Some(frame) = self.frame_that_is_here().await {
            if let Some(ended) = self.take(frame).await {
                return ended;
            }
        }
        self.pass_on().await
    }

    /// Returns when the body is passed on if nothing further comes. `pause` is that after a first part near the deadline.
    fn pass_on_at(&self, pause: Duration) -> Option<Instant> {
        match self.class {
            _ if !self.is_deadline_near => None,
            LengthClass::Long => Some(Instant::now()),
            _ => self.first_part_at.map(|first| first + pause),
        }
    }

    /// Returns a frame that has already arrived, or the news that the body broke off.
    async fn frame_that_is_here(&mut self) -> Option<NextFrame> {
        for _ in 0..TURNS_TO_READ_A_BREAK {
            if let Some(frame) = self.body.frame().now_or_never() {
                return Some(frame);
            }
            yield_now().await;
        }
        self.body.frame().now_or_never()
    }

    /// Takes a frame in. Returns the body if it has ended.
    async fn take(&mut self, frame: NextFrame) -> Option<ReadBody> {
        match frame.map(|frame| frame.map(Frame::into_data)) {
            None => return Some(self.take_whole()),
            Some(Err(_)) => return Some(ReadBody::Broken),
            // Trailers are not passed on.
            Some(Ok(Err(_))) => {}
            Some(Ok(Ok(data))) => self.add(&data).await,
        }
        let is_excessive = self.class == LengthClass::Short && self.collected.len() > MAX_WHOLE_BODY_BYTES;
        is_excessive.then_some(ReadBody::Broken)
    }

    /// Adds a part. Reserves memory for a body that is not small.
    async fn add(&mut self, data: &[u8]) {
        self.progress.record_answer_part(data.len(), self.class.max_silence());
        self.last_part_at = Instant::now();
        self.first_part_at.get_or_insert(self.last_part_at);
        let is_small = self.collected.len() + data.len() <= GUARANTEED_BODY_BYTES;
        if !is_small && self.reservation.is_none() {
            let (buffered, reserved) = match (self.class, self.length) {
                (LengthClass::Short, Some(length)) => (length as usize, length as usize),
                (LengthClass::Short, None) => (MAX_WHOLE_BODY_BYTES, MAX_WHOLE_BODY_BYTES),
                (LengthClass::Long, _) => (data.len(), RESPONSE_STREAM_MEMORY_BYTES),
                _ => (PASS_ON_BYTES + data.len(), RESPONSE_STREAM_MEMORY_BYTES),
            };
            self.reservation = Some(self.memory.reserve(reserved).await);
            self.collected.reserve(buffered);
        }
        self.collected.extend_from_slice(data);
    }

    fn is_known_to_be_long(&self) -> bool {
        match self.class {
            LengthClass::Long => true,
            LengthClass::Unannounced => {
                let is_slow = self.first_part_at.is_some_and(|first| first.elapsed() >= PASS_ON_TIME);
                is_slow || self.collected.len() > PASS_ON_BYTES
            }
            LengthClass::Short | LengthClass::Excessive => false,
        }
    }

    async fn pass_on(self) -> ReadBody {
        let memory = match self.reservation {
            Some(reservation) => reservation,
            None => self.memory.reserve(RESPONSE_STREAM_MEMORY_BYTES).await,
        };
        let first = self.collected.freeze();
        let last_part_at = self.last_part_at;
        ReadBody::Long(LongBody { first, body: self.body, length: self.length, memory, last_part_at })
    }

    fn take_whole(&mut self) -> ReadBody {
        let collected = std::mem::take(&mut self.collected).freeze();
        ReadBody::Whole(match self.reservation.take() {
            Some(reservation) => reservation.attach(collected),
            None => collected,
        })
    }
}
