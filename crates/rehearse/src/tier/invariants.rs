//! Checks the invariants of consensus. The checks use the answers that clients recorded and the histories of all
//! limiters, so that no single limiter's view decides.
//!
//! - One history: all limiters that report a version report the same document and activation time for it.
//! - One version at a time: the version that an answer names was active at some time between the sending of the request
//!   and the arrival of the answer. The maximum difference between the limiters' clocks is tolerated.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;
use serde_json::Value;

/// Unix time in microseconds.
pub type Micros = u64;

/// A request and its answer, as recorded by the client.
#[derive(Clone, PartialEq, Serialize)]
pub struct AnswerRecord {
    /// The number of the limiter that the request was sent to.
    pub limiter: u32,
    /// Time at which the client sent the request.
    pub sent: Micros,
    /// Time at which the client received the answer.
    pub answered: Micros,
    /// Index of the customer's plan in the fleet file.
    pub plan: u32,
    /// The HTTP status code of the answer.
    pub status: u16,
    /// The version that the answer names. Rejections by a limiter that does not know the active version name none.
    pub version: Option<u64>,
}

impl fmt::Debug for AnswerRecord {
    /// Prints answers under the name `Seen`, which scripts that read the reports of campaigns expect.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Seen")
            .field("limiter", &self.limiter)
            .field("sent", &self.sent)
            .field("answered", &self.answered)
            .field("plan", &self.plan)
            .field("status", &self.status)
            .field("version", &self.version)
            .finish()
    }
}

/// A violated invariant. Reports print the variants and their fields by name.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Violation {
    /// Two limiters report different contents or activation times for a version.
    TwoHistories {
        /// The number of the version.
        version: u64,
        /// The first report: the digest, whether the version is void, and the activation time.
        one: String,
        /// The report that differs, in the same form.
        other: String,
    },
    /// An answer names a version that no limiter reports.
    Unknown {
        /// The answer that names the unreported version.
        seen: AnswerRecord,
    },
    /// The version that an answer names was not active yet or no longer active, by more than the bound.
    OutOfForce {
        /// The answer that names the inactive version.
        seen: AnswerRecord,
        /// By how much the bound was exceeded, in microseconds.
        by_us: u64,
    },
    /// The answer to a served request names no version.
    Unversioned {
        /// The answer without a version.
        seen: AnswerRecord,
    },
    /// A document became active again after automatic rollback, although no operator had requested this.
    UndoneTwice {
        /// The digest of the document.
        digest: String,
        /// How many times the document became active.
        made: usize,
    },
}

/// The result of a check.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct CheckReport {
    /// Number of answers checked.
    pub answers: usize,
    /// Number of distinct versions in all histories, including void ones.
    pub versions: usize,
    /// The longest time by which an answer was outside the active time of its version, in microseconds, whether within
    /// the bound or not.
    pub largest_mixing_us: u64,
    /// All violations found; empty if the invariants hold.
    pub broken: Vec<Violation>,
}

/// Checks answers against the histories that limiters report. `bound` is the maximum time by which the active times of
/// two versions may overlap.
pub fn check(answers: &[AnswerRecord], histories: &[Value], bound: Micros) -> CheckReport {
    let mut report = CheckReport { answers: answers.len(), ..CheckReport::default() };
    let versions = merge_histories(histories, &mut report.broken);
    report.versions = versions.len();
    let timeline = ActivationTimeline::new(&versions, answers);
    for answer in answers {
        check_answer(answer, &versions, &timeline, bound, &mut report);
    }
    report
}

/// A version as reported in a limiter's history.
#[derive(Clone, PartialEq)]
struct ReportedVersion {
    /// The digest of the document, as JSON text.
    digest: String,
    is_void: bool,
    activated_at: Micros,
}

impl ReportedVersion {
    fn read(entry: &Value) -> ReportedVersion {
        ReportedVersion {
            digest: entry["digest"].to_string(),
            is_void: entry["void"] == true,
            activated_at: entry["at"].as_u64().unwrap_or(0),
        }
    }

    /// Returns the text that violations show.
    fn describe(&self) -> String {
        format!("{:?}", (&self.digest, self.is_void, self.activated_at))
    }
}

/// Merges the versions that limiters report. Adds a violation for each report that differs from the first one of its
/// version.
fn merge_histories(histories: &[Value], violations: &mut Vec<Violation>) -> BTreeMap<u64, ReportedVersion> {
    let mut versions = BTreeMap::new();
    for entry in histories.iter().filter_map(Value::as_array).flatten() {
        let version = entry["version"].as_u64().unwrap_or(0);
        let reported = ReportedVersion::read(entry);
        let known = versions.entry(version).or_insert_with(|| reported.clone());
        if *known != reported {
            let (one, other) = (known.describe(), reported.describe());
            violations.push(Violation::TwoHistories { version, one, other });
        }
    }
    versions
}

