//! Records how a client's connection ended, where a request was open on it.

use std::fmt;

use super::connection::ClientConnection;
use super::response_progress::ResponseState;
use crate::exchange_info;
use crate::net::runtime::metrics::COUNTERS;

/// What ended a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndCause {
    /// It was closed for its time, for capacity or for memory, or the process ended.
    Closed,
    /// The client closed or reset it.
    ClientGone,
    /// The backend broke off the answer that was passed on.
    BackendBrokeOff,
    /// The client's bytes are no request.
    Unreadable,
    /// The HTTP library ended it after the last response.
    Finished,
}

impl EndCause {
    /// Returns what ended a connection that the HTTP library served to its end.
    pub(super) fn of(served: &hyper::Result<()>) -> EndCause {
        match served {
            Ok(()) => EndCause::Finished,
            Err(e) if e.is_user() => EndCause::BackendBrokeOff,
            Err(e) if e.is_parse() => EndCause::Unreadable,
            // What else ends a connection is a failed read or write.
            Err(_) => EndCause::ClientGone,
        }
    }
}

impl fmt::Display for EndCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            EndCause::Closed => "closed by the limiter",
            EndCause::ClientGone => "the client left",
            EndCause::BackendBrokeOff => "the backend broke off",
            EndCause::Unreadable => "unreadable bytes",
            EndCause::Finished => "served",
        })
    }
}

/// Logs and counts the end of a connection when dropped, if a request was open on it. A connection that the limiter
/// closes ends with its task, without a further step of it.
pub(super) struct ConnectionEndRecorder {
    client: ClientConnection,
    cause: EndCause,
}

impl ConnectionEndRecorder {
    pub(super) fn new(client: ClientConnection) -> ConnectionEndRecorder {
        ConnectionEndRecorder { client, cause: EndCause::Closed }
    }

    /// Records what ended the connection.
    pub(super) fn set_cause(&mut self, cause: EndCause) {
        self.cause = cause;
    }
}

impl Drop for ConnectionEndRecorder {
    fn drop(&mut self) {
        let response = self.client.downstream.response();
        let (state, accepted) = (response.state(), response.accepted());
        if !response.is_open() {
            return;
        }
        drop(response);
        if state == ResponseState::NothingWritten && self.cause != EndCause::ClientGone {
            COUNTERS.responses_unwritten.increment();
        }
        let request = self.client.downstream.open_request().clone();
        exchange_info!(
            "connection ended: request {:?} backend {:?}: {}, {state:?}, {accepted} bytes written",
            request.id,
            request.backend,
            self.cause,
        );
    }
}
