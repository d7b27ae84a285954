//! `sedgestack-kit config stage|commit|undo|hold|pin`: changes the runtime configuration and reports the outcome.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use clap::{Args, ValueEnum};
use serde_json::{json, Value};

use super::{client, plain_text, TierAddresses};
use crate::error::{KitError, LimiterNumberError, TierError};
use crate::output::{Format, Verdict};

/// Interval between requests for the state of a change.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum wait for a change's outcome as a multiple of its lead, the time from its proposal to its activation. A vote
/// takes the lead and some rounds, for which `OUTCOME_TIMEOUT_MARGIN` is added.
const OUTCOME_TIMEOUT_LEADS: u32 = 3;
/// Addition to the maximum wait for a change's outcome, for the rounds of the vote.
const OUTCOME_TIMEOUT_MARGIN: Duration = Duration::from_secs(30);

/// Which limiters must vote for a change.
#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Scope {
    /// More than half of all limiters; the others stop serving until they have learned of the change
    Majority,
    /// All limiters except those given by --except; the change is void if one does not answer within the lead
    All,
}

#[derive(Args)]
/// Arguments of `sedgestack-kit config commit`.
pub struct Commit {
    /// The document that becomes the next version
    file: PathBuf,
    #[command(flatten)]
    at: TierAddresses,
    /// Which limiters must answer
    #[arg(long, value_enum, default_value = "majority")]
    scope: Scope,
    /// Number of a limiter that is known to be down, such as 7 or n7; may be repeated
    #[arg(long, value_name = "LIMITER", value_parser = limiter_number)]
    except: Vec<u32>,
    /// Makes the change even if the active version is pinned
    #[arg(long)]
    force: bool,
    /// Exits once the change has begun, without waiting for its outcome
    #[arg(long)]
    begin_only: bool,
}

/// Parses a limiter's number, with or without the prefix `n`.
fn limiter_number(text: &str) -> Result<u32, LimiterNumberError> {
    let digits = text.strip_prefix('n').unwrap_or(text);
    digits.parse().map_err(|_| LimiterNumberError(text.to_string()))
}

/// A document that a limiter has checked and stored, ready to commit.
struct Staged {
    address: SocketAddr,
    answer: Value,
}

/// Has the first limiter that responds check and store a document.
fn stage_document(file: &Path, at: &TierAddresses) -> Result<Staged, KitError> {
    let text = std::fs::read_to_string(file).map_err(KitError::file(file))?;
    let address = at.first_answering()?;
    let answer = client::put(address, "rules/stage", &text).map_err(|error| name_file(error, file))?;
    Ok(Staged { address, answer })
}

/// Replaces the name `document`, by which limiters report errors in what they are sent, by the file's path.
fn name_file(error: TierError, file: &Path) -> TierError {
    let TierError::Status { address, status, message } = error else { return error };
    let named = format!(" {message}").replace(" document:", &format!(" {}:", file.display()));
    TierError::Status { address, status, message: named[1..].to_string() }
}

/// Has a limiter check a document against its active one, and prints the differences.
pub fn stage(file: &Path, at: &TierAddresses, format: Format) -> Result<Verdict, KitError> {
    let Staged { address, answer } = stage_document(file, at)?;
    if format == Format::Json {
        println!("{answer}");
        return Ok(Verdict::Done);
    }
    for change in answer["changes"].as_array().into_iter().flatten() {
        println!("  {}", plain_text(&change["words"]));
    }
    println!("{address}: staged {} for version {}", plain_text(&answer["digest"]), answer["parent"]);
    Ok(Verdict::Done)
}

/// Stages a document, begins the change, and waits for its outcome.
pub fn commit(arguments: &Commit, format: Format) -> Result<Verdict, KitError> {
    let Staged { address, answer } = stage_document(&arguments.file, &arguments.at)?;
    let mut path = format!("rules/commit?digest={}", plain_text(&answer["digest"]));
    if arguments.scope == Scope::All {
        path += "&scope=all";
    }
    if arguments.force {
        path += "&force=yes";
    }
    arguments.except.iter().for_each(|limiter| path += &format!("&except={limiter}"));
    let begun = BegunChange::begin(address, &path, format)?;
    if arguments.begin_only {
        return Ok(begun.finish(Verdict::Done, "begun", &json!([])));
    }
    begun.wait()
}

/// Begins a change that needs no document (undo, hold, pin), and waits for its outcome.
pub fn begin(at: &TierAddresses, change: &str, format: Format) -> Result<Verdict, KitError> {
    BegunChange::begin(at.first_answering()?, &format!("rules/{change}"), format)?.wait()
}

/// A change that was begun at a limiter.
struct BegunChange {
    address: SocketAddr,
    /// The limiter's response to the call that began the change.
    answer: Value,
    format: Format,
}

impl BegunChange {
    fn begin(address: SocketAddr, path: &str, format: Format) -> Result<BegunChange, KitError> {
        Ok(BegunChange { address, answer: client::put(address, path, "")?, format })
    }

    /// Waits until the change is active or void, and prints the outcome. After a timeout, prints that it is still open.
    fn wait(&self) -> Result<Verdict, KitError> {
        let deadline =
            Instant::now() + OUTCOME_TIMEOUT_LEADS * self.time_to_activation() + OUTCOME_TIMEOUT_MARGIN;
        while Instant::now() < deadline {
            let state = client::get(self.address, client::RULES)?;
            if let Some(verdict) = self.check(&state) {
                return Ok(verdict);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(self.finish(Verdict::No, "not ended yet: see config status", &json!([])))
    }

    /// Returns the time until the change is due to become active.
    fn time_to_activation(&self) -> Duration {
        let active_at_us = self.answer["at_us"].as_u64().unwrap_or(0);
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Duration::from_micros(active_at_us.saturating_sub(now.as_micros() as u64))
    }

    /// Prints the change's outcome if the limiter's state shows it; returns `None` otherwise.
    fn check(&self, state: &Value) -> Option<Verdict> {
        let begun = &state["begun_here"];
        let none = json!([]);
        if begun["version"] != self.answer["version"] {
            let outcome = "another change was begun there since: see config history";
            return Some(self.finish(Verdict::No, outcome, &none));
        }
        let is_active = state["version"].as_u64() >= self.answer["version"].as_u64();
        match begun["outcome"].as_str() {
            Some("made") if is_active => Some(self.finish(Verdict::Done, "made, in force", &none)),
            Some("void") => {
                let missing = &begun["unanswered"];
                Some(self.finish(Verdict::No, &void_reason(missing), missing))
            }
            _ => None,
        }
    }

    /// Prints the change's outcome and returns `verdict`.
    fn finish(&self, verdict: Verdict, outcome: &str, unanswered: &Value) -> Verdict {
        let version = &self.answer["version"];
        match self.format {
            Format::Json => {
                println!("{}", json!({"version": version, "outcome": outcome, "unanswered": unanswered}));
            }
            Format::Table => println!("version {version}: {outcome}"),
        }
        verdict
    }
}

fn void_reason(missing: &Value) -> String {
    if missing.as_array().is_some_and(|limiters| !limiters.is_empty()) {
        format!("void: no answer from limiters {missing}")
    } else {
        "void".into()
    }
}
