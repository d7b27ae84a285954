//! Includes the wrappers that `build.rs` generates: they extend each `int` argument of a C library call to the whole
//! register.

#[cfg(whole_registers)]
std::arch::global_asm!(include_str!(concat!(env!("OUT_DIR"), "/registers.s")), ".text");

#[cfg(all(test, whole_registers))]
#[path = "../tests/limiter/filter.rs"]
mod filter;

#[cfg(all(test, whole_registers))]
mod tests;
