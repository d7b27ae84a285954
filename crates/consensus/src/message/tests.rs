//! Compatibility of datagrams with earlier releases, byte for byte: during an upgrade, limiters of both releases run in
//! one tier.

use super::*;

/// One line per datagram: its name and its bytes in hex digits.
const RECORDED: &str = include_str!("fixtures/datagrams.txt");

const FIRST_DOCUMENT: Digest = Digest([0xa0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 0xaf]);
const SECOND_DOCUMENT: Digest = Digest([0x5c; 16]);
/// Time at which all messages are sent.
const SENT: Micros = 1_764_700_000_123_456;

fn recorded(name: &str) -> Vec<u8> {
    let line = RECORDED.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    let digits = line.unwrap_or_else(|| panic!("no datagram {name} is recorded"));
    let pairs = digits.as_bytes().chunks(2);
    let pairs = pairs.map(|pair| std::str::from_utf8(pair).expect("the fixture is ASCII"));
    pairs.map(|pair| u8::from_str_radix(pair, 16).expect("hex digits")).collect()
}

fn message(body: Body) -> Message {
    Message { from: 300, sent: SENT, body }
}

fn heartbeats() -> [(&'static str, Message); 2] {
    let early = Body::Heartbeat(Heartbeat {
        highest_accepted: 0,
        decided: 0,
        value: Value::Void { keeps: None },
        is_active: false,
        has_lost_votes: true,
        first: 0,
        observations: Vec::new(),
    });
    let later = Body::Heartbeat(Heartbeat {
        highest_accepted: 18,
        decided: 17,
        value: Value::Change { digest: FIRST_DOCUMENT, at: SENT + 6_000_000 },
        is_active: true,
        has_lost_votes: false,
        first: 290,
        observations: vec![
            PeerObservation { age_steps: 0, slots_below: 1 },
            PeerObservation { age_steps: 255, slots_below: 255 },
            PeerObservation { age_steps: 130, slots_below: 2 },
        ],
    });
    [("beat-early", message(early)), ("beat-later", message(later))]
}

fn votes() -> [(&'static str, Message); 8] {
    let slot = 18;
    let ballot = Ballot { round: 70_000, replica: 300 };
    let earlier = Ballot { round: 3, replica: 129 };
    let change = Value::Change { digest: SECOND_DOCUMENT, at: SENT };
    let void = Value::Void { keeps: Some(FIRST_DOCUMENT) };
    let bodies = [
        ("prepare-void", Body::Prepare { slot, ballot, document: None }),
        ("prepare-change", Body::Prepare { slot, ballot, document: Some(SECOND_DOCUMENT) }),
        ("promise-free", Body::Promise { slot, ballot, accepted: None }),
        (
            "promise-bound",
            Body::Promise { slot, ballot, accepted: Some(AcceptedValue { ballot: earlier, value: change }) },
        ),
        (
            "accept-own",
            Body::Accept(AcceptRequest { slot, ballot, value: change, previously_accepted: false }),
        ),
        ("accept-kept", Body::Accept(AcceptRequest { slot, ballot, value: void, previously_accepted: true })),
        ("accepted", Body::Accepted { slot, ballot }),
        ("passed", Body::Rejected { slot, ballot }),
    ];
    bodies.map(|(name, body)| (name, message(body)))
}

fn documents() -> [(&'static str, Message); 4] {
    let request = Body::DocumentRequest { digest: SECOND_DOCUMENT, first_chunk: 200 };
    let chunk =
        DocumentChunk { digest: SECOND_DOCUMENT, index: 1, total: 2, bytes: b"rate = 7.2\n".to_vec() };
    let previous_request = Body::PreviousDocumentRequest { slot: 18 };
    let previous = Body::PreviousDocument { slot: 18, digest: Some(FIRST_DOCUMENT) };
    [
        ("want", message(request)),
        ("piece", message(Body::DocumentChunk(chunk))),
        ("want-previous", message(previous_request)),
        ("previous", message(previous)),
    ]
}

#[test]
fn datagrams_of_every_kind_match_recorded_bytes() {
    let messages: Vec<_> = heartbeats().into_iter().chain(votes()).chain(documents()).collect();
    assert_eq!(RECORDED.lines().count(), messages.len(), "every recorded datagram must be compared");
    for (name, message) in messages {
        assert_eq!(message.encode(), recorded(name), "{name}");
        assert_eq!(Message::decode(&recorded(name)).as_ref(), Ok(&message), "{name}");
    }
}
