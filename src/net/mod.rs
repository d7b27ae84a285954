//! The limiter on sockets: everything between the wire and the library's decisions.

pub mod addresses;
pub mod calls;
pub mod clock;
pub mod config;
pub mod cordons;
pub mod counter;
pub mod destination;
pub mod downstream;
pub mod endpoints;
pub mod figures;
pub mod front;
pub mod ids;
pub mod list;
pub mod log;
pub mod message;
pub mod metrics;
pub mod module;
pub mod ops;
pub mod peers;
pub mod recorder;
pub mod reuse;
pub mod rules;
pub mod settings;
pub mod shutdown;
pub mod tier;
pub mod turn;
pub mod watch;

/// Settings of the checks by random steps: the same steps at every run.
#[cfg(test)]
pub fn fixed(cases: u32) -> proptest::test_runner::Config {
    let rng_seed = proptest::test_runner::RngSeed::Fixed(20);
    proptest::test_runner::Config { cases, rng_seed, failure_persistence: None, ..Default::default() }
}
