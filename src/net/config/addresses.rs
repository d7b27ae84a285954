//! Addresses that SIGHUP may change while the daemon serves.

use std::net::SocketAddr;

/// The addresses that a reload may change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Addresses {
    pub discovery: SocketAddr,
    pub counter: Option<SocketAddr>,
    /// The address of discovery in the file, regardless of the environment.
    pub discovery_in_file: Option<SocketAddr>,
}

impl Addresses {
    /// Returns the addresses to use after a reload that read `reloaded`. The environment of a running process can't
    /// change, so a new address of discovery in the file overrides `LB_DISCOVERY`.
    pub fn after_reload(self, reloaded: Addresses) -> Addresses {
        let new = reloaded.discovery_in_file.filter(|_| reloaded.discovery_in_file != self.discovery_in_file);
        Addresses { discovery: new.unwrap_or(self.discovery), ..reloaded }
    }
}
