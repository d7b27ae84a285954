//! Writing, reading and merging of captures: damaged files, clock differences, and warnings.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use sedgestack_capture::{
    merge, read, Capture, ClockOffset, CounterState, Header, KeyedHash, Outcome, Record, Warning, Writer,
};

fn header(number: u32) -> Header {
    Header {
        limiter: format!("n{number}"),
        number,
        limiters: 3,
        started: 1_700_000_000_000_000,
        key_id: KeyedHash::new([7; 16]).id(),
        classes: vec!["read".into(), "send".into()],
        plans: vec!["small".into()],
        merged_from: Vec::new(),
    }
}

fn record(at: u64, key: u64, outcome: Outcome) -> Record {
    Record {
        at,
        class: (at % 2) as u16,
        plan: 0,
        customer: at % 17 + 1,
        key,
        units: 1.0 + (at % 4) as f32,
        spread: 2,
        first: 1,
        patience_ms: 800,
        retry: false,
        outcome,
        latency: 12_345,
        destination: None,
        attempts: 1,
        counter: CounterState::Answering,
        source: 0,
        rules: None,
    }
}

fn file(number: u32, records: &[Record]) -> Vec<u8> {
    let mut writer = Writer::new(Vec::new(), &header(number)).expect("in-memory write");
    for (n, r) in records.iter().enumerate() {
        writer.push(r.clone(), Some(&format!("w{}", n % 5))).expect("in-memory write");
    }
    writer.finish().expect("in-memory write")
}

fn served_records(count: u64) -> Vec<Record> {
    (0..count).map(|n| record(1_700_000_000_000_000 + n * 13_000, n, Outcome::Served)).collect()
}

/// Returns the records of a capture without their destinations, which the writer sets.
fn records_without_destinations(capture: &Capture) -> Vec<Record> {
    capture.records.iter().map(|r| Record { destination: None, ..r.clone() }).collect()
}

#[test]
fn versions_are_stored_only_if_present() {
    let mut records = served_records(2_500);
    let unversioned = file(1, &records);
    records.iter_mut().enumerate().for_each(|(n, r)| r.rules = (n >= 700).then_some(n as u64 / 900));
    let versioned = file(1, &records);
    assert_eq!(records_without_destinations(&read("a", &versioned[..]).expect("a capture")), records);
    assert!(read("b", &unversioned[..]).expect("a capture").records.iter().all(|r| r.rules.is_none()));
    assert!(
        versioned.len() < unversioned.len() + 300,
        "{} bytes, {} without",
        versioned.len(),
        unversioned.len()
    );
}

#[test]
fn written_capture_is_read_back() {
    let records = served_records(3_000);
    let bytes = file(1, &records);
    let capture = read("f", &bytes[..]).expect("a capture");
    assert_eq!((records_without_destinations(&capture), capture.damage.clone()), (records, None));
    assert_eq!(capture.destinations.len(), 5);
    assert_eq!(capture.records[7].destination, Some(2));
    assert!(bytes.len() < 3_000 * 24, "{} bytes", bytes.len());
}

#[test]
fn invalid_headers_are_rejected_with_offset() {
    let error = |bytes: &[u8]| read("f", bytes).expect_err("no capture").to_string();
    assert!(error(b"GIF89a..........").starts_with("f: at byte 0: is no capture"));
    let mut newer = file(0, &served_records(3));
    newer[8] = 9;
    assert_eq!(error(&newer), "f: at byte 8: is version 9; this program reads version 1");
    let mut damaged = file(0, &served_records(3));
    damaged[20] ^= 1;
    assert!(error(&damaged).contains("at byte 18: its header is damaged"));
}

#[test]
fn unknown_class_is_damage() {
    let mut invalid = record(1, 0, Outcome::Served);
    invalid.class = 2;
    let capture = read("f", &file(0, &[invalid])[..]).expect("a header");
    assert!(capture.damage.expect("damage").why.to_string().contains("names a class"));
}

proptest! {
    #![proptest_config(Config { cases: 96, rng_seed: RngSeed::Fixed(3), failure_persistence: None, ..Config::default() })]

    /// A file that is truncated or corrupted anywhere is read up to the damage, whose offset is reported.
    #[test]
    fn blocks_before_damage_are_read(at in 0usize..40_000, corrupt in any::<bool>()) {
        let records = served_records(2_500);
        let whole = file(0, &records);
        let at = 120 + at % (whole.len() - 120);
        let mut bytes = whole.clone();
        if corrupt { bytes[at] ^= 0x40 } else { bytes.truncate(at) }
        let capture = read("f", &bytes[..]).expect("the header is intact");
        let damage = capture.damage.clone().expect("damage");
        prop_assert!(damage.offset as usize <= at);
        prop_assert_eq!(capture.records.len() % 1_024, 0);
        prop_assert_eq!(records_without_destinations(&capture), &records[..capture.records.len()]);
    }

    /// Random bytes never cause a panic or a large allocation.
    #[test]
    fn random_bytes_are_rejected(noise in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut bytes = b"SEDGECAP\x01\x00".to_vec();
        bytes.extend(noise);
        if let Ok(capture) = read("f", &bytes[..]) {
            prop_assert!(capture.records.is_empty());
        }
    }
}

