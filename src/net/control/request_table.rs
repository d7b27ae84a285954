//! The open requests. A request is open from its acceptance until it is answered and its last attempt has ended.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use sedgestack::{Micros, Outcome, RequestId};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::net::control::capture_records::CapturedRequest;
use crate::net::control::message::{AttemptOutcome, ForwardedRequest, VersionedReply};
use crate::net::upstream::{Attempt, BackendCommand, BackendHandle};

/// A request that has not been answered, or has an attempt in flight.
pub struct OpenRequest {
    forward: Arc<ForwardedRequest>,
    deadline: Instant,
    /// Taken when the final reply is sent or the client disconnects.
    reply: Option<oneshot::Sender<VersionedReply>>,
    /// The version of the runtime configuration under which the request was accepted.
    pub version: Option<RequestVersion>,
    /// The actor that received each attempt, by attempt number. An actor that has been replaced since still runs the
    /// attempts it received. `None` for an attempt that was not sent.
    attempts: Vec<Option<BackendHandle>>,
    /// Attempts that have not ended.
    in_flight: usize,
    /// The details to record in a capture, if there is one.
    pub capture_details: Option<Box<CapturedRequest>>,
}

/// What a request keeps of the version under which it was accepted.
#[derive(Clone, Copy)]
pub struct RequestVersion {
    pub number: u64,
    pub max_retry_after: Micros,
    /// The index of the request's plan in the configuration.
    pub plan: usize,
    pub latency_objective: Duration,
    pub arrived_at: Instant,
}

impl OpenRequest {
    /// Creates a request without attempts.
    pub fn new(
        forward: Arc<ForwardedRequest>,
        deadline: Instant,
        reply: oneshot::Sender<VersionedReply>,
        version: Option<RequestVersion>,
        capture_details: Option<Box<CapturedRequest>>,
    ) -> OpenRequest {
        OpenRequest {
            forward,
            deadline,
            reply: Some(reply),
            version,
            attempts: Vec::new(),
            in_flight: 0,
            capture_details,
        }
    }

    /// Whether a client still waits for the reply.
    pub fn is_unanswered(&self) -> bool {
        self.reply.is_some()
    }

    /// Returns the client's idempotency key, if it sent one.
    pub fn idempotency_key(&self) -> Option<&[u8]> {
        self.forward.key.as_ref().map(axum::http::HeaderValue::as_bytes)
    }

    /// Returns the number of attempts so far, including those that could not be sent.
    pub fn attempts(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the actor that received attempt `number`, or the last attempt if `number` is `None`.
    pub fn handle_of_attempt(&self, number: Option<usize>) -> Option<&BackendHandle> {
        let handle = number.map_or_else(|| self.attempts.last(), |number| self.attempts.get(number));
        handle?.as_ref()
    }
}

/// An attempt that the decision logic requested.
pub struct AttemptOrder {
    pub request: RequestId,
    pub started_at: Instant,
    /// The attempt's own timeout, which applies in addition to the deadline of the request.
    pub timeout: Option<Instant>,
    /// If the request is not fully written by this time, the attempt is given up.
    pub write_deadline: Option<Instant>,
}

/// All open requests.
pub struct RequestTable {
    requests: HashMap<RequestId, OpenRequest>,
    capacity: usize,
    max_attempts: u32,
}

impl RequestTable {
    /// Creates a table for at most `capacity` open requests with at most `max_attempts` attempts each.
    pub fn new(capacity: usize, max_attempts: u32) -> RequestTable {
        RequestTable { requests: HashMap::new(), capacity, max_attempts }
    }

    /// Whether the maximum number of open requests is reached.
    pub fn is_full(&self) -> bool {
        self.requests.len() >= self.capacity
    }

    /// Adds an open request.
    pub fn insert(&mut self, id: RequestId, request: OpenRequest) {
        self.requests.insert(id, request);
    }

    /// Returns an open request.
    pub fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.requests.get(&id)
    }

    /// Takes the sender of a request's final reply. Only the first caller receives it.
    pub fn take_reply(&mut self, id: RequestId) -> Option<oneshot::Sender<VersionedReply>> {
        self.requests.get_mut(&id)?.reply.take()
    }

    /// Sends an attempt to a backend's actor without waiting. If that fails, returns the outcome to report to the
    /// decision logic in the next batch.
    pub fn start_attempt(
        &mut self,
        order: AttemptOrder,
        backend: Option<BackendHandle>,
    ) -> Option<AttemptOutcome> {
        let open = self.requests.get_mut(&order.request)?;
        let number = open.attempts.len() as u32;
        // The client may have disconnected even though the message about it is still in the mailbox.
        let has_client = open.is_unanswered() && !open.forward.client_gone.is_cancelled();
        let may_send = has_client && number < self.max_attempts && open.forward.body.is_replayable();
        let handle = backend.filter(|_| may_send);
        let attempt = Attempt {
            request: order.request,
            number,
            forward: open.forward.clone(),
            started_at: order.started_at,
            deadline: open.deadline,
            timeout: order.timeout,
            write_deadline: order.write_deadline,
        };
        let sent = handle.as_ref().is_some_and(|handle| handle.send(BackendCommand::Attempt(attempt)));
        open.in_flight += 1;
        open.attempts.push(handle);
        let not_sent =
            || AttemptOutcome::without_response(order.request, number, Outcome::NotSent, Duration::ZERO);
        (!sent).then(not_sent)
    }

    /// Cancels an attempt at the backend that received it.
    pub fn cancel_attempt(&self, request: RequestId, attempt: u32) {
        let open = self.requests.get(&request);
        if let Some(handle) = open.and_then(|open| open.handle_of_attempt(Some(attempt as usize))) {
            handle.send(BackendCommand::Cancel { request, attempt });
        }
    }

    /// Records that an attempt is no longer in flight. Returns whether its request is open.
    pub fn on_attempt_ended(&mut self, id: RequestId) -> bool {
        let Some(open) = self.requests.get_mut(&id) else { return false };
        open.in_flight = open.in_flight.saturating_sub(1);
        true
    }

    /// Removes a request if it has been answered and has no attempt in flight.
    pub fn remove_if_finished(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|open| !open.is_unanswered() && open.in_flight == 0) {
            self.requests.remove(&id);
        }
    }
}
