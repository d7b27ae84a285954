//! Reads the body of a request.

use axum::body::Body;
use axum::http::{header, HeaderMap};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use tokio::time::{timeout, Duration};

use super::connection::ClientConnection;
use super::connection_table::Stage;
use super::request_error::RequestError;
use super::Listener;
use crate::net::runtime::memory_budget::{Reservation, GUARANTEED_BODY_BYTES};
use crate::net::runtime::metrics::COUNTERS;
use crate::net::streamed_body::MAX_WHOLE_BODY_BYTES;

/// Time that a request waits for the memory of its body. It is less than the time after which a connection is closed
/// whose request does not arrive, so that the client gets an answer.
const MEMORY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Returns the length that the head announces. A request without a Content-Length has no body.
fn announced_length(headers: &HeaderMap) -> u64 {
    let length = headers.get(header::CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse().ok());
    length.unwrap_or(0)
}

/// Returns the whole body if it is no larger than the platform allows. A body with a larger Content-Length is not
/// read, and one that is not small only once its bytes are reserved.
pub(super) async fn read_body(
    listener: &Listener,
    headers: &HeaderMap,
    body: Body,
    connection: Option<&ClientConnection>,
) -> Result<Bytes, RequestError> {
    let announced = announced_length(headers);
    if announced == 0 {
        return Ok(Bytes::new());
    }
    if announced > MAX_WHOLE_BODY_BYTES as u64 {
        return Err(RequestError::TooLarge);
    }
    if let Some(connection) = connection {
        connection.downstream.begin_body();
        connection.entry.set_stage(Stage::Unfinished);
    }
    let length = announced as usize;
    let reservation = reserve(listener, length).await?;
    if let Some(connection) = connection.filter(|_| reservation.is_some()) {
        connection.entry.set_holds_memory(true);
    }
    let bytes = collect(body, length).await?;
    Ok(match reservation {
        Some(reservation) => reservation.attach(bytes),
        None => bytes,
    })
}

/// Reserves the bytes of a body, unless it is small.
async fn reserve(listener: &Listener, length: usize) -> Result<Option<Reservation>, RequestError> {
    if length <= GUARANTEED_BODY_BYTES {
        return Ok(None);
    }
    match timeout(MEMORY_TIMEOUT, listener.memory.requests.reserve(length)).await {
        Ok(reservation) => Ok(Some(reservation)),
        Err(_) => {
            COUNTERS.memory_refused.increment();
            Err(RequestError::OutOfMemory)
        }
    }
}

/// Collects a body into one buffer: the parts that the HTTP library returns hold more memory than their bytes.
async fn collect(mut body: Body, length: usize) -> Result<Bytes, RequestError> {
    let mut collected = BytesMut::with_capacity(length);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| RequestError::Malformed("the body ended early"))?;
        if let Ok(data) = frame.into_data() {
            collected.extend_from_slice(&data);
        }
    }
    Ok(collected.freeze())
}
