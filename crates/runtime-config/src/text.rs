//! Texts of documents that limiters generate.
//!
//! Limiters agree on a document by the digest of its text, so every limiter must generate the same bytes from the
//! same values.

use std::collections::BTreeMap;

use crate::{Class, Document, Micros, Plan};

/// Returns the text of the first version, with the values that the limiters were configured with.
pub fn first_version(
    plans: &BTreeMap<String, Plan>,
    classes: &BTreeMap<String, Class>,
    max_retry_after: Micros,
) -> String {
    let header = "version {\n  parent = 0\n  author = \"configuration\"\n  reason = \"as the limiters were configured\"\n}\n";
    header.to_string() + &blocks(plans, classes, max_retry_after)
}

/// Returns the text of a next version with the values of `document` and without canary analysis.
pub fn held_version(document: &Document, parent: u64, pinned: bool) -> String {
    let reason = match (pinned, document.provenance.pinned) {
        (true, _) => "pinned by an operator",
        (false, true) => "no longer pinned",
        (false, false) => "held by an operator",
    };
    let header = format!(
        "version {{\n  parent = {parent}\n  author = \"operator\"\n  reason = \"{reason}\"\n  watch  = false\n  \
         pinned = {pinned}\n}}\n"
    );
    header + &blocks(&document.plans, &document.classes, document.max_retry_after)
}

/// Returns the blocks that follow the block `version`.
fn blocks(
    plans: &BTreeMap<String, Plan>,
    classes: &BTreeMap<String, Class>,
    max_retry_after: Micros,
) -> String {
    let mut text = String::new();
    for (name, Plan { rate, burst, price }) in plans {
        text +=
            &format!("\nplan \"{name}\" {{\n  rate  = {rate}\n  burst = {burst}\n  price = {price}\n}}\n");
    }
    for (name, Class { latency_objective, deadline }) in classes {
        text += &format!(
            "\nclass \"{name}\" {{\n  aim      = \"{latency_objective}us\"\n  deadline = \"{deadline}us\"\n}}\n"
        );
    }
    if max_retry_after > 0 {
        text += &format!("\nlimits {{\n  max_retry_after = \"{max_retry_after}us\"\n}}\n");
    }
    text
}
