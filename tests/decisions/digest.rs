//! A digest of decisions that depends only on their meaning: not on names in the code, `Debug` output, or the
//! hasher of the standard library.

use sedgestack::{Action, Micros, SettingsError, VersionIndices};

const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// 64-bit FNV-1a. Numbers are added in little-endian order, and texts after their length.
#[derive(Clone, Copy)]
pub struct Digest(u64);

impl Digest {
    pub fn new() -> Digest {
        Digest(OFFSET)
    }

    pub fn value(self) -> u64 {
        self.0
    }

    pub fn bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(PRIME);
        }
    }

    pub fn tag(&mut self, tag: u8) {
        self.bytes(&[tag]);
    }

    pub fn number(&mut self, number: u64) {
        self.bytes(&number.to_le_bytes());
    }

    pub fn size(&mut self, size: usize) {
        self.number(size as u64);
    }

    /// Adds all bits of a number, so that any difference changes the digest.
    pub fn float(&mut self, float: f64) {
        self.number(float.to_bits());
    }

    pub fn text(&mut self, text: &str) {
        self.length_prefixed(text.as_bytes());
    }

    fn length_prefixed(&mut self, bytes: &[u8]) {
        self.size(bytes.len());
        self.bytes(bytes);
    }

    fn optional_duration(&mut self, duration: Option<Micros>) {
        self.tag(u8::from(duration.is_some()));
        self.number(duration.unwrap_or(0));
    }

    fn sizes(&mut self, sizes: &[usize]) {
        self.size(sizes.len());
        for size in sizes {
            self.size(*size);
        }
    }

    pub fn action(&mut self, action: &Action) {
        self.tag(action_kind(action) as u8);
        match action {
            Action::StartAttempt { request, backend, timeout, write_within } => {
                self.number(*request);
                self.text(backend);
                self.optional_duration(*timeout);
                self.optional_duration(*write_within);
            }
            Action::CancelAttempt { request, attempt } => {
                self.number(*request);
                self.number(u64::from(*attempt));
            }
            Action::Reject { request, retry_after } => {
                self.number(*request);
                self.number(*retry_after);
            }
            Action::Fail { request } => self.number(*request),
            Action::CallCounter { name, amount, time_to_live } => {
                self.number(*name);
                self.float(*amount);
                self.number(*time_to_live);
            }
            Action::HealthCheck { backend } => self.text(backend),
            Action::Subscribe => {}
            Action::SendToPeers { bytes } => self.length_prefixed(bytes),
            Action::SetTimer { after } => self.number(*after),
            Action::Log { text } => self.text(text),
        }
    }

    /// Adds the result of adopting a version.
    pub fn adoption(&mut self, adoption: &Result<VersionIndices, SettingsError>) {
        match adoption {
            Ok(indices) => {
                self.tag(0);
                self.sizes(&indices.classes);
                self.sizes(&indices.plans);
            }
            Err(SettingsError::NoClasses) => self.tag(1),
            Err(SettingsError::NoPlans) => self.tag(2),
            Err(SettingsError::InvalidNumber(what)) => {
                self.tag(3);
                self.text(what);
            }
            Err(SettingsError::Incompatible(name)) => {
                self.tag(4);
                self.text(name);
            }
        }
    }
}

/// Kinds of actions. Their numbers are part of the digest and index the counts of a recording.
#[derive(Clone, Copy)]
pub enum ActionKind {
    StartAttempt,
    CancelAttempt,
    Reject,
    Fail,
    CallCounter,
    HealthCheck,
    Subscribe,
    SendToPeers,
    SetTimer,
    Log,
}

/// Names of the kinds in a recording, in the order of [`ActionKind`].
pub const KIND_NAMES: [&str; 10] =
    ["send", "cancel", "refuse", "fail", "count", "probe", "subscribe", "tell-peers", "set-timer", "log"];

pub fn action_kind(action: &Action) -> ActionKind {
    match action {
        Action::StartAttempt { .. } => ActionKind::StartAttempt,
        Action::CancelAttempt { .. } => ActionKind::CancelAttempt,
        Action::Reject { .. } => ActionKind::Reject,
        Action::Fail { .. } => ActionKind::Fail,
        Action::CallCounter { .. } => ActionKind::CallCounter,
        Action::HealthCheck { .. } => ActionKind::HealthCheck,
        Action::Subscribe => ActionKind::Subscribe,
        Action::SendToPeers { .. } => ActionKind::SendToPeers,
        Action::SetTimer { .. } => ActionKind::SetTimer,
        Action::Log { .. } => ActionKind::Log,
    }
}
