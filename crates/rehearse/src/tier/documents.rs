//! Documents for changes: a limiter's active runtime configuration with one plan changed.

use super::Tier;

/// Rate of a plan after a harmful change, in units per second. Together with [`HARMFUL_BURST`], it lets each customer
/// use one unit and practically nothing afterwards.
const HARMFUL_RATE: f64 = 0.001;
/// Burst of a plan after a harmful change, in units.
const HARMFUL_BURST: f64 = 1.0;

impl Tier {
    /// Returns a document for the next version at a limiter, with another rate for one plan.
    pub fn document_with_rate(&self, limiter: u32, plan: &str, rate: f64) -> String {
        let status = self.status(limiter).unwrap_or_default();
        let text = status["text"].as_str().unwrap_or_default();
        let (_, rest) = text.split_once("\n}\n").unwrap_or_default();
        let (before, after) = rest.split_once(&format!("plan {plan:?} {{\n")).unwrap_or_default();
        let (_, after) = after.split_once('\n').unwrap_or_default();
        format!(
            "version {{\n  parent = {}\n  author = \"n{limiter}\"\n  reason = \"a change for a rehearsal\"\n}}\n\
             {before}plan {plan:?} {{\n  rate  = {rate}\n{after}",
            status["version"]
        )
    }

    /// Returns a document for the next version at a limiter, with a plan whose customers can each use one unit and
    /// practically nothing afterwards.
    pub fn harmful_document(&self, limiter: u32, plan: &str) -> String {
        self.document_with_quota(limiter, plan, HARMFUL_RATE, HARMFUL_BURST)
    }

    /// Returns a document for the next version at a limiter, with one plan reduced to a tenth of its quota.
    pub fn tenth_of_quota_document(&self, limiter: u32, plan: &str) -> String {
        let (rate, burst) = match self.fleet.plans.iter().find(|known| known.name == plan) {
            Some(known) => (known.rate, known.burst),
            None => (0.0, 0.0),
        };
        self.document_with_quota(limiter, plan, rate / 10.0, (burst / 10.0).max(1.0))
    }

    /// Returns a document with another rate and burst for one plan, and with the overrides that limiters require for a
    /// change this large.
    fn document_with_quota(&self, limiter: u32, plan: &str, rate: f64, burst: f64) -> String {
        let text = self.document_with_rate(limiter, plan, rate);
        let head = format!("  rate  = {rate}\n  burst = ");
        let (before, after) = text.split_once(&head).unwrap_or_default();
        let (_, after) = after.split_once('\n').unwrap_or_default();
        let overrides = format!("  overrides = [\"plan.{plan}.rate\", \"plan.{plan}.burst\"]\n}}\n");
        let before = before.replacen("}\n", &overrides, 1);
        format!("{before}  rate  = {rate}\n  burst = {burst}\n{after}")
    }
}
