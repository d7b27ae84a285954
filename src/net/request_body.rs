//! The body of a client's request: a short one whole, a long one as it arrives.
//!
//! The start of a long body is kept, so that an attempt that got no further can be repeated. The rest passes through a
//! bounded window to the one attempt that takes it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::time::{sleep_until, Instant};

use crate::net::runtime::memory_budget::Reservation;
use crate::net::runtime::shutdown::ShutdownDeadline;
use crate::net::streamed_body::{BodyPart, WINDOW_PARTS};

/// Minimum rate of a request's body in bytes per second, from the operators' pages.
pub const MIN_BODY_RATE: u32 = 64_000;
/// Time by which a client may lag behind `MIN_BODY_RATE`.
pub const MAX_BODY_LAG: Duration = Duration::from_secs(2);
/// Minimum time between two looks at a deadline that moves while a client is awaited.
const MIN_DEADLINE_CHECK: Duration = Duration::from_millis(1);

/// Maximum time until a shutdown is noticed, which may bring a deadline forward.
const SHUTDOWN_CHECK: Duration = Duration::from_millis(250);

/// The body of a client's request.
#[derive(Debug)]
pub enum RequestBody {
    Whole(Bytes),
    Streamed(StreamedRequestBody),
}

/// A body that is passed on while it arrives.
#[derive(Debug)]
pub struct StreamedRequestBody {
    /// The start of the body, which each attempt sends.
    pub first: Bytes,
    /// Length of the whole body.
    pub length: u64,
    /// The rest, until an attempt takes it.
    rest: Mutex<Option<mpsc::Receiver<BodyPart>>>,
    client_wait: Arc<ClientWait>,
    shutdown: ShutdownDeadline,
    _memory: Reservation,
}

/// For how long the limiter has waited for a client's bytes, with room for them and none in the socket. A client's
/// deadline counts from the last byte of its request, so it moves by this time.
#[derive(Debug, Default)]
pub struct ClientWait(Mutex<WaitState>);

#[derive(Debug, Default)]
struct WaitState {
    /// Whether there is room for further bytes.
    has_room: bool,
    /// Whether the last read found no bytes in the socket.
    is_socket_empty: bool,
    /// Since when both are so.
    since: Option<Instant>,
    ended: Duration,
}

impl WaitState {
    fn update(&mut self) {
        if self.has_room && self.is_socket_empty {
            self.since.get_or_insert_with(Instant::now);
        } else if let Some(since) = self.since.take() {
            self.ended += since.elapsed();
        }
    }
}

impl ClientWait {
    fn state(&self) -> MutexGuard<'_, WaitState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts to count for another request.
    pub fn reset(&self) {
        *self.state() = WaitState::default();
    }

    /// Records whether there is room for further bytes.
    pub fn set_room(&self, has_room: bool) {
        let mut state = self.state();
        state.has_room = has_room;
        state.update();
    }

    /// Records whether a read found no bytes in the socket.
    pub fn set_socket_empty(&self, is_empty: bool) {
        let mut state = self.state();
        state.is_socket_empty = is_empty;
        state.update();
    }

    /// For how long the client was awaited so far.
    pub fn waited(&self) -> Duration {
        let state = self.state();
        state.ended + state.since.map_or(Duration::ZERO, |since| since.elapsed())
    }
}

impl StreamedRequestBody {
    /// Creates a body of `length` bytes that begins with `first`. Returns the sender of the rest. No deadline of its
    /// request moves beyond `shutdown`.
    pub fn new(
        first: Bytes,
        length: u64,
        memory: Reservation,
        client_wait: Arc<ClientWait>,
        shutdown: ShutdownDeadline,
    ) -> (mpsc::Sender<BodyPart>, StreamedRequestBody) {
        let (sender, rest) = mpsc::channel(WINDOW_PARTS);
        let rest = Mutex::new(Some(rest));
        (sender, StreamedRequestBody { first, length, rest, client_wait, shutdown, _memory: memory })
    }

    /// Takes the rest. Only the first caller receives it.
    pub fn take_rest(&self) -> Option<mpsc::Receiver<BodyPart>> {
        self.rest.lock().unwrap_or_else(PoisonError::into_inner).take()
    }

    /// For how long the client was awaited so far.
    pub fn waited(&self) -> Duration {
        self.client_wait.waited()
    }

    /// Records whether there is room for further bytes.
    pub fn set_room(&self, has_room: bool) {
        self.client_wait.set_room(has_room);
    }

    /// Time for which the limiter waits for the client at most until `received` bytes have arrived.
    pub fn max_wait(received: u64) -> Duration {
        MAX_BODY_LAG + Duration::from_secs(received) / MIN_BODY_RATE
    }
}

impl RequestBody {
    /// Length of the body in bytes.
    pub fn length(&self) -> u64 {
        match self {
            RequestBody::Whole(bytes) => bytes.len() as u64,
            RequestBody::Streamed(body) => body.length,
        }
    }

    /// Whether all that was sent of the body so far is kept, so that it can be sent once more.
    pub fn is_replayable(&self) -> bool {
        match self {
            RequestBody::Whole(_) => true,
            RequestBody::Streamed(body) => body.rest.lock().unwrap_or_else(PoisonError::into_inner).is_some(),
        }
    }

    /// Time for which the client may still take to send the rest of the body.
    pub fn max_client_wait(&self) -> Duration {
        match self {
            RequestBody::Whole(_) => Duration::ZERO,
            RequestBody::Streamed(body) => StreamedRequestBody::max_wait(body.length),
        }
    }

    /// Waits until `deadline`, which moves by the time for which the client is awaited, but not beyond the time by which a
    /// process that shuts down must answer.
    pub async fn wait_until(&self, deadline: Instant) {
        let RequestBody::Streamed(body) = self else { return sleep_until(deadline).await };
        loop {
            let (due, now) = (body.shutdown.cap_open(deadline + body.waited()), Instant::now());
            if now >= due {
                return;
            }
            sleep_until(due.clamp(now + MIN_DEADLINE_CHECK, now + SHUTDOWN_CHECK)).await;
        }
    }
}

#[cfg(test)]
mod tests;