/// A version that became active. Void versions never do: the previous version stays active.
struct Activation {
    version: u64,
    /// The activation time that limiters report.
    at: Micros,
    /// Arrival of the first answer that names this version or a later one.
    first_seen: Micros,
}

/// All activations, ordered by version.
struct ActivationTimeline(Vec<Activation>);

impl ActivationTimeline {
    fn new(versions: &BTreeMap<u64, ReportedVersion>, answers: &[AnswerRecord]) -> ActivationTimeline {
        let activations = versions.iter().filter(|(_, reported)| !reported.is_void);
        let activations = activations.map(|(version, reported)| Activation {
            version: *version,
            at: reported.activated_at,
            first_seen: first_answer_under(*version, answers),
        });
        ActivationTimeline(activations.collect())
    }

    /// Returns the time by which an answer was outside the active time of its version; 0 if it was inside.
    fn distance(&self, answer: &AnswerRecord, version: u64) -> Micros {
        let next = self.0.partition_point(|activation| activation.version <= version);
        let from = next.checked_sub(1).map_or(0, |current| self.0[current].at);
        // A change that is decided late becomes active after its activation time. The previous version therefore stays
        // active until the first answer under the next version, but at least until the next version's activation time.
        let until = self.0.get(next).map_or(Micros::MAX, |following| following.first_seen.max(following.at));
        let too_early = from.saturating_sub(answer.answered);
        let too_late = answer.sent.saturating_sub(until);
        too_early.max(too_late)
    }
}

/// Returns the arrival of the first answer that names `version` or a later one, or `Micros::MAX` if there is none.
fn first_answer_under(version: u64, answers: &[AnswerRecord]) -> Micros {
    let under = answers.iter().filter(|answer| answer.version.is_some_and(|named| named >= version));
    under.map(|answer| answer.answered).min().unwrap_or(Micros::MAX)
}

/// Checks one answer and adds the result to `report`.
fn check_answer(
    answer: &AnswerRecord,
    versions: &BTreeMap<u64, ReportedVersion>,
    timeline: &ActivationTimeline,
    bound: Micros,
    report: &mut CheckReport,
) {
    let Some(version) = answer.version else {
        if answer.status == 200 {
            report.broken.push(Violation::Unversioned { seen: answer.clone() });
        }
        return;
    };
    if version > 0 && !versions.contains_key(&version) {
        report.broken.push(Violation::Unknown { seen: answer.clone() });
        return;
    }
    let distance = timeline.distance(answer, version);
    report.largest_mixing_us = report.largest_mixing_us.max(distance);
    if distance > bound {
        report.broken.push(Violation::OutOfForce { seen: answer.clone(), by_us: distance - bound });
    }
}

/// The cost of a harmful change of a plan, from its activation until it was rolled back or the record ends.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct HarmfulChangeCost {
    /// Time from the activation of the change to that of the next version, in milliseconds. `None` if no version
    /// followed.
    pub undone_after_ms: Option<u64>,
    /// Number of requests of the plan sent while the change was active.
    pub tries: usize,
    /// Number of these requests that were not served.
    pub lost: usize,
    /// Total value of the requests that were not served. The value of a request is the priority weight of the first
    /// class times the plan's price.
    pub worth_lost: f64,
}

/// Returns the cost of a harmful change of a plan, or `None` if the change never became active. `digest` identifies the
/// document of the change; `value` is the value of one request of the plan.
///
/// # Errors
/// If the document became active more than once, which means that it returned after automatic rollback.
pub fn harmful_change_cost(
    answers: &[AnswerRecord],
    history: &Value,
    digest: &str,
    plan: u32,
    value: f64,
) -> Result<Option<HarmfulChangeCost>, Violation> {
    let activated: Vec<&Value> =
        history.as_array().into_iter().flatten().filter(|entry| entry["void"] == false).collect();
    let indices: Vec<usize> = (0..activated.len()).filter(|n| activated[*n]["digest"] == digest).collect();
    let Some(first) = indices.first() else { return Ok(None) };
    if indices.len() > 1 {
        return Err(Violation::UndoneTwice { digest: digest.into(), made: indices.len() });
    }
    let activated_at = |n: usize| activated.get(n).and_then(|entry| entry["at"].as_u64());
    let (from, until) = (activated_at(*first).unwrap_or(0), activated_at(first + 1));
    let is_affected =
        |a: &&AnswerRecord| a.plan == plan && a.sent >= from && until.is_none_or(|end| a.sent < end);
    let affected: Vec<&AnswerRecord> = answers.iter().filter(is_affected).collect();
    let lost = affected.iter().filter(|answer| answer.status != 200).count();
    let undone_after_ms = until.map(|end| end.saturating_sub(from) / 1_000);
    Ok(Some(HarmfulChangeCost {
        undone_after_ms,
        tries: affected.len(),
        lost,
        worth_lost: lost as f64 * value,
    }))
}

#[cfg(test)]
mod tests;
