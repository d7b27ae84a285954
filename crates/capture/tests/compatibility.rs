//! Captures are written and read byte for byte as in earlier releases.

use sedgestack_capture::{read, Capture, ClockOffset, CounterState, Header, Outcome, Record, Source, Writer};

const STARTED: u64 = 1_764_700_000_000_000;
const DROPPED: u64 = 42;
/// Number of records in the first block; the others are written after a flush.
const FIRST_BLOCK_RECORDS: usize = 4;

/// Three recorded files with the captures that they hold: a capture without versions of the runtime configuration, one
/// with versions, and a merged capture.
fn captures() -> [(&'static [u8], Capture); 3] {
    let plain = Capture {
        header: header(Vec::new()),
        records: records(),
        destinations: ["s-1", "s-2", "s-10"].map(String::from).to_vec(),
        dropped: DROPPED,
        damage: None,
    };
    let versions = [None, None, Some(0), Some(0), Some(1), Some(1), Some(300)];
    let with_versions = records().into_iter().zip(versions).map(|(r, rules)| Record { rules, ..r });
    let with_versions = Capture { records: with_versions.collect(), ..plain.clone() };
    let sources = records().into_iter().enumerate().map(|(n, r)| Record { source: n as u16 % 2, ..r });
    let merged = Capture { header: header(merged_sources()), records: sources.collect(), ..plain.clone() };
    [
        (include_bytes!("fixtures/plain.sedgecap"), plain),
        (include_bytes!("fixtures/rules.sedgecap"), with_versions),
        (include_bytes!("fixtures/merged.sedgecap"), merged),
    ]
}

fn header(merged_from: Vec<Source>) -> Header {
    Header {
        limiter: "n1".into(),
        number: 1,
        limiters: 3,
        started: STARTED,
        key_id: 0x0123_4567_89ab_cdef,
        classes: vec!["report-read".into(), "report-send".into()],
        plans: vec!["basico".into(), "faculdade".into(), "reitoria".into()],
        merged_from,
    }
}

fn merged_sources() -> Vec<Source> {
    let source = |number: u32, offset| Source {
        limiter: format!("n{number}"),
        number,
        records: 1_000 + number as usize,
        dropped: DROPPED * u64::from(number),
        offset,
    };
    vec![source(0, None), source(1, Some(ClockOffset { micros: -1_000_000, within: 5_000 }))]
}

/// Records with each outcome and each state of the counter. The fourth arrived before the third, because records are in
/// the order of the answers.
fn records() -> Vec<Record> {
    let first = Record {
        at: STARTED + 1_000,
        class: 0,
        plan: 2,
        customer: 0x1111_2222_3333_4444,
        key: 0,
        units: 1.0,
        spread: 1,
        first: 0,
        patience_ms: 800,
        retry: false,
        outcome: Outcome::Served,
        latency: 12_345,
        destination: Some(0),
        attempts: 1,
        counter: CounterState::Unknown,
        source: 0,
        rules: None,
    };
    let keyed = Record { class: 1, plan: 1, key: 0xfeed, counter: CounterState::Answering, ..first.clone() };
    vec![
        first.clone(),
        Record { at: STARTED + 9_000, destination: Some(1), attempts: 3, units: 2.5, ..keyed.clone() },
        Record {
            at: STARTED + 70_000,
            outcome: Outcome::Rejected,
            destination: None,
            attempts: 0,
            ..keyed.clone()
        },
        Record {
            at: STARTED + 69_000,
            outcome: Outcome::RejectedAtCapacity,
            destination: None,
            ..first.clone()
        },
        Record { at: STARTED + 90_000, outcome: Outcome::Failed, destination: Some(0), ..keyed.clone() },
        Record { at: STARTED + 95_000, outcome: Outcome::Abandoned, spread: 3, first: 2, ..first.clone() },
        Record {
            at: STARTED + 2_000_000,
            retry: true,
            patience_ms: 70_000,
            latency: 3_000_000,
            destination: Some(2),
            counter: CounterState::Silent,
            ..first
        },
    ]
}

fn write(capture: &Capture) -> Vec<u8> {
    let mut writer = Writer::new(Vec::new(), &capture.header).expect("in-memory write");
    for (index, record) in capture.records.iter().enumerate() {
        if index == FIRST_BLOCK_RECORDS {
            writer.flush().expect("in-memory write");
            writer.record_dropped(capture.dropped);
        }
        let destination = record.destination.map(|d| capture.destinations[usize::from(d)].as_str());
        writer.push(record.clone(), destination).expect("in-memory write");
    }
    writer.finish().expect("in-memory write")
}

#[test]
fn recorded_files_are_read() {
    for (recorded, capture) in captures() {
        assert_eq!(read("recorded", recorded).expect("a capture"), capture);
    }
}

#[test]
fn captures_are_written_as_recorded() {
    for (recorded, capture) in captures() {
        assert_eq!(write(&capture), recorded);
    }
}
