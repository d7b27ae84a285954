//! Blocks whose number of versions differs from the number of their records must be reported as damage.
//!
//! Guards against an error in which a block with exactly one version too few was read as intact, and its last record
//! as one without a version: zipping the records with the versions consumed one record more than there were versions,
//! so that the check for remaining records missed it. Blocks with 2 or 3 versions too few were rejected.

use super::*;
use crate::format::{VersionRun, COMPRESSION_LEVEL};
use crate::{CounterState, Outcome};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// Upper limit, exclusive, of the generated numbers of records and of versions per run.
const MAX_COUNT: usize = 12;

fn record() -> Record {
    Record {
        at: 0,
        class: 0,
        plan: 0,
        customer: 1,
        key: 0,
        units: 1.0,
        spread: 1,
        first: 0,
        patience_ms: 0,
        retry: false,
        outcome: Outcome::Served,
        latency: 0,
        destination: None,
        attempts: 1,
        counter: CounterState::Unknown,
        source: 0,
        rules: None,
    }
}

/// Encodes and decodes a block of `records` records, followed by versions and trailing bytes.
fn decode(records: usize, runs: &VersionRuns, trailing: &[u8]) -> Result<Block, BlockError> {
    let block = Block { steps: vec![0; records], records: vec![record(); records], ..Block::default() };
    let mut encoded = postcard::to_stdvec(&block).unwrap();
    encoded.extend(postcard::to_stdvec(runs).unwrap());
    encoded.extend(trailing);
    let payload = zstd::bulk::compress(&encoded, COMPRESSION_LEVEL).unwrap();
    decode_block(&Frame { payload: &payload, decompressed_length: encoded.len() })
}

fn run(count: usize, version: Option<u64>) -> VersionRun {
    VersionRun { count: count as u32, version }
}

#[test]
fn missing_versions_are_damage() {
    for missing in 1..=3 {
        let decoded = decode(3, &vec![run(3 - missing, Some(7))], &[]).err();
        assert_eq!(decoded, Some(BlockError::MissingVersions), "{missing} missing");
    }
}

#[test]
fn extra_versions_are_damage() {
    let longest = VersionRun { count: u32::MAX, version: Some(7) };
    for runs in [vec![run(4, Some(7))], vec![run(3, None), run(1, Some(7))], vec![longest]] {
        assert_eq!(decode(3, &runs, &[]).err(), Some(BlockError::ExtraVersions));
    }
}

#[test]
fn trailing_bytes_are_damage() {
    let decoded = decode(3, &vec![run(3, Some(7))], &[0]).err();
    assert!(matches!(decoded, Some(BlockError::Undecodable(_))), "{decoded:?}");
}

proptest! {
    #![proptest_config(Config { cases: 512, rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..Config::default() })]
    /// Versions are assigned only if there are exactly as many as records; otherwise the block is damage.
    #[test]
    fn versions_match_records_or_block_is_damage(
        records in 1..MAX_COUNT,
        runs in prop::collection::vec((0..MAX_COUNT, prop::option::of(0u64..3)), 0..4),
    ) {
        let versions: Vec<Option<u64>> =
            runs.iter().flat_map(|(count, version)| vec![*version; *count]).collect();
        let runs = runs.iter().map(|(count, version)| run(*count, *version)).collect();
        match decode(records, &runs, &[]) {
            Ok(block) => {
                let read: Vec<Option<u64>> = block.records.iter().map(|record| record.rules).collect();
                prop_assert_eq!(read, versions);
            }
            Err(BlockError::MissingVersions) => prop_assert!(versions.len() < records),
            Err(BlockError::ExtraVersions) => prop_assert!(versions.len() > records),
            Err(other) => prop_assert!(false, "{}", other),
        }
    }
}
