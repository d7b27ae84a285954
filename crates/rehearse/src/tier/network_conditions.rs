//! Conditions of the network between limiters, and counts of the datagrams that it handled.

use std::time::Duration;

/// Faults applied to datagrams on links that are not cut.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NetworkConditions {
    /// Fraction of datagrams dropped, from 0 to 1.
    pub loss: f64,
    /// Fraction of datagrams delivered twice, from 0 to 1.
    pub duplication: f64,
    /// Fraction of datagrams delivered with one bit flipped, from 0 to 1.
    pub corruption: f64,
    /// Maximum delay. Each datagram is delayed by a random time up to this, which also reorders datagrams.
    pub max_delay: Duration,
}

/// Numbers of datagrams between limiters since the tier started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DatagramCounts {
    /// Datagrams received from limiters, including those dropped later.
    pub received: u64,
    /// Datagrams forwarded; a duplicated datagram counts twice.
    pub forwarded: u64,
    /// Datagrams dropped because their link was cut.
    pub dropped_on_cut_links: u64,
    /// Datagrams dropped at random, by [`NetworkConditions::loss`].
    pub lost: u64,
}
