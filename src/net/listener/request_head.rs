//! Parses the path and headers that the platform defines.
//!
//! Values that no normal client sends (out of the settings' range, or repeated) are rejected here, so that they can't
//! influence decisions, in particular not in the name of another customer.
//!
//! A parsed head of many short fields takes several times its bytes, and its values share the buffer that it was read
//! into. So all that is needed of a head is copied, and nothing of it is kept while its request waits.

use std::time::Duration;

use axum::http::request::Parts;
use axum::http::uri::PathAndQuery;
use axum::http::{header, HeaderMap, HeaderValue, Method, Version};
use bytes::Bytes;
use sedgestack::Idempotency;

use super::request_error::RequestError;
use super::Listener;

/// Customer numbers are below this limit.
const CUSTOMER_LIMIT: u64 = 1 << 33;

/// What is needed of a request's head, copied from it.
pub(super) struct RequestHead {
    pub(super) method: Method,
    /// The version of HTTP that the client speaks.
    pub(super) version: Version,
    pub(super) path: PathAndQuery,
    /// Length of the body. A request without a Content-Length has none.
    pub(super) body_length: u64,
    pub(super) class: usize,
    pub(super) plan: usize,
    pub(super) customer: u64,
    pub(super) metering: Metering,
    pub(super) is_retry: bool,
    /// How long the client waits for a response.
    pub(super) timeout: Duration,
    pub(super) id: HeaderValue,
    pub(super) idempotency_key: Option<HeaderValue>,
}

/// The values of the X-Metering header.
#[derive(Debug, PartialEq)]
pub(super) struct Metering {
    /// Units that the request costs.
    pub(super) units: f64,
    /// Number of limiters over which the customer's requests are spread.
    pub(super) spread: u32,
    /// The first limiter of the customer's subset of limiters.
    pub(super) first: u32,
}

/// The class and customer in a request's path.
struct PathNames<'a> {
    class: &'a str,
    customer: &'a str,
}

impl RequestHead {
    /// Parses a request's path and headers. Returns an error for the first unexpected value.
    pub(super) fn parse(listener: &Listener, parts: &Parts) -> Result<RequestHead, RequestError> {
        let headers = &parts.headers;
        let path = parse_path(parts.uri.path())?;
        let class = listener.names.class(path.class).ok_or(RequestError::UnknownPath)?;
        expect(
            !headers.contains_key(header::TRANSFER_ENCODING),
            "expected a Content-Length, not a Transfer-Encoding",
        )?;
        let customer =
            required(parse_customer(path.customer), "the customer is not 16 hex digits below 2^33")?;
        let named_class = single_text(headers, "x-class");
        expect(named_class == Some(path.class), "expected one X-Class header with the class of the path")?;
        let plan = single_text(headers, "x-contract").and_then(|n| listener.names.plan(n));
        let plan = required(plan, "expected one X-Contract header with a known plan")?;
        // The platform defines no format for the id, so it is forwarded as received.
        let id = single_value(headers, "x-request-id").map(copied);
        let id = required(id, "expected one X-Request-Id header")?;
        let timeout_ms = single_text(headers, "x-deadline-ms").and_then(parse_milliseconds);
        let timeout_ms = required(timeout_ms, "expected one X-Deadline-Ms header with a whole number")?;
        let metering = single_text(headers, "x-metering").and_then(|t| Metering::parse(listener, t));
        let metering =
            required(metering, "expected one X-Metering header with units, spread and first in range")?;
        let idempotency_key = single_value(headers, "idempotency-key").map(copied);
        let is_retry = single_text(headers, "x-retry") == Some("1");
        check_class_rules(listener.idempotency[class], parts, idempotency_key.is_some())?;
        let timeout = Duration::from_millis(timeout_ms.into()).min(listener.max_timeout);
        Ok(RequestHead {
            method: parts.method.clone(),
            version: parts.version,
            path: copied_path(parts)?,
            body_length: announced_length(headers),
            class,
            plan,
            customer,
            metering,
            is_retry,
            timeout,
            id,
            idempotency_key,
        })
    }
}

/// Returns a copy that does not share the buffer of the head.
fn copied(value: &HeaderValue) -> HeaderValue {
    HeaderValue::from_bytes(value.as_bytes()).expect("the bytes are those of a header value")
}

