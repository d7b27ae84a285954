//! Decodes lines of the simulator's protocol to settings, endpoints and events.

use std::collections::BTreeMap;
use std::sync::Arc;

use base64::{engine::general_purpose::STANDARD, Engine};
use sedgestack::platform::{Document, NameIndex};
use sedgestack::*;

use super::{Line, WireError};

/// The endpoint lists that `ROSTER` lines began, by the number in their field `table`.
pub type EndpointLists = BTreeMap<u64, Arc<[Endpoint]>>;

/// Decodes the settings of a `PROVISION` line, and the index of the names in them.
pub fn settings(line: &Line<'_>) -> Result<(Settings, NameIndex), WireError> {
    let document: Document =
        serde_json::from_str(line.text("settings")?).map_err(WireError::MalformedSettings)?;
    let (settings, names, _) = document.decode()?;
    Ok((settings, names))
}

/// Decodes a `ROW` line of an endpoint list.
pub fn endpoint(line: &Line<'_>) -> Result<Endpoint, WireError> {
    let state = match line.text("status")? {
        "in_service" => BackendState::InService,
        "terminating" => BackendState::Draining,
        "terminated" => BackendState::Gone,
        other => return Err(WireError::UnknownValue { key: "status", value: other.to_string() }),
    };
    Ok(Endpoint {
        backend: line.text("backend")?.into(),
        state,
        zone: line.get("area").unwrap_or_default().into(),
        cell: line.optional("cohort", Line::int32, 0)?,
        started_at: line.optional("bornMs", Line::time, 0)?,
        weight: line.optional("size", Line::number, 1.0)?,
    })
}

/// Decodes a line of any event other than `PROVISION` and `HALT`.
pub fn event(line: &Line<'_>, names: &NameIndex, lists: &EndpointLists) -> Result<Event, WireError> {
    match line.name {
        "DISCOVERY" => discovery(line, lists),
        "REQ" => request(line, names),
        "STATUS_BACK" => health_check_ended(line, names),
        "ACK_FIRST" => stream_started(line),
        "COUNT_RESULT" => counter_replied(line),
        "DUE" => Ok(Event::Timer),
        "DATAGRAM" => peer_message(line),
        "LAPSED" => Ok(Event::Abandoned { request: line.int("call")? }),
        "ENDED" => attempt_ended(line, names),
        other => Err(WireError::UnknownMessage(other.to_string())),
    }
}

fn discovery(line: &Line<'_>, lists: &EndpointLists) -> Result<Event, WireError> {
    let complete = match line.text("kind")? {
        "error" => return Ok(Event::DiscoveryFailed),
        "diff" => false,
        "snapshot" | "disk" => true,
        other => return Err(WireError::UnknownValue { key: "kind", value: other.to_string() }),
    };
    let table = line.optional("table", Line::int, 0)?;
    let endpoints = lists.get(&table).ok_or(WireError::UnknownEndpointList(table))?.clone();
    Ok(Event::EndpointsChanged { version: line.int("seqNo")?, complete, endpoints })
}

fn request(line: &Line<'_>, names: &NameIndex) -> Result<Event, WireError> {
    Ok(Event::Request(Request {
        id: line.int("call")?,
        class: index_of(line, "category", |name| names.class(name))?,
        plan: index_of(line, "terms", |name| names.plan(name))?,
        customer: u64::from_str_radix(line.text("account")?, 16).map_err(|_| WireError::MalformedCustomer)?,
        units: line.optional("weight", Line::number, 1.0)?,
        timeout: line.time("leftMs")?,
        spread: line.optional("setSize", Line::number, 1.0)?.clamp(1.0, 1e6) as u32,
    }))
}

/// Returns the index in the settings of the name that field `key` holds.
fn index_of(
    line: &Line<'_>,
    key: &'static str,
    find: impl Fn(&str) -> Option<usize>,
) -> Result<usize, WireError> {
    let name = line.text(key)?;
    find(name).ok_or_else(|| WireError::NotInSettings { key, value: name.to_string() })
}

fn health_check_ended(line: &Line<'_>, names: &NameIndex) -> Result<Event, WireError> {
    Ok(Event::HealthCheckEnded {
        backend: line.text("backend")?.into(),
        outcome: outcome(line)?,
        latency: line.optional("latencyMs", Line::time, 0)?,
        report: load_report(line, names)?,
    })
}

fn stream_started(line: &Line<'_>) -> Result<Event, WireError> {
    Ok(Event::StreamStarted {
        request: line.int("call")?,
        attempt: line.optional("copy", Line::int32, 0)?,
        latency: line.optional("latencyMs", Line::time, 0)?,
    })
}

fn counter_replied(line: &Line<'_>) -> Result<Event, WireError> {
    Ok(Event::CounterReplied {
        name: line.int("book")?,
        outcome: outcome(line)?,
        total: line.optional("reading", |line, key| line.number(key).map(Some), None)?,
    })
}

fn peer_message(line: &Line<'_>) -> Result<Event, WireError> {
    let from = line.int32("from")?;
    let bytes = match line.text("bytes")? {
        "-" => Vec::new(),
        text => STANDARD.decode(text).map_err(WireError::MalformedBytes)?,
    };
    Ok(Event::PeerMessage { from, bytes })
}

fn attempt_ended(line: &Line<'_>, names: &NameIndex) -> Result<Event, WireError> {
    Ok(Event::AttemptEnded(AttemptResult {
        request: line.int("call")?,
        attempt: line.optional("copy", Line::int32, 0)?,
        outcome: outcome(line)?,
        latency: line.optional("latencyMs", Line::time, 0)?,
        request_done: line.flag("finished")?,
        metered_usage: metered_usage(line)?,
        actual_units: Some(line.optional("cost", Line::number, 0.0)?).filter(|units| *units > 0.0),
        report: load_report(line, names)?,
    }))
}

/// The share of its quota that a customer has used. The field `used` holds it in percent plus 1; 0 means that nothing
/// was metered.
fn metered_usage(line: &Line<'_>) -> Result<Option<f64>, WireError> {
    Ok(match line.optional("used", Line::int, 0)? {
        0 => None,
        hundredths => Some((hundredths - 1) as f64 / 100.0),
    })
}

fn outcome(line: &Line<'_>) -> Result<Outcome, WireError> {
    Ok(match line.text("disposition")? {
        "Ok" => Outcome::Ok,
        "Failed" => Outcome::Error,
        "QueueFull" => Outcome::Rejected,
        "TimedOut" => Outcome::TimedOut,
        "ConnectError" => Outcome::ConnectFailed,
        "ResetByPeer" => Outcome::Reset,
        "Canceled" => Outcome::Canceled,
        "Ignored" => Outcome::NotSent,
        other => return Err(WireError::UnknownValue { key: "disposition", value: other.to_string() }),
    })
}

fn load_report(line: &Line<'_>, names: &NameIndex) -> Result<LoadReport, WireError> {
    let text = line.get("healthInfo").unwrap_or_default();
    names.load_report(text, ':').map_err(WireError::LoadReport)
}
