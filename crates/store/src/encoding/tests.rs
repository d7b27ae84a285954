//! Encoding of a stored value, and decoding of damaged ones.

use super::*;

#[test]
fn decode_rejects_damaged_values_and_unknown_formats() {
    let encoded = encode(b"the stored value");
    assert_eq!(decode(&encoded), Ok(b"the stored value".to_vec()));
    assert!(matches!(decode(&encoded[..9]), Err(UnusableFile::Corrupt(_))));
    let mut corrupted = encoded.clone();
    corrupted[20] ^= 1;
    assert_eq!(decode(&corrupted), Err(UnusableFile::ChecksumMismatch));
    let mut newer = encoded;
    newer[0] = 2;
    assert_eq!(decode(&newer), Err(UnusableFile::UnknownFormat(2)));
}