/// Returns a copy of the path and query that does not share the buffer of the head.
fn copied_path(parts: &Parts) -> Result<PathAndQuery, RequestError> {
    let path = parts.uri.path_and_query().ok_or(RequestError::UnknownPath)?;
    let copy = Bytes::copy_from_slice(path.as_str().as_bytes());
    PathAndQuery::from_maybe_shared(copy).map_err(|_| RequestError::UnknownPath)
}

fn announced_length(headers: &HeaderMap) -> u64 {
    let length = headers.get(header::CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse().ok());
    length.unwrap_or(0)
}

fn expect(condition: bool, expected: &'static str) -> Result<(), RequestError> {
    if condition {
        Ok(())
    } else {
        Err(RequestError::Malformed(expected))
    }
}

fn required<T>(value: Option<T>, expected: &'static str) -> Result<T, RequestError> {
    value.ok_or(RequestError::Malformed(expected))
}

/// Parses a path of the form `/CLASS/CUSTOMER`.
fn parse_path(path: &str) -> Result<PathNames<'_>, RequestError> {
    let mut names = path.strip_prefix('/').unwrap_or_default().split('/');
    match (names.next(), names.next(), names.next()) {
        (Some(class), Some(customer), None) => Ok(PathNames { class, customer }),
        _ => Err(RequestError::UnknownPath),
    }
}

/// Returns the value of a header that occurs exactly once and is not empty.
fn single_value<'a>(headers: &'a HeaderMap, name: &'static str) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|v| !v.is_empty() && values.next().is_none())
}

fn single_text<'a>(headers: &'a HeaderMap, name: &'static str) -> Option<&'a str> {
    single_value(headers, name).and_then(|v| v.to_str().ok())
}

fn parse_customer(text: &str) -> Option<u64> {
    let is_hex = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    let customer = is_hex.then(|| u64::from_str_radix(text, 16).ok()).flatten();
    customer.filter(|c| *c < CUSTOMER_LIMIT)
}

fn parse_milliseconds(text: &str) -> Option<u32> {
    let is_number = text.bytes().all(|b| b.is_ascii_digit());
    is_number.then(|| text.parse().ok()).flatten()
}

/// Checks that the method, body and idempotency key are those of the class.
fn check_class_rules(
    idempotency: Idempotency,
    parts: &Parts,
    has_idempotency_key: bool,
) -> Result<(), RequestError> {
    match idempotency {
        Idempotency::Idempotent => {
            expect(parts.method == Method::GET, "this class requires GET")?;
            let is_empty = parts.headers.get(header::CONTENT_LENGTH).is_none_or(|l| l == "0");
            expect(is_empty, "this class allows no body")
        }
        Idempotency::IdempotencyKey { .. } => {
            expect(parts.method == Method::POST, "this class requires POST")?;
            expect(has_idempotency_key, "expected one Idempotency-Key header")
        }
        Idempotency::NotIdempotent => expect(parts.method == Method::POST, "this class requires POST"),
    }
}

impl Metering {
    /// Parses `units=2,spread=3,first=1`: each name must occur exactly once, with a value allowed by the settings.
    fn parse(listener: &Listener, text: &str) -> Option<Metering> {
        let (mut units, mut spread, mut first) = (None, None, None);
        for pair in text.split(',') {
            let (name, value) = pair.trim().split_once('=')?;
            let is_repeated = match name {
                "units" => units.replace(parse_units(listener, value)?).is_some(),
                "spread" => spread.replace(parse_spread(listener, value)?).is_some(),
                "first" => first.replace(parse_first(listener, value)?).is_some(),
                _ => false,
            };
            if is_repeated {
                return None;
            }
        }
        Some(Metering { units: units?, spread: spread?, first: first? })
    }
}

fn parse_units(listener: &Listener, text: &str) -> Option<f64> {
    text.parse().ok().filter(|units| *units > 0.0 && *units <= listener.max_units)
}

fn parse_spread(listener: &Listener, text: &str) -> Option<u32> {
    text.parse().ok().filter(|spread| (1..=listener.limiters).contains(spread))
}

fn parse_first(listener: &Listener, text: &str) -> Option<u32> {
    text.parse().ok().filter(|first| *first < listener.limiters)
}
