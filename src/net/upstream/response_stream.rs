//! Passes on the rest of a long response while it arrives.

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::connection::Connection;
use super::pool::Pool;
use crate::net::runtime::metrics::COUNTERS;
use crate::net::streamed_body::{BodyBrokenOff, BodyPart, MAX_BODY_BYTES};

/// Time without a byte after which a backend's response counts as broken off.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// A response of which the first part has been read.
pub(super) struct ResponseStream {
    pub(super) connection: Connection,
    pub(super) pool: Pool,
    pub(super) body: Incoming,
    /// Bytes read so far.
    pub(super) read: u64,
    pub(super) parts: mpsc::Sender<BodyPart>,
}

impl ResponseStream {
    /// Reads the response to its end, and as fast as the client takes it. The connection is reused only after the last
    /// byte; if the client leaves or the backend breaks off, it is closed.
    pub(super) async fn run(mut self) {
        loop {
            let frame = tokio::select! {
                frame = timeout(STALL_TIMEOUT, self.body.frame()) => frame,
                () = self.parts.closed() => return,
            };
            let data = match frame {
                Ok(None) => return self.finish(),
                Ok(Some(Ok(frame))) => frame.into_data(),
                Ok(Some(Err(_))) | Err(_) => return self.break_off().await,
            };
            // Trailers are not passed on.
            let Ok(data) = data else { continue };
            self.read += data.len() as u64;
            if self.read > MAX_BODY_BYTES {
                return self.break_off().await;
            }
            if self.parts.send(Ok(data)).await.is_err() {
                return;
            }
        }
    }

    fn finish(self) {
        self.connection.progress().record_response_complete();
        self.pool.release(self.connection);
    }

    async fn break_off(self) {
        COUNTERS.responses_broken_off.increment();
        let _ = self.parts.send(Err(BodyBrokenOff)).await;
    }
}
