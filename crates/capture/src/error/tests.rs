use super::*;

/// Operators and scripts match these texts, so they must not change.
#[test]
fn header_error_texts() {
    let undecodable = postcard::Error::DeserializeUnexpectedEnd;
    let texts = [
        (HeaderError::NoMagic, "is no capture: expected it to begin with SEDGECAP".to_string()),
        (HeaderError::UnsupportedVersion(9), "is version 9; this program reads version 1".to_string()),
        (HeaderError::Truncated, "ends within its header".to_string()),
        (HeaderError::ChecksumMismatch, "its header is damaged: the checksum differs".to_string()),
        (HeaderError::Undecodable(undecodable.clone()), format!("its header can't be read: {undecodable}")),
    ];
    for (why, text) in texts {
        let error = ReadError::InvalidHeader { file: "f".into(), offset: 8, why };
        assert_eq!(error.to_string(), format!("f: at byte 8: {text}"));
    }
}

#[test]
fn damage_texts() {
    let undecodable = postcard::Error::DeserializeUnexpectedEnd;
    let texts = [
        (BlockError::MissingEndMark, "the end mark is missing".to_string()),
        (BlockError::TruncatedHead, "ends within a block's head".to_string()),
        (BlockError::UnknownMark, "expected a block or the end mark, found other bytes".to_string()),
        (BlockError::TooLong, "a block is longer than any is written".to_string()),
        (BlockError::Truncated, "ends within a block".to_string()),
        (BlockError::ChecksumMismatch, "a block's checksum differs".to_string()),
        (BlockError::Undecompressable("bad frame".into()), "bad frame".to_string()),
        (BlockError::Undecodable(undecodable.clone()), undecodable.to_string()),
        (BlockError::MissingVersions, "a block has fewer versions of the rules than records".to_string()),
        (BlockError::ExtraVersions, "a block has more versions of the rules than records".to_string()),
        (BlockError::TimeCountMismatch, "a block has not as many times as records".to_string()),
        (
            BlockError::UnknownName,
            "a record names a class, plan, destination or source that the file does not".to_string(),
        ),
    ];
    for (why, text) in texts {
        assert_eq!(Damage { offset: 7, why }.to_string(), format!("at byte 7: {text}"));
    }
}

#[test]
fn merge_error_texts() {
    let other_tier =
        |difference| MergeError::DifferentTiers { first: "n0".into(), other: "n1".into(), difference };
    let texts = [
        (MergeError::NoCaptures, "no captures"),
        (
            MergeError::AlreadyMerged { limiter: "n0+n1".into() },
            "n0+n1 is merged already: merge limiters' own captures",
        ),
        (
            other_tier(TierDifference::ClassesOrPlans),
            "captures of n0 and n1 are not of one tier: classes or plans differ",
        ),
        (
            other_tier(TierDifference::HashKeys),
            "captures of n0 and n1 are not of one tier: the keys of their hashes differ",
        ),
        (
            other_tier(TierDifference::LimiterCounts),
            "captures of n0 and n1 are not of one tier: their numbers of limiters differ",
        ),
        (MergeError::DuplicateLimiter { number: 4 }, "limiter 4 is there twice, from the same start"),
    ];
    for (error, text) in texts {
        assert_eq!(error.to_string(), text);
    }
}
