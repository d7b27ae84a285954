//! Observes a tier: reads the limiters' status and resource use, checks the recorded answers, and waits for conditions.

use std::time::{Duration, Instant};

use serde_json::Value;

use super::http_client::exchange;
use super::invariants::{self, CheckReport, HarmfulChangeCost, Micros, Violation};
use super::{Tier, POLL_INTERVAL, WAIT_LIMIT};

/// Number of lines at the end of each log that diagnostics show.
const DIAGNOSTIC_LINES: usize = 12;

/// Resources used by a limiter's process since it started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResourceUse {
    /// CPU time in user and kernel mode.
    pub cpu: Duration,
    /// Peak resident memory, in MB.
    pub peak_memory_mb: f64,
}

impl Tier {
    /// Waits until a condition holds.
    ///
    /// # Panics
    /// If the condition does not hold within a minute. The message names it by `what` and shows the diagnostics of all
    /// limiters.
    pub fn expect_eventually(&self, what: &str, condition: impl FnMut() -> bool) {
        assert!(self.eventually(condition), "timed out waiting for: {what}\n{:#?}", self.diagnostics());
    }

    /// Waits until a condition holds, at most a minute. Returns whether it did.
    pub fn eventually(&self, mut condition: impl FnMut() -> bool) -> bool {
        let deadline = Instant::now() + WAIT_LIMIT;
        while !condition() {
            if Instant::now() > deadline {
                return false;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        true
    }

    /// Whether a condition holds for the status of every running limiter. False if one of them does not respond.
    pub fn all_limiters(&self, condition: impl Fn(&Value) -> bool) -> bool {
        let mut running = self.limiter_numbers().filter(|limiter| self.process(*limiter).pid.raw() != 0);
        running.all(|limiter| self.status(limiter).is_some_and(|status| condition(&status)))
    }

    /// Returns each limiter's status and the end of its log, for failure messages.
    pub fn diagnostics(&self) -> Vec<String> {
        let describe = |limiter: u32| {
            let mut status = self.status(limiter).unwrap_or_default();
            status.as_object_mut().map(|fields| fields.remove("text"));
            let log = self.log(limiter);
            let end = &log[log.len().saturating_sub(DIAGNOSTIC_LINES)..];
            format!("{status}\n{}", end.join("\n"))
        };
        self.limiter_numbers().map(describe).collect()
    }

    /// Whether a limiter reports that it is ready; `None` if it does not respond.
    pub fn is_ready(&self, limiter: u32) -> Option<bool> {
        let request = "GET /ready HTTP/1.1\r\nHost: n\r\n\r\n";
        Some(exchange(self.process(limiter).listen, request)?.status == 200)
    }

    /// Returns a limiter's status of its runtime configuration, or `None` if the limiter does not respond.
    pub fn status(&self, limiter: u32) -> Option<Value> {
        let response = self.call(limiter, "GET", "rules", "")?;
        serde_json::from_str(&response.body).ok().filter(|_| response.status == 200)
    }

    /// Returns the version that is active at a limiter, or `None` if the limiter does not respond.
    pub fn version(&self, limiter: u32) -> Option<u64> {
        self.status(limiter)?["version"].as_u64()
    }

    /// Returns the resources that a limiter's process has used so far, or `None` if there is no process.
    pub fn resource_use(&self, limiter: u32) -> Option<ResourceUse> {
        let pid = self.process(limiter).pid.raw();
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // The command name may contain spaces, so fields are counted from its closing parenthesis. The 12th and 13th of
        // them are the CPU time in user and kernel mode.
        let fields = stat.rsplit_once(')')?.1;
        let ticks: u64 =
            fields.split_whitespace().skip(11).take(2).filter_map(|field| field.parse::<u64>().ok()).sum();
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        let peak_kb: f64 = peak.trim().trim_end_matches("kB").trim().parse().ok()?;
        // Linux reports CPU time in hundredths of a second.
        Some(ResourceUse { cpu: Duration::from_millis(10 * ticks), peak_memory_mb: peak_kb / 1_024.0 })
    }

    /// Returns the number of recorded answers.
    pub fn answer_count(&self) -> usize {
        self.customers.with_answers(<[_]>::len)
    }

    /// Returns the time from the first recorded request to the last recorded answer.
    pub fn recorded_duration(&self) -> Duration {
        self.customers.with_answers(|answers| {
            let first_sent = answers.iter().map(|answer| answer.sent).min().unwrap_or(0);
            let last_answered = answers.iter().map(|answer| answer.answered).max().unwrap_or(0);
            Duration::from_micros(last_answered - first_sent)
        })
    }

    /// Checks the recorded answers against the limiters' histories. `bound` is the maximum difference between the
    /// limiters' clocks, by which the active times of two versions may overlap.
    pub fn check_invariants(&self, bound: Micros) -> CheckReport {
        let statuses = self.limiter_numbers().filter_map(|limiter| self.status(limiter));
        let histories: Vec<Value> = statuses.map(|status| status["history"].clone()).collect();
        self.customers.with_answers(|answers| invariants::check(answers, &histories, bound))
    }

    /// Returns the cost of a harmful change of a plan. See [`invariants::harmful_change_cost`].
    ///
    /// # Errors
    /// If the change became active again after automatic rollback.
    pub fn harmful_change_cost(
        &self,
        digest: &str,
        plan: u32,
    ) -> Result<Option<HarmfulChangeCost>, Violation> {
        let value = self.fleet.classes[0].priority_weight * self.fleet.plans[plan as usize].price;
        let history = self.status(0).map(|status| status["history"].clone()).unwrap_or_default();
        self.customers
            .with_answers(|answers| invariants::harmful_change_cost(answers, &history, digest, plan, value))
    }
}
