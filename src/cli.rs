//! The command line of the daemon.

use std::path::{Path, PathBuf};

use clap::{Parser, Subcommand, ValueEnum};

use crate::net::config::{self, settings};

/// A rate limiter that holds each customer of a shared backend to its plan, counted over all limiters.
///
/// Without a command it serves: LB_CONFIG names the platform's configuration file, --settings a settings file.
#[derive(Parser)]
#[command(
    name = "sedgestack",
    version,
    after_help = "Examples:
  LB_CONFIG=/run/balancer/config.json sedgestack
  sedgestack --settings deploy/sedgestack.hcl
  sedgestack check /run/balancer/config.json
  sedgestack check --format json deploy/sedgestack.hcl

Signals: SIGTERM or SIGINT shuts down gracefully, SIGHUP reloads the addresses, SIGUSR1 prints the counters.
Exit status: 0 after a graceful shutdown, or if the checked file is in order; 1 if the limiter could not start
or serve; 2 for bad arguments, or if the file that `check` read is faulty."
)]
pub struct Cli {
    /// Settings file (HCL) for the log, captures and the tier. Without it, each is off or at its default
    #[arg(long, value_name = "FILE")]
    pub settings: Option<PathBuf>,
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// Commands that replace serving.
#[derive(Subcommand)]
pub enum Command {
    /// Checks a file and reports what is wrong with it: a settings file (.hcl) or the platform's configuration
    Check {
        /// File to check
        file: PathBuf,
        /// Output for people or for machines
        #[arg(long, value_enum, default_value = "text")]
        format: Format,
    },
}

/// Output format of `check`.
#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Format {
    Text,
    Json,
}

/// Returns for how long two versions of a tier may overlap, in words; empty without a tier.
fn version_overlap(settings: &settings::Settings) -> String {
    let tier = settings.tier.as_ref();
    tier.map_or(String::new(), |tier| format!("; {}", tier.describe_version_overlap()))
}

/// Checks a file. Returns the answer to print, and whether the file is valid.
pub fn check(file: &Path, format: Format) -> (String, bool) {
    let found = if file.extension().is_some_and(|e| e == "hcl") {
        settings::read(file).map_err(|e| e.to_string()).map(|s| match &s.capture {
            Some(capture) => format!("capture to {}{}", capture.file, version_overlap(&s)),
            None => format!("no capture{}", version_overlap(&s)),
        })
    } else {
        config::read_file(file).map_err(|e| e.to_string()).map(|c| {
            let (classes, plans) = (c.settings.classes.len(), c.settings.plans.len());
            format!(
                "limiter {} of {}, listens on {}, {classes} classes, {plans} plans",
                c.settings.limiter, c.settings.limiters, c.listen
            )
        })
    };
    let name = file.display().to_string();
    let is_valid = found.is_ok();
    let answer = match (format, found) {
        (Format::Text, Ok(summary)) => format!("{name}: in order: {summary}"),
        (Format::Text, Err(fault)) => fault,
        (Format::Json, Ok(summary)) => {
            serde_json::json!({"file": name, "in_order": true, "summary": summary}).to_string()
        }
        (Format::Json, Err(fault)) => {
            serde_json::json!({"file": name, "in_order": false, "fault": fault}).to_string()
        }
    };
    (answer, is_valid)
}
