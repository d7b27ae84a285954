//! Encodes actions as lines of the simulator's protocol.

use std::fmt::Write;

use base64::{engine::general_purpose::STANDARD, Engine};
use sedgestack::{Action, Micros};

fn millis(time: Micros) -> f64 {
    time as f64 / 1000.0
}

/// Appends the line of an action of instance `id` to a reply.
pub fn write_action(out: &mut String, id: u64, action: &Action) {
    let written = match action {
        Action::StartAttempt { request, backend, timeout, .. } => {
            let timeout = timeout.map(|t| format!(" maxWaitMs={}", millis(t))).unwrap_or_default();
            writeln!(out, "ISSUE gatewayId={id} call={request} backend={backend}{timeout}")
        }
        Action::CancelAttempt { request, attempt } => {
            writeln!(out, "UNDO_SEND gatewayId={id} call={request} copy={attempt}")
        }
        Action::Reject { request, retry_after } => {
            let hold_off = millis(*retry_after);
            writeln!(out, "OVERLOAD_REPLY gatewayId={id} call={request} holdOffMs={hold_off}")
        }
        Action::Fail { request } => writeln!(out, "FINISH_ERROR gatewayId={id} call={request}"),
        Action::CallCounter { name, amount, time_to_live } => {
            let forget_after = millis(*time_to_live);
            writeln!(out, "POST_AMOUNT gatewayId={id} by={amount} book={name} forgetAfterMs={forget_after}")
        }
        Action::HealthCheck { backend } => writeln!(out, "HEALTH_CHECK gatewayId={id} backend={backend}"),
        Action::Subscribe => writeln!(out, "TRACK gatewayId={id} want=1"),
        Action::SendToPeers { bytes } => {
            writeln!(out, "SHARE gatewayId={id} target=-1 bytes={}", STANDARD.encode(bytes))
        }
        Action::SetTimer { after } => writeln!(out, "AFTER gatewayId={id} spanMs={} ref=0", millis(*after)),
        Action::Log { text } => writeln!(out, "LOG gatewayId={id} bodyText={}", text.replace('\n', " ")),
    };
    written.expect("writing to a String cannot fail");
}
