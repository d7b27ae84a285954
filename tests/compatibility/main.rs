//! Compatibility of the daemon's output and files with earlier releases: what operators, tools and other processes
//! read.
//!
//! The fixtures were recorded from a release. Changing one means changing an interface.

mod admin;
mod command_line;
mod daemon;
mod log;
mod tier;
