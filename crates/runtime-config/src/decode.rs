//! Decoding of HCL into a [`Document`].

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use sedgestack_hcl::{ConfigError, Section};

use crate::{Class, Document, Micros, Plan, Provenance};

/// Minimum length of the reason for a version, in bytes.
const MIN_REASON_LENGTH: usize = 8;
const PARENT_RANGE: RangeInclusive<u64> = 0..=u32::MAX as u64;
const RATE_RANGE: RangeInclusive<f64> = 0.001..=1e9;
const BURST_RANGE: RangeInclusive<f64> = 1.0..=1e9;
const PRICE_RANGE: RangeInclusive<f64> = 0.0..=1e6;
const DEFAULT_PRICE: f64 = 1.0;

/// Addresses of the services that limiters depend on. `None` keeps the address that a limiter was configured with.
struct Addresses {
    counter: Option<SocketAddr>,
    discovery: Option<SocketAddr>,
}

/// Decodes a parsed file. `text` is its source text, which the document keeps.
pub fn decode_document(file: &sedgestack_hcl::Document, text: &str) -> Result<Document, ConfigError> {
    let root = file.root();
    let version = root.block("version")?;
    let provenance = decode_provenance(&version)?;
    let overrides = decode_overrides(&version)?;
    version.reject_unknown_keys()?;
    let plans = decode_named_blocks(&root, "plan", decode_plan)?;
    let classes = decode_named_blocks(&root, "class", decode_class)?;
    let max_retry_after = decode_max_retry_after(&root)?;
    let Addresses { counter, discovery } = decode_addresses(&root)?;
    root.reject_unknown_keys()?;
    reject_empty(&root, "plan", plans.is_empty())?;
    reject_empty(&root, "class", classes.is_empty())?;
    let text = text.to_string();
    Ok(Document { provenance, plans, classes, max_retry_after, counter, discovery, overrides, text })
}

fn decode_provenance(version: &Section<'_>) -> Result<Provenance, ConfigError> {
    let provenance = Provenance {
        parent: version.integer("parent", PARENT_RANGE)?,
        author: version.string("author")?.to_string(),
        reason: version.string("reason")?.to_string(),
        has_canary_analysis: version.bool_or("watch", true)?,
        pinned: version.bool_or("pinned", false)?,
    };
    if provenance.author.trim().is_empty() {
        return Err(version.error_at("author", "expected the name of the change's author"));
    }
    if provenance.reason.trim().len() < MIN_REASON_LENGTH {
        return Err(version.error_at("reason", "expected a reason that explains the change"));
    }
    Ok(provenance)
}

fn decode_overrides(version: &Section<'_>) -> Result<Vec<String>, ConfigError> {
    if version.contains("overrides") {
        version.strings("overrides")
    } else {
        Ok(Vec::new())
    }
}

/// Decodes all blocks of a kind. Returns them by label, which must be unique.
fn decode_named_blocks<T>(
    root: &Section<'_>,
    kind: &str,
    decode: impl Fn(&Section<'_>) -> Result<T, ConfigError>,
) -> Result<BTreeMap<String, T>, ConfigError> {
    let mut decoded = BTreeMap::new();
    for block in root.blocks(kind) {
        let value = decode(&block)?;
        block.reject_unknown_keys()?;
        let is_duplicate = decoded.insert(block.label()?.to_string(), value).is_some();
        if is_duplicate {
            return Err(block.error(format!("expected a name that no other {kind} has")));
        }
    }
    Ok(decoded)
}

fn decode_plan(block: &Section<'_>) -> Result<Plan, ConfigError> {
    Ok(Plan {
        rate: block.number("rate", RATE_RANGE)?,
        burst: block.number("burst", BURST_RANGE)?,
        price: block.number_or("price", PRICE_RANGE, DEFAULT_PRICE)?,
    })
}

fn decode_class(block: &Section<'_>) -> Result<Class, ConfigError> {
    let class = Class { latency_objective: block.duration("aim")?, deadline: block.duration("deadline")? };
    if class.latency_objective == 0 || class.latency_objective > class.deadline {
        return Err(block.error_at("aim", "expected a duration above 0 and no longer than deadline"));
    }
    Ok(class)
}

fn decode_max_retry_after(root: &Section<'_>) -> Result<Micros, ConfigError> {
    let Some(limits) = root.optional_block("limits")? else { return Ok(0) };
    let max_retry_after = limits.duration_or("max_retry_after", 0)?;
    limits.reject_unknown_keys()?;
    Ok(max_retry_after)
}

fn decode_addresses(root: &Section<'_>) -> Result<Addresses, ConfigError> {
    let Some(block) = root.optional_block("addresses")? else {
        return Ok(Addresses { counter: None, discovery: None });
    };
    let addresses = Addresses {
        counter: decode_address(&block, "counter")?,
        discovery: decode_address(&block, "discovery")?,
    };
    block.reject_unknown_keys()?;
    Ok(addresses)
}

fn decode_address(block: &Section<'_>, key: &str) -> Result<Option<SocketAddr>, ConfigError> {
    if !block.contains(key) {
        return Ok(None);
    }
    let address = block.string(key)?.parse();
    let expected = "expected an IP address and a port, such as \"10.0.0.4:6400\"";
    address.map(Some).map_err(|_| block.error_at(key, expected))
}

/// Returns an error if there is no block of a kind.
fn reject_empty(root: &Section<'_>, kind: &str, is_empty: bool) -> Result<(), ConfigError> {
    if is_empty {
        return Err(root.error(format!("expected at least one block {kind} \"name\" {{ ... }}")));
    }
    Ok(())
}
