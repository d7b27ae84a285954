//! The capture records of requests, if a capture is configured.

use sedgestack::{BackendId, Request};
use sedgestack_capture::{CounterState, KeyedHash, Outcome, Record};

use crate::net::capture::{CaptureEntry, CaptureRecorder};
use crate::net::control::message::Arrival;
use crate::net::runtime::clock::Clock;

/// A request as it arrived, kept until it is answered and recorded in the capture.
pub struct CapturedRequest {
    pub request: Request,
    pub arrival: Arrival,
}

/// How a request ended, as the capture records it.
pub struct CapturedAnswer<'a> {
    pub outcome: Outcome,
    pub idempotency_key: Option<&'a [u8]>,
    pub attempts: usize,
    /// The backend that served the request, or the last one tried.
    pub backend: Option<BackendId>,
    /// The version of the runtime configuration under which the request was accepted.
    pub version: Option<u64>,
}

/// The control actor's side of the capture. Tracks the data of a record that does not come from the request itself.
pub struct CaptureRecords {
    recorder: Option<CaptureRecorder>,
    clock: Clock,
    counter_state: CounterState,
}

impl CaptureRecords {
    /// Creates the records for `recorder`. Without a recorder, nothing is kept or recorded.
    pub fn new(recorder: Option<CaptureRecorder>, clock: Clock) -> CaptureRecords {
        CaptureRecords { recorder, clock, counter_state: CounterState::Unknown }
    }

    /// Records whether a call to the quota counter was answered successfully.
    pub fn on_counter_reply(&mut self, answered: bool) {
        self.counter_state = if answered { CounterState::Answering } else { CounterState::Silent };
    }

    /// Copies the details that a record needs, before the request is modified for the decision logic. Returns `None`
    /// without a recorder.
    pub fn request_details(&self, request: &Request, arrival: Arrival) -> Option<Box<CapturedRequest>> {
        self.recorder.as_ref().map(|_| Box::new(CapturedRequest { request: request.clone(), arrival }))
    }

    /// Passes the record of an answered request to the recorder without waiting.
    pub fn record(&self, captured: &CapturedRequest, answer: CapturedAnswer<'_>) {
        let Some(recorder) = &self.recorder else { return };
        let record = self.record_of(recorder.hash, captured, &answer);
        recorder.record(CaptureEntry { record, destination: answer.backend });
    }

    fn record_of(&self, hash: KeyedHash, captured: &CapturedRequest, answer: &CapturedAnswer<'_>) -> Record {
        let CapturedRequest { request, arrival } = captured;
        Record {
            at: self.clock.at(arrival.arrived_at),
            class: saturating_u16(request.class as u32),
            plan: saturating_u16(request.plan as u32),
            customer: hash.of(&request.customer.to_le_bytes()),
            key: answer.idempotency_key.map_or(0, |key| hash.of(key)),
            units: request.units as f32,
            spread: saturating_u16(request.spread),
            first: saturating_u16(arrival.first_limiter),
            patience_ms: saturating_u32(arrival.timeout.as_millis()),
            retry: arrival.is_retry,
            outcome: answer.outcome,
            latency: saturating_u32(arrival.arrived_at.elapsed().as_micros()),
            destination: None,
            attempts: answer.attempts.min(u8::MAX.into()) as u8,
            counter: self.counter_state,
            source: 0,
            rules: answer.version,
        }
    }
}

fn saturating_u16(number: u32) -> u16 {
    number.min(u16::MAX.into()) as u16
}

fn saturating_u32(number: u128) -> u32 {
    number.min(u32::MAX.into()) as u32
}
