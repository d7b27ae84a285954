//! Reads the body of a request: a short one whole, the start of a long one, whose rest is passed on as it arrives.

use axum::body::Body;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use tokio::sync::mpsc;
use tokio::time::{timeout, Duration, Instant};

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

/// Maximum time that a request waits for the memory of its body, if its client waits as long. It is less than the time
/// after which a connection is closed whose request does not arrive, so that the client gets an answer.
const MEMORY_TIMEOUT: Duration = Duration::from_millis(1_500);
const ENDED_EARLY: RequestError = RequestError::Malformed("the body ended early");

/// A body of which enough was read to accept its request.
pub(super) struct ReadBody {
    pub(super) body: RequestBody,
    /// The rest of a long body.
    pub(super) rest: Option<BodyRest>,
    /// For how long the bytes waited in the socket until there was memory for them. The client's time counts meanwhile.
    pub(super) memory_wait: Duration,
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
    client_timeout: Duration,
) -> Result<ReadBody, RequestError> {
    if announced == 0 {
        return Ok(ReadBody {
            body: RequestBody::Whole(Bytes::new()),
            rest: None,
            memory_wait: Duration::ZERO,
        });
    }
    if announced > MAX_BODY_BYTES {
        return Err(RequestError::TooLarge);
    }
    if let Some(connection) = connection {
        connection.downstream.begin_body();
        connection.entry.set_stage(Stage::Unfinished);
    }
    if announced > MAX_WHOLE_BODY_BYTES as u64 {
        return read_start(listener, announced, body, connection, client_timeout).await;
    }
    let length = announced as usize;
    let started_at = Instant::now();
    let reservation = match length {
        0..=GUARANTEED_BODY_BYTES => None,
        _ => Some(reserve(listener, length, connection, client_timeout).await?),
    };
    let memory_wait = started_at.elapsed();
    let mut body = body;
    set_room(connection);
    let bytes = collect(&mut body, length).await?;
    let memory_wait = unless_awaited(memory_wait, connection);
    let bytes = match reservation {
        Some(reservation) => reservation.attach(bytes),
        None => bytes,
    };
    Ok(ReadBody { body: RequestBody::Whole(bytes), rest: None, memory_wait })
}

/// Reads the start of a body of `length` bytes.
async fn read_start(
    listener: &Listener,
    length: u64,
    mut body: Body,
    connection: Option<&ClientConnection>,
    client_timeout: Duration,
) -> Result<ReadBody, RequestError> {
    let started_at = Instant::now();
    let reservation = reserve(listener, REQUEST_STREAM_MEMORY_BYTES, connection, client_timeout).await?;
    let memory_wait = started_at.elapsed();
    set_room(connection);
    let first = collect(&mut body, MAX_WHOLE_BODY_BYTES).await?;
    let memory_wait = unless_awaited(memory_wait, connection);
    if let Some(connection) = connection {
        connection.downstream.client_wait.reset();
    }
    let client_wait =
        connection.map(|connection| connection.downstream.client_wait.clone()).unwrap_or_default();
    let received = first.len() as u64;
    let (parts, streamed) =
        StreamedRequestBody::new(first, length, reservation, client_wait, listener.shutdown_deadline.clone());
    COUNTERS.requests_streamed.increment();
    let rest = Some(BodyRest { body, parts, received });
    Ok(ReadBody { body: RequestBody::Streamed(streamed), rest, memory_wait })
}

/// Counts from now on for how long the client is awaited.
fn set_room(connection: Option<&ClientConnection>) {
    if let Some(connection) = connection {
        connection.downstream.client_wait.reset();
        connection.downstream.client_wait.set_room(true);
    }
}

/// Returns `memory_wait` if the bytes had come by its end, and 0 if the client was awaited for some of them afterwards.
fn unless_awaited(memory_wait: Duration, connection: Option<&ClientConnection>) -> Duration {
    let was_awaited =
        connection.is_none_or(|connection| !connection.downstream.client_wait.waited().is_zero());
    if was_awaited {
        Duration::ZERO
    } else {
        memory_wait
    }
}

async fn reserve(
    listener: &Listener,
    bytes: usize,
    connection: Option<&ClientConnection>,
    client_timeout: Duration,
) -> Result<Reservation, RequestError> {
    let max_wait = MEMORY_TIMEOUT.min(client_timeout);
    let Ok(reservation) = timeout(max_wait, listener.memory.requests.reserve(bytes)).await else {
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
            streamed.set_room(true);
            let allowed = StreamedRequestBody::max_wait(self.received).saturating_sub(streamed.waited());
            let frame = timeout(allowed, self.body.frame()).await;
            streamed.set_room(false);
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
