//! Decodes a [`Fleet`] from HCL: the range and default of each key, and checks that involve several keys.

use sedgestack_hcl::{ConfigError, Document, Section};

use crate::*;

mod machines;
mod workload;

use machines::{
    decode_backend_kind, decode_counter, decode_delays, decode_discovery, decode_limiter, decode_max_units,
    decode_rules, decode_zone,
};
use workload::{
    decode_class, decode_clients, decode_growth, decode_load, decode_plan, decode_surge, range_or,
};

const MILLIS: Micros = 1_000;
const SECONDS: Micros = 1_000_000;
/// Maximum difference between 1 and the sum of the shares of all classes or all plans.
const SHARE_SUM_TOLERANCE: f64 = 1e-6;
/// Maximum numbers of backends and limiters. Larger ones are more likely typing errors than real fleets.
const MAX_BACKENDS: u64 = 100_000;
const MAX_LIMITERS: u64 = 10_000;
/// Default of the maximum number of units that a request may declare.
const DEFAULT_MAX_UNITS: u32 = 4;

/// The named blocks of a fleet file.
struct NamedBlocks {
    kinds: Vec<BackendKind>,
    zones: Vec<Zone>,
    classes: Vec<Class>,
    plans: Vec<Plan>,
}

/// Decodes and validates a fleet file.
pub fn decode_fleet(document: &Document) -> Result<Fleet, ConfigError> {
    let root = document.root();
    let blocks = NamedBlocks::decode(&root)?;
    blocks.check(&root)?;
    let NamedBlocks { kinds, zones, classes, plans } = blocks;
    let name = root.string("name")?.to_string();
    let delays = decode_delays(&root.block("network")?)?;
    let counter = decode_counter(&root.block("counter")?, &zones)?;
    let limiter = decode_limiter(&root.block("limiter")?)?;
    let discovery = decode_discovery(root.optional_block("roster")?)?;
    let rules = decode_rules(root.optional_block("rules")?)?;
    let load = decode_load(&root.block("load")?)?;
    let clients = decode_clients(root.optional_block("clients")?)?;
    let surges = decode_all(&root, "surge", |section| decode_surge(section, &classes, &load))?;
    let growth = root.optional_block("growth")?.map(|section| decode_growth(&section)).transpose()?;
    let pod_size = root.integer_or("pod_size", 1..=1_000, 4)? as u32;
    let objectives = decode_objectives(root.optional_block("aims")?, &classes)?;
    root.reject_unknown_keys()?;
    let fleet = Fleet {
        name,
        zones,
        delays,
        backend_kinds: kinds,
        pod_size,
        classes,
        plans,
        counter,
        limiter,
        discovery,
        rules,
        load,
        clients,
        surges,
        growth,
        objectives,
    };
    if fleet.backend_count() == 0 {
        return Err(root.error("expected at least one worker in a room"));
    }
    Ok(fleet)
}

impl NamedBlocks {
    fn decode(root: &Section<'_>) -> Result<NamedBlocks, ConfigError> {
        let kinds = decode_all(root, "worker", decode_backend_kind)?;
        let zones = decode_all(root, "room", |section| decode_zone(section, &kinds))?;
        let classes = decode_all(root, "class", decode_class)?;
        let rules = root.optional_block("rules")?;
        let max_units = rules.map_or(Ok(DEFAULT_MAX_UNITS), |rules| decode_max_units(&rules))?;
        let limiters: u32 = zones.iter().map(|zone| zone.limiters).sum();
        let plans = decode_all(root, "plan", |section| decode_plan(section, limiters, max_units))?;
        Ok(NamedBlocks { kinds, zones, classes, plans })
    }

    fn check(&self, root: &Section<'_>) -> Result<(), ConfigError> {
        for (kind, is_missing) in [
            ("worker", self.kinds.is_empty()),
            ("room", self.zones.is_empty()),
            ("class", self.classes.is_empty()),
            ("plan", self.plans.is_empty()),
        ] {
            if is_missing {
                return Err(root.error(format!("expected at least one block {kind} \"name\" {{ ... }}")));
            }
        }
        for kind in ["worker", "room", "class", "plan"] {
            reject_duplicates(root, kind)?;
        }
        if self.zones.iter().all(|zone| zone.limiters == 0) {
            return Err(root.error("expected at least one limiter in a room"));
        }
        check_shares(root, "class", self.classes.iter().map(|class| class.share).sum())?;
        check_shares(root, "plan", self.plans.iter().map(|plan| plan.share).sum())
    }
}

fn decode_all<T>(
    root: &Section<'_>,
    kind: &str,
    decode: impl Fn(&Section<'_>) -> Result<T, ConfigError>,
) -> Result<Vec<T>, ConfigError> {
    root.blocks(kind).iter().map(decode).collect()
}

fn reject_duplicates(root: &Section<'_>, kind: &str) -> Result<(), ConfigError> {
    let mut seen = std::collections::BTreeSet::new();
    for section in root.blocks(kind) {
        if !seen.insert(section.label()?.to_string()) {
            return Err(section.error(format!("expected a name that no other {kind} has")));
        }
    }
    Ok(())
}

fn check_shares(root: &Section<'_>, kind: &str, sum: f64) -> Result<(), ConfigError> {
    if (sum - 1.0).abs() <= SHARE_SUM_TOLERANCE {
        return Ok(());
    }
    let blocks = root.blocks(kind);
    let last = blocks.last().expect("there is at least one block");
    Err(last
        .error_at("share", format!("expected the shares of all {kind} blocks to add up to 1, found {sum}")))
}

fn decode_objectives(section: Option<Section<'_>>, classes: &[Class]) -> Result<Objectives, ConfigError> {
    let mut objectives =
        Objectives { in_time: vec![0.0; classes.len()], backends: (1, 64), seeds: 8, sudden_loss: 0.23 };
    let Some(section) = section else {
        objectives.in_time[0] = 0.99;
        return Ok(objectives);
    };
    for block in section.blocks("class") {
        let name = block.label()?;
        let index = classes.iter().position(|class| class.name == name);
        let index = index.ok_or_else(|| block.error("expected the name of a class block"))?;
        objectives.in_time[index] = block.number("in_time", 0.0..=1.0)?;
        block.reject_unknown_keys()?;
    }
    let (low, high) = range_or(&section, "workers", MAX_BACKENDS as f64, (1.0, 64.0))?;
    objectives.backends = (low.max(1.0) as u32, high.max(1.0) as u32);
    objectives.seeds = section.integer_or("seeds", 2..=1_000, 8)? as u32;
    objectives.sudden_loss = section.number_or("sudden_loss", 0.0..=1.0, 0.23)?;
    section.reject_unknown_keys()?;
    Ok(objectives)
}
