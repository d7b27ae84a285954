//! Reads the body of a request: a short one whole, the start of a long one, whose rest is passed on as it arrives.

use axum::body::Body;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use tokio::sync::mpsc;
use tokio::time::{timeout, Duration};

use super::connection::ClientConnection;
use super::connection_table::Stage;
use super::request_error::RequestError;
use super::Listener;
use crate::net::request_body::{RequestBody, StreamedRequestBody};
use crate::net::runtime::memory_budget::{Reservation, GUARANTEED_BODY_BYTES};
use crate::net::runtime::metrics::COUNTERS;
use crate::net::streamed_body::{
    BodyPart, MAX_BODY_BYTES, MAX_WHOLE_BODY_BYTES, REQUEST_STREAM_MEMORY_BYTES,
};

/// Time that a request waits for the memory of its body. It is less than the time after which a connection is closed
/// whose request does not arrive, so that the client gets an answer.
const MEMORY_TIMEOUT: Duration = Duration::from_millis(1_500);
const ENDED_EARLY: RequestError = RequestError::Malformed("the body ended early");

/// A body of which enough was read to accept its request.
pub(super) struct ReadBody {
    pub(super) body: RequestBody,
    /// The rest of a long body.
    pub(super) rest: Option<BodyRest>,
}

/// The rest of a long body, which the client is still sending.
pub(super) struct BodyRest {
    body: Body,
    parts: mpsc::Sender<BodyPart>,
    /// Bytes read so far.
    received: u64,
}

/// Reads a body of `announced` bytes, or the start of a long one. A body that is longer than the platform allows is not
/// read, and one that is not small only once its bytes are reserved.
pub(super) async fn read_body(
    listener: &Listener,
    announced: u64,
    body: Body,
    connection: Option<&ClientConnection>,
) -> Result<ReadBody, RequestError> {
    if announced == 0 {
        return Ok(ReadBody { body: RequestBody::Whole(Bytes::new()), rest: None });
    }
    if announced > MAX_BODY_BYTES {
        return Err(RequestError::TooLarge);
    }
    if let Some(connection) = connection {
        connection.downstream.begin_body();
        connection.entry.set_stage(Stage::Unfinished);
    }
    if announced > MAX_WHOLE_BODY_BYTES as u64 {
        return read_start(listener, announced, body, connection).await;
    }
    let length = announced as usize;
    let reservation = match length {
        0..=GUARANTEED_BODY_BYTES => None,
        _ => Some(reserve(listener, length, connection).await?),
    };
    let mut body = body;
    let bytes = collect(&mut body, length).await?;
    let bytes = match reservation {
        Some(reservation) => reservation.attach(bytes),
        None => bytes,
    };
    Ok(ReadBody { body: RequestBody::Whole(bytes), rest: None })
}

/// Reads the start of a body of `length` bytes.
async fn read_start(
    listener: &Listener,
    length: u64,
    mut body: Body,
    connection: Option<&ClientConnection>,
) -> Result<ReadBody, RequestError> {
    let reservation = reserve(listener, REQUEST_STREAM_MEMORY_BYTES, connection).await?;
    let first = collect(&mut body, MAX_WHOLE_BODY_BYTES).await?;
    let received = first.len() as u64;
    let (parts, streamed) =
        StreamedRequestBody::new(first, length, reservation, listener.shutdown_deadline.clone());
    COUNTERS.requests_streamed.increment();
    Ok(ReadBody { body: RequestBody::Streamed(streamed), rest: Some(BodyRest { body, parts, received }) })
}

async fn reserve(
    listener: &Listener,
    bytes: usize,
    connection: Option<&ClientConnection>,
) -> Result<Reservation, RequestError> {
    let Ok(reservation) = timeout(MEMORY_TIMEOUT, listener.memory.requests.reserve(bytes)).await else {
        COUNTERS.memory_refused.increment();
        return Err(RequestError::OutOfMemory);
    };
    if let Some(connection) = connection {
        connection.entry.set_holds_memory(true);
    }
    Ok(reservation)
}

/// Collects a body until it has at least `length` bytes, into one buffer: the parts that the HTTP library returns hold
/// more memory than their bytes.
async fn collect(body: &mut Body, length: usize) -> Result<Bytes, RequestError> {
    let mut collected = BytesMut::with_capacity(length);
    while collected.len() < length {
        let Some(frame) = body.frame().await else { return Err(ENDED_EARLY) };
        if let Ok(data) = frame.map_err(|_| ENDED_EARLY)?.into_data() {
            collected.extend_from_slice(&data);
        }
    }
    Ok(collected.freeze())
}

/// How the rest of a body ended.
pub(super) enum RestEnd {
    /// The last byte was passed on.
    Complete,
    /// The attempt that took the rest has ended, so nobody needs it any more.
    NotTaken,
}

impl BodyRest {
    /// Passes the rest on as fast as the attempt takes it, until the last byte.
    ///
    /// # Errors
    /// If the client sends too slowly, or its body ends early. The attempt that sends the body then breaks off.
    pub(super) async fn forward(
        mut self,
        streamed: &StreamedRequestBody,
        connection: Option<&ClientConnection>,
    ) -> Result<RestEnd, RequestError> {
        while self.received < streamed.length {
            let slot = tokio::select! {
                slot = self.parts.reserve() => slot,
                () = wait_until_gone(connection) => return Err(ENDED_EARLY),
            };
            let Ok(slot) = slot else { return Ok(RestEnd::NotTaken) };
            streamed.begin_client_wait();
            let allowed = StreamedRequestBody::max_wait(self.received).saturating_sub(streamed.waited());
            let frame = timeout(allowed, self.body.frame()).await;
            streamed.end_client_wait();
            let Ok(Some(Ok(frame))) = frame else { return Err(ENDED_EARLY) };
            if let Ok(data) = frame.into_data() {
                self.received += data.len() as u64;
                slot.send(Ok(data));
            }
        }
        Ok(RestEnd::Complete)
    }
}

/// Waits until the client disconnects, also behind bytes that are not read while the backend takes none.
async fn wait_until_gone(connection: Option<&ClientConnection>) {
    match connection {
        Some(connection) => connection.downstream.wait_until_read_closed().await,
        None => std::future::pending().await,
    }
}
