//! The network side of the limiter: sockets and protocols, and the actors that connect them to the decision logic of
//! the library.

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
pub mod request_body;
pub mod runtime;
pub mod streamed_body;
pub mod upstream;

/// Configuration of property tests: `cases` cases from a fixed seed, so that every run tests the same ones.
#[cfg(test)]
pub fn fixed_seed_config(cases: u32) -> proptest::test_runner::Config {
    let rng_seed = proptest::test_runner::RngSeed::Fixed(20);
    proptest::test_runner::Config { cases, rng_seed, failure_persistence: None, ..Default::default() }
}
