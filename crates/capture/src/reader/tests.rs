//! Blocks whose versions don't match their records.
//!
//! A block that lacked the version of exactly one record was read as whole, and that record as taken without versions. The
//! reader paired records with versions and then looked for a record that was left, but the pairing had taken one record
//! more than it found versions for. What showed it: of blocks with 1, 2 and 3 versions too few, only the first was read.

use super::*;
use crate::format::{VersionRun, COMPRESSION_LEVEL};
use crate::{CounterState, Outcome};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// The largest number of records and of versions that are drawn.
const MAX_DRAWN: usize = 12;

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

/// Decodes a block of so many records with these versions and bytes behind it, as it would stand in a file.
fn decode(records: usize, runs: &VersionRuns, behind: &[u8]) -> Result<Block, BlockError> {
    let block = Block { steps: vec![0; records], records: vec![record(); records], ..Block::default() };
    let mut encoded = postcard::to_stdvec(&block).unwrap();
    encoded.extend(postcard::to_stdvec(runs).unwrap());
    encoded.extend(behind);
    let payload = zstd::bulk::compress(&encoded, COMPRESSION_LEVEL).unwrap();
    decode_block(&Frame { payload: &payload, decompressed_length: encoded.len() })
}

fn run(count: usize, version: Option<u64>) -> VersionRun {
    VersionRun { count: count as u32, version }
}

#[test]
fn a_block_with_fewer_versions_than_records_is_damage() {
    for missing in 1..=3 {
        let decoded = decode(3, &vec![run(3 - missing, Some(7))], &[]).err();
        assert_eq!(decoded, Some(BlockError::MissingVersions), "{missing} missing");
    }
}

#[test]
fn a_block_with_more_versions_than_records_is_damage() {
    let endless = VersionRun { count: u32::MAX, version: Some(7) };
    for runs in [vec![run(4, Some(7))], vec![run(3, None), run(1, Some(7))], vec![endless]] {
        assert_eq!(decode(3, &runs, &[]).err(), Some(BlockError::ExtraVersions));
    }
}

#[test]
fn a_block_with_bytes_behind_its_versions_is_damage() {
    let decoded = decode(3, &vec![run(3, Some(7))], &[0]).err();
    assert!(matches!(decoded, Some(BlockError::Undecodable(_))), "{decoded:?}");
}

proptest! {
    #![proptest_config(Config { cases: 512, rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..Config::default() })]
    /// Versions are read for exactly as many records, each by its run, or not at all.
    #[test]
    fn each_record_has_its_version_or_the_block_is_damage(
        records in 1..MAX_DRAWN,
        runs in prop::collection::vec((0..MAX_DRAWN, prop::option::of(0u64..3)), 0..4),
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
