//! Checks of a version against the previous one.

use std::collections::BTreeMap;

use sedgestack_hcl::{ConfigError, Section};

use crate::differences::factor_in_words;
use crate::{differences, Difference, Document, MAX_UNCONFIRMED_FACTOR};

/// Checks `document`, read from `file`, against `before`, the previous version. Returns all errors, with positions in
/// `file`.
pub fn check_against(document: &Document, file: &str, before: &Document) -> Vec<ConfigError> {
    // Parsing can't fail: the document was decoded from this text.
    let Ok(parsed) = sedgestack_hcl::Document::parse(file, &document.text) else { return Vec::new() };
    let root = parsed.root();
    let changes = differences(before, document);
    let mut errors = removed_blocks(document, before, &root);
    errors.extend(unconfirmed_changes(document, &changes, &root));
    errors.extend(unused_overrides(document, &changes, &root));
    let changes_pin = document.provenance.pinned != before.provenance.pinned;
    if changes.is_empty() && errors.is_empty() && !changes_pin {
        errors.push(root.error("changes nothing"));
    }
    errors
}

/// Returns an error for each plan and class that is missing. None can be removed, as customers may be using it.
fn removed_blocks(document: &Document, before: &Document, root: &Section<'_>) -> Vec<ConfigError> {
    let parent = document.provenance.parent;
    let error = |kind: &str, name: &str| {
        root.error(format!("the {kind} \"{name}\" of version {parent} is missing: customers may be using it"))
    };
    let plans = removed_keys(&before.plans, &document.plans).map(|name| error("plan", name));
    let classes = removed_keys(&before.classes, &document.classes).map(|name| error("class", name));
    plans.chain(classes).collect()
}

fn removed_keys<'a, T>(
    before: &'a BTreeMap<String, T>,
    after: &'a BTreeMap<String, T>,
) -> impl Iterator<Item = &'a String> {
    before.keys().filter(|name| !after.contains_key(*name))
}

/// Returns an error for each number that changes by more than [`MAX_UNCONFIRMED_FACTOR`] and is not listed in the
/// overrides. Such a change is more likely a typing error than intended.
fn unconfirmed_changes(document: &Document, changes: &[Difference], root: &Section<'_>) -> Vec<ConfigError> {
    let unconfirmed = |change: &Difference| {
        let factor = change.factor.filter(|factor| is_large(*factor))?;
        if document.overrides.contains(&change.key) {
            return None;
        }
        let expected = format!(
            "changes {} (from {} to {}); expected a factor of at most {MAX_UNCONFIRMED_FACTOR}, or \"{}\" in version.overrides",
            factor_in_words(factor),
            change.from,
            change.to,
            change.key
        );
        Some(error_at_key(root, &change.key, &expected))
    };
    changes.iter().filter_map(unconfirmed).collect()
}

/// Whether a number that changes by `factor` must be listed in the overrides.
fn is_large(factor: f64) -> bool {
    !(1.0 / MAX_UNCONFIRMED_FACTOR..=MAX_UNCONFIRMED_FACTOR).contains(&factor)
}

/// Creates an error at a key such as `plan.basico.rate`, or for the whole file if the key does not belong to a labeled
/// block.
fn error_at_key(root: &Section<'_>, key: &str, expected: &str) -> ConfigError {
    let mut parts = key.splitn(3, '.');
    let (kind, name, key) = (parts.next(), parts.next(), parts.next());
    let block = kind.zip(name).and_then(|(kind, name)| find_block(root, kind, name));
    match block.zip(key) {
        Some((block, key)) => block.error_at(key, expected),
        None => root.error(expected),
    }
}

fn find_block<'a>(root: &Section<'a>, kind: &str, name: &str) -> Option<Section<'a>> {
    root.blocks(kind).into_iter().find(|block| block.label().is_ok_and(|label| label == name))
}

/// Returns an error for each override of a key that does not change: the key is probably misspelled.
fn unused_overrides(document: &Document, changes: &[Difference], root: &Section<'_>) -> Vec<ConfigError> {
    let version = root.block("version").ok();
    let error = |key: &String| {
        let expected = format!("overrides {key}, which does not change");
        match &version {
            Some(version) => version.error_at("overrides", expected),
            None => root.error(expected),
        }
    };
    let is_unused = |key: &&String| !changes.iter().any(|change| change.key == **key);
    document.overrides.iter().filter(is_unused).map(error).collect()
}
