//! Addresses that SIGHUP may change while the daemon serves.

use std::net::SocketAddr;

/// The addresses that a reload may change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Addresses {
    pub discovery: SocketAddr,
    pub counter: Option<SocketAddr>,
    /// The address of discovery in the file, regardless of the environment.
    pub in_file: Option<SocketAddr>,
}

impl Addresses {
    /// Returns these addresses as changed by a reload that read `read`. The environment of a running process can't
    /// change, so a new address of discovery in the file overrides `LB_DISCOVERY`.
    pub fn updated_by(self, read: Addresses) -> Addresses {
        let new = read.in_file.filter(|_| read.in_file != self.in_file);
        Addresses { discovery: new.unwrap_or(self.discovery), ..read }
    }
}
