//! Passes on the rest of a long response while it arrives.

use std::sync::Arc;
use std::time::Duration;

use axum::http::HeaderValue;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::time::{timeout_at, Instant};

use super::connection::Connection;
use super::pool::Pool;
use crate::exchange_info;
use crate::net::control::message::ForwardedRequest;
use crate::net::runtime::metrics::COUNTERS;
use crate::net::streamed_body::{BodyBrokenOff, BodyPart, MAX_BODY_BYTES, MAX_WHOLE_BODY_BYTES};

/// Time without a byte after which the response of a backend that is known to be long counts as broken off.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Time without a byte after which one that may yet be short counts as broken off.
const SHORT_STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Until this time after its client's deadline it may be silent for longer. A client waits 0.5 s for a late answer.
const LATE_ANSWER_TIME: Duration = Duration::from_millis(400);

/// A response of which the start has been read.
pub(super) struct ResponseStream {
    pub(super) connection: Connection,
    pub(super) pool: Pool,
    pub(super) body: Incoming,
    /// Bytes read so far, and when the last of them were passed on.
    pub(super) read: u64,
    pub(super) last_part_at: Instant,
    /// Whether the length was announced.
    pub(super) is_announced: bool,
    pub(super) forward: Arc<ForwardedRequest>,
    /// The backend, as the value of a Host header.
    pub(super) backend: HeaderValue,
    /// The client's deadline.
    pub(super) deadline: Instant,
    pub(super) parts: mpsc::Sender<BodyPart>,
}

/// Why a response was not passed on to its end.
#[derive(Clone, Copy, Debug)]
enum Break {
    BackendBroke,
    BackendSilent,
    TooLong,
}

impl ResponseStream {
    /// Reads the response to its end, and as fast as the client takes it. The connection is reused only after the last
    /// byte; if the client leaves or the backend breaks off, it is closed.
    pub(super) async fn run(mut self) {
        loop {
            let frame = tokio::select! {
                frame = timeout_at(self.silent_at(), self.body.frame()) => frame,
                () = self.parts.closed() => return,
            };
            let data = match frame {
                Ok(None) => return self.finish(),
                Ok(Some(Ok(frame))) => frame.into_data(),
                Ok(Some(Err(_))) => return self.break_off(Break::BackendBroke).await,
                Err(_) => return self.break_off(Break::BackendSilent).await,
            };
            // Trailers are not passed on.
            let Ok(data) = data else { continue };
            self.read += data.len() as u64;
            if self.read > MAX_BODY_BYTES {
                return self.break_off(Break::TooLong).await;
            }
            if self.parts.send(Ok(data)).await.is_err() {
                return;
            }
            // While the client took none, the backend was not read from.
            self.last_part_at = Instant::now();
        }
    }

    /// Returns until when the backend may send no further byte. What may yet be a short response has to end in time.
    fn silent_at(&self) -> Instant {
        let is_long = self.read > MAX_WHOLE_BODY_BYTES as u64 || (self.is_announced && self.read > 0);
        if is_long {
            return self.last_part_at + STALL_TIMEOUT;
        }
        (self.last_part_at + SHORT_STALL_TIMEOUT).max(self.deadline + LATE_ANSWER_TIME)
    }

    fn finish(self) {
        self.connection.progress().record_response_complete();
        self.pool.release(self.connection);
    }

    async fn break_off(self, reason: Break) {
        COUNTERS.responses_broken_off.increment();
        exchange_info!(
            "answer broken off: request {:?} backend {:?}: {reason:?}, {} body bytes read",
            self.forward.id.value(),
            self.backend,
            self.read,
        );
        let _ = self.parts.send(Err(BodyBrokenOff)).await;
    }
}
