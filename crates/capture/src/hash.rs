//! Keyed hashes of customers and idempotency keys.

use std::hash::Hasher;

/// Input whose hash identifies the secret key.
const KEY_ID_INPUT: &[u8] = b"sedgestack capture key";

/// Hashes customers and idempotency keys with a secret key, so that a capture distinguishes them without disclosing
/// them.
#[derive(Clone, Copy)]
pub struct KeyedHash {
    key: [u8; 16],
}

impl KeyedHash {
    /// Creates a hash with a secret key. All limiters of a tier must use the same key, so that their captures can be
    /// merged.
    pub fn new(key: [u8; 16]) -> KeyedHash {
        KeyedHash { key }
    }

    /// Returns the hash of `bytes`; never 0, which stands for a missing value.
    pub fn of(&self, bytes: &[u8]) -> u64 {
        let mut hasher = siphasher::sip::SipHasher13::new_with_key(&self.key);
        hasher.write(bytes);
        hasher.finish().max(1)
    }

    /// Returns a number that identifies the secret key without disclosing it.
    pub fn id(&self) -> u64 {
        self.of(KEY_ID_INPUT)
    }
}