/// Captures of two limiters, in which each request is rejected by one limiter and its retry, about 150 ms later, is
/// served by the other. The second limiter's clock is ahead by `offset` microseconds.
fn captures_with_retries(offset: i64) -> Vec<Capture> {
    let (mut first, mut second) = (Vec::new(), Vec::new());
    for n in 0..60u64 {
        let at = 1_700_000_000_000_000 + n * 200_000;
        let later = at + 12_345 + 150_000 + n % 7 * 2_000;
        let (from, to) = if n % 2 == 0 { (&mut first, &mut second) } else { (&mut second, &mut first) };
        from.push(record(at, n + 1, Outcome::Rejected));
        to.push(record(later, n + 1, Outcome::Served));
    }
    second.iter_mut().for_each(|r| r.at = r.at.saturating_add_signed(offset));
    let capture = |number, records: &[Record]| read("f", &file(number, records)[..]).expect("a capture");
    vec![capture(0, &first), capture(1, &second)]
}

#[test]
fn clock_offset_is_reported_and_corrected() {
    let merged = merge(captures_with_retries(1_000_000)).expect("one tier");
    let ClockOffset { micros: offset, within } =
        merged.sources[1].offset.expect("enough retries came through both limiters");
    assert!((offset - 1_000_000).unsigned_abs() <= within.max(5_000), "{offset} within {within}");
    assert!(merged.warnings.iter().any(|w| matches!(w, Warning::ClockOff { .. })));
    let without_offset = merge(captures_with_retries(0)).expect("one tier");
    let difference = |n: usize| merged.records[n].at.abs_diff(without_offset.records[n].at);
    assert!((0..120).all(|n| difference(n) <= 5_000));
    assert!(!without_offset.warnings.iter().any(|w| matches!(w, Warning::ClockOff { .. })));
}

#[test]
fn merged_capture_is_written_and_read_back() {
    let merged = merge(captures_with_retries(1_000_000)).expect("one tier");
    let mut writer = Writer::new(Vec::new(), &merged.header()).expect("in-memory write");
    for r in &merged.records {
        let name = r.destination.map(|d| merged.destinations[usize::from(d)].as_str());
        writer.push(r.clone(), name).expect("in-memory write");
    }
    let bytes = writer.finish().expect("in-memory write");
    let read_back = merge(vec![read("f", &bytes[..]).expect("a capture")]).expect("one capture");
    assert_eq!(read_back, merged);
    let other = read("f", &file(2, &served_records(9))[..]).expect("a capture");
    let error = merge(vec![other, read("f", &bytes[..]).expect("a capture")]).expect_err("merged already");
    assert!(error.contains("is merged already"), "{error}");
}

#[test]
fn missing_limiters_and_dropped_records_cause_warnings() {
    let mut writer = Writer::new(Vec::new(), &header(0)).expect("in-memory write");
    writer.push(record(1_700_000_000_000_000, 0, Outcome::Served), None).expect("in-memory write");
    writer.record_dropped(42);
    let capture = read("f", &writer.finish().expect("in-memory write")[..]).expect("a capture");
    let merged = merge(vec![capture]).expect("one tier");
    assert!(merged.warnings.contains(&Warning::Missing(vec![1, 2])));
    assert!(merged.warnings.contains(&Warning::Dropped { limiter: "n0".into(), records: 42 }));
}

#[test]
fn captures_of_different_tiers_are_not_merged() {
    let capture = |change: fn(&mut Header)| {
        let mut h = header(1);
        change(&mut h);
        let bytes = Writer::new(Vec::new(), &h).expect("in-memory write").finish().expect("in-memory write");
        read("f", &bytes[..]).expect("a capture")
    };
    let first = || capture(|h| h.number = 0);
    let error = |other| merge(vec![first(), other]).expect_err("two tiers");
    assert!(error(capture(|h| h.key_id += 1)).contains("the keys of their hashes differ"));
    assert!(error(capture(|h| h.plans.push("large".into()))).contains("classes or plans differ"));
    assert!(error(first()).contains("limiter 0 is there twice"));
}
