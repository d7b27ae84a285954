//! Carries out the actions of the decision logic.

use std::time::Duration;

use sedgestack::{Action, BackendId, CounterName, Micros, Outcome};
use tokio::time::Instant;

use super::ControlActor;
use crate::info;
use crate::net::control::message::{CounterReply, Reply};
use crate::net::control::request_table::AttemptOrder;
use crate::net::peers::OutgoingDatagram;
use crate::net::quota_counter::CounterCall;
use crate::net::runtime::metrics::COUNTERS;
use crate::net::upstream::BackendCommand;

impl ControlActor {
    pub(super) fn execute(&mut self, now: Micros, action: Action) {
        match action {
            Action::StartAttempt { request, backend, timeout, write_within } => {
                let started_at = self.clock.instant(now);
                let after = |span: Micros| started_at + Duration::from_micros(span);
                let (timeout, write_deadline) = (timeout.map(after), write_within.map(after));
                self.start_attempt(AttemptOrder { request, started_at, timeout, write_deadline }, &backend);
            }
            Action::CancelAttempt { request, attempt } => self.requests.cancel_attempt(request, attempt),
            Action::Reject { request, retry_after } => self.reply(request, Reply::Rejected { retry_after }),
            Action::Fail { request } => self.reply(request, Reply::Failed),
            Action::CallCounter { name, amount, time_to_live } => {
                self.call_counter(now, name, amount, time_to_live);
            }
            Action::HealthCheck { backend } => self.check_health(&backend),
            // The discovery actor watches the endpoints from the start and reconnects by itself.
            Action::Subscribe => {}
            Action::SendToPeers { bytes } => self.send_to_peers(bytes),
            Action::SetTimer { after } => self.timers.schedule(now + after),
            Action::Log { text } => info!("module: {text}"),
        }
    }

    fn start_attempt(&mut self, order: AttemptOrder, backend: &BackendId) {
        let handle = self.endpoints.handle(backend).cloned();
        let unsent = self.requests.start_attempt(order, handle);
        self.unsent_attempts.extend(unsent);
    }

    fn call_counter(&mut self, now: Micros, name: CounterName, amount: f64, time_to_live: Micros) {
        COUNTERS.counter_calls.increment();
        let deadline = self.clock.instant(now) + self.counter_timeout;
        let call = CounterCall { name, amount, lifetime: time_to_live, deadline };
        if self.counter.as_ref().is_none_or(|counter| counter.try_send(call).is_err()) {
            let reply = CounterReply { name, outcome: Outcome::ConnectFailed, total: None };
            self.unsent_counter_calls.push(reply);
        }
    }

    fn check_health(&self, backend: &BackendId) {
        if let Some(handle) = self.endpoints.handle(backend) {
            let started_at = Instant::now();
            handle.send(BackendCommand::Probe { started_at, deadline: started_at + self.connect_timeout });
        }
    }

    fn send_to_peers(&self, bytes: Vec<u8>) {
        if let Some(peers) = &self.peers {
            let _ = peers.try_send(OutgoingDatagram::Broadcast(bytes));
        }
    }
}
