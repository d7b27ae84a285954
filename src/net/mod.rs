//! The limiter on sockets: everything between the wire and the library's decisions.

pub mod admin;
pub mod canary;
pub mod capture;
pub mod config;
pub mod consensus;
pub mod control;
pub mod discovery;
pub mod listener;
pub mod peers;
pub mod quota_counter;
pub mod runtime;
pub mod upstream;

/// Settings of the checks by random steps: the same steps at every run.
#[cfg(test)]
pub fn fixed_seed_config(cases: u32) -> proptest::test_runner::Config {
    let rng_seed = proptest::test_runner::RngSeed::Fixed(20);
    proptest::test_runner::Config { cases, rng_seed, failure_persistence: None, ..Default::default() }
}
