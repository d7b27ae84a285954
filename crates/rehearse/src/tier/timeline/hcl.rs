//! Reads and prints timelines as HCL, with one block for each step.

use std::fmt;
use std::path::Path;
use std::time::Duration;

use sedgestack_hcl::{ConfigError, Document, Section};

use super::step::{keyword_of, Step, DATAGRAM_KINDS, LINK_STATES, SERVICES, STORE_STATES};
use crate::tier::NetworkConditions;

/// Rates that a change may set, in units per second. They are within a factor of two of the reference rate, so that a
/// change needs no override.
const RATES: std::ops::RangeInclusive<f64> = 3.6..=14.4;
/// Maximum number of datagrams that a trigger waits for.
const MAX_NTH: u64 = 10_000;
const MICROS_PER_MS: u64 = 1_000;

impl fmt::Display for Step {
    /// Prints the step as an HCL block. [`read`] parses it to the same step.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Step::Change { at, rate } => write_block(f, "change", &[("at", at), ("rate", rate)]),
            Step::Undo { at } => write_block(f, "undo", &[("at", at)]),
            Step::HarmfulChange { at, undo } => write_block(f, "ruin", &[("at", at), ("undo", undo)]),
            Step::Kill { limiter } => write_block(f, "kill", &[("limiter", limiter)]),
            Step::KillAt { limiter, from, kind, nth } => write_block(
                f,
                "kill",
                &[("limiter", limiter), ("from", from), ("kind", &Quoted(kind)), ("nth", nth)],
            ),
            Step::Restart { limiter, store } => {
                let store = Quoted(keyword_of(&STORE_STATES, store));
                write_block(f, "restart", &[("limiter", limiter), ("store", &store)])
            }
            Step::Freeze { limiter } => write_block(f, "freeze", &[("limiter", limiter)]),
            Step::Thaw { limiter } => write_block(f, "thaw", &[("limiter", limiter)]),
            Step::Cut { from, to } => write_block(f, "cut", &[("from", from), ("to", to)]),
            Step::Split { below } => write_block(f, "split", &[("below", below)]),
            Step::Link { limiter, to, state } => {
                let (to, state) =
                    (Quoted(keyword_of(&SERVICES, to)), Quoted(keyword_of(&LINK_STATES, state)));
                write_block(f, "link", &[("limiter", limiter), ("to", &to), ("state", &state)])
            }
            Step::RestoreLinks => write!(f, "step \"mend\" {{}}"),
            Step::SetNetworkConditions(conditions) => write_block(
                f,
                "weather",
                &[
                    ("loss", &conditions.loss),
                    ("double", &conditions.duplication),
                    ("damage", &conditions.corruption),
                    ("late", &Milliseconds(conditions.max_delay.as_millis())),
                ],
            ),
            Step::Pause { ms } => write_block(f, "pause", &[("for", &Milliseconds(u128::from(*ms)))]),
        }
    }
}

/// Prints a keyword as an HCL string. Keywords need no escapes.
struct Quoted(&'static str);

impl fmt::Display for Quoted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "\"{}\"", self.0)
    }
}

/// Prints a duration in milliseconds as an HCL string.
struct Milliseconds(u128);

impl fmt::Display for Milliseconds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "\"{}ms\"", self.0)
    }
}

/// Writes the block of a step, with the equals signs of its attributes aligned.
fn write_block(
    f: &mut fmt::Formatter<'_>,
    label: &str,
    attributes: &[(&str, &dyn fmt::Display)],
) -> fmt::Result {
    let width = attributes.iter().map(|(key, _)| key.len()).max().unwrap_or(0);
    writeln!(f, "step \"{label}\" {{")?;
    for (key, value) in attributes {
        writeln!(f, "  {key:width$} = {value}")?;
    }
    write!(f, "}}")
}

/// Reads a timeline for a tier of the given number of limiters.
///
/// # Errors
/// If the file can't be read or is not a valid timeline. The error names the file, line, column and key, and what was
/// expected there.
pub fn read(path: &Path, limiters: u32) -> Result<Vec<Step>, ConfigError> {
    let document = Document::read(path)?;
    let root = document.root();
    let steps = root.blocks("step").iter().map(|section| read_step(section, limiters)).collect();
    root.reject_unknown_keys()?;
    steps
}

fn read_step(section: &Section<'_>, limiters: u32) -> Result<Step, ConfigError> {
    let limiter = |key: &str| section.integer(key, 0..=u64::from(limiters) - 1).map(|n| n as u32);
    let step = match section.label()? {
        "change" => Step::Change { at: limiter("at")?, rate: section.number("rate", RATES)? },
        "undo" => Step::Undo { at: limiter("at")? },
        "ruin" => Step::HarmfulChange { at: limiter("at")?, undo: section.bool_or("undo", true)? },
        "kill" if section.contains("from") => Step::KillAt {
            limiter: limiter("limiter")?,
            from: limiter("from")?,
            kind: DATAGRAM_KINDS[section.keyword("kind", &DATAGRAM_KINDS)?],
            nth: section.integer_or("nth", 1..=MAX_NTH, 1)? as u32,
        },
        "kill" => Step::Kill { limiter: limiter("limiter")? },
        "restart" => {
            let keywords = STORE_STATES.map(|(_, keyword)| keyword);
            let store = section.keyword_or_first("store", &keywords);
            Step::Restart { limiter: limiter("limiter")?, store: STORE_STATES[store?].0 }
        }
        "freeze" => Step::Freeze { limiter: limiter("limiter")? },
        "thaw" => Step::Thaw { limiter: limiter("limiter")? },
        "cut" => Step::Cut { from: limiter("from")?, to: limiter("to")? },
        "split" => Step::Split { below: section.integer("below", 1..=u64::from(limiters) - 1)? as u32 },
        "link" => Step::Link {
            limiter: limiter("limiter")?,
            to: SERVICES[section.keyword("to", &SERVICES.map(|(_, keyword)| keyword))?].0,
            state: LINK_STATES[section.keyword("state", &LINK_STATES.map(|(_, keyword)| keyword))?].0,
        },
        "mend" => Step::RestoreLinks,
        "weather" => Step::SetNetworkConditions(read_network_conditions(section)?),
        "pause" => Step::Pause { ms: section.duration("for")? / MICROS_PER_MS },
        _ => {
            return Err(section.error(
                "expected step \"change\", \"undo\", \"ruin\", \"kill\", \"restart\", \"freeze\", \"thaw\", \"cut\", \"split\", \
                 \"link\", \"mend\", \"weather\" or \"pause\"",
            ))
        }
    };
    section.reject_unknown_keys()?;
    Ok(step)
}

fn read_network_conditions(section: &Section<'_>) -> Result<NetworkConditions, ConfigError> {
    let fraction = |key: &str| section.number_or(key, 0.0..=1.0, 0.0);
    Ok(NetworkConditions {
        loss: fraction("loss")?,
        duplication: fraction("double")?,
        corruption: fraction("damage")?,
        max_delay: Duration::from_millis(section.duration_or("late", 0)? / MICROS_PER_MS),
    })
}
