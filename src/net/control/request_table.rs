//! The open requests: each from its acceptance until it is answered and its last attempt has ended.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use sedgestack::{Micros, Outcome, RequestId};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::net::control::capture_records::CapturedRequest;
use crate::net::control::message::{Answer, AttemptOutcome, ForwardedRequest};
use crate::net::upstream::{Attempt, BackendCommand, BackendHandle};

/// A request that is not answered yet, or has an attempt in flight.
pub struct OpenRequest {
    forward: Arc<ForwardedRequest>,
    deadline: Instant,
    /// Gone once the final answer is sent, or nobody waits for it.
    reply: Option<oneshot::Sender<Answer>>,
    /// The version of the runtime configuration that it was accepted under.
    pub version: Option<RequestVersion>,
    /// The actor that got each attempt, in order: one that was replaced since still has its own.
    attempts: Vec<Option<BackendHandle>>,
    in_flight: usize,
    /// What a capture says of it, where there is one.
    pub capture_details: Option<Box<CapturedRequest>>,
}

/// What a request keeps of the version that it was accepted under.
#[derive(Clone, Copy)]
pub struct RequestVersion {
    pub number: u64,
    pub max_retry_after: Micros,
    /// Its plan's place in the configuration.
    pub plan: usize,
    pub latency_objective: Duration,
    pub arrived_at: Instant,
}

impl OpenRequest {
    /// A request without attempts.
    pub fn new(
        forward: Arc<ForwardedRequest>,
        deadline: Instant,
        reply: oneshot::Sender<Answer>,
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

    /// Whether somebody still waits for the answer.
    pub fn is_unanswered(&self) -> bool {
        self.reply.is_some()
    }

    /// The client's idempotency key, where it gave one.
    pub fn idempotency_key(&self) -> Option<&[u8]> {
        self.forward.key.as_ref().map(axum::http::HeaderValue::as_bytes)
    }

    /// Attempts made until now, whether sent or not.
    pub fn attempts(&self) -> usize {
        self.attempts.len()
    }

    /// The actor that got attempt `number`, else the last one.
    pub fn handle_of_attempt(&self, number: Option<usize>) -> Option<&BackendHandle> {
        let handle = number.map_or_else(|| self.attempts.last(), |number| self.attempts.get(number));
        handle?.as_ref()
    }
}

/// An attempt that the decisions ordered.
pub struct AttemptOrder {
    pub request: RequestId,
    pub started_at: Instant,
    /// When the attempt ends; the request's own deadline holds as well.
    pub deadline: Option<Instant>,
    /// What is not written whole by then must not be sent at all.
    pub write_deadline: Option<Instant>,
}

/// All open requests.
pub struct RequestTable {
    requests: HashMap<RequestId, OpenRequest>,
    capacity: usize,
    max_attempts: u32,
}

impl RequestTable {
    /// A table for so many open requests, of so many attempts each.
    pub fn new(capacity: usize, max_attempts: u32) -> RequestTable {
        RequestTable { requests: HashMap::new(), capacity, max_attempts }
    }

    /// Whether no further request may be opened.
    pub fn is_full(&self) -> bool {
        self.requests.len() >= self.capacity
    }

    /// Opens a request.
    pub fn insert(&mut self, id: RequestId, request: OpenRequest) {
        self.requests.insert(id, request);
    }

    /// An open request.
    pub fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.requests.get(&id)
    }

    /// Takes the right to answer a request: only the first caller gets it.
    pub fn take_reply(&mut self, id: RequestId) -> Option<oneshot::Sender<Answer>> {
        self.requests.get_mut(&id)?.reply.take()
    }

    /// Hands an attempt to a backend's actor, without waiting. Where it can't be sent, the outcome that the decisions
    /// are to be told in the next batch.
    pub fn start_attempt(
        &mut self,
        order: AttemptOrder,
        backend: Option<BackendHandle>,
    ) -> Option<AttemptOutcome> {
        let open = self.requests.get_mut(&order.request)?;
        let number = open.attempts.len() as u32;
        // Guards against sending what nobody waits for: the message that the client left may still be in the mailbox.
        let is_awaited = open.is_unanswered() && !open.forward.client_gone.is_cancelled();
        let may_send = is_awaited && number < self.max_attempts;
        let handle = backend.filter(|_| may_send);
        let attempt = Attempt {
            request: order.request,
            number,
            forward: open.forward.clone(),
            started_at: order.started_at,
            deadline: order.deadline.map_or(open.deadline, |deadline| deadline.min(open.deadline)),
            write_deadline: order.write_deadline,
        };
        let sent = handle.as_ref().is_some_and(|handle| handle.send(BackendCommand::Attempt(attempt)));
        open.in_flight += 1;
        open.attempts.push(handle);
        let not_sent =
            || AttemptOutcome::without_response(order.request, number, Outcome::NotSent, Duration::ZERO);
        (!sent).then(not_sent)
    }

    /// Cancels an attempt at the backend that got it.
    pub fn cancel_attempt(&self, request: RequestId, attempt: u32) {
        let open = self.requests.get(&request);
        if let Some(handle) = open.and_then(|open| open.handle_of_attempt(Some(attempt as usize))) {
            handle.send(BackendCommand::Cancel { request, attempt });
        }
    }

    /// Notes that an attempt is no longer in flight; whether its request is open.
    pub fn on_attempt_ended(&mut self, id: RequestId) -> bool {
        let Some(open) = self.requests.get_mut(&id) else { return false };
        open.in_flight = open.in_flight.saturating_sub(1);
        true
    }

    /// Removes a request that is answered and has no attempt in flight.
    pub fn remove_if_finished(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|open| !open.is_unanswered() && open.in_flight == 0) {
            self.requests.remove(&id);
        }
    }
}
