//! `sedgestack-kit`: a command-line tool for captures, capacity plans, rehearsals and runtime configuration.

mod bounds;
mod campaign;
mod captures;
mod error;
mod input;
mod output;
mod plan;
mod prove;
mod rehearse;
mod tier;
mod timeline;
mod versions;

use std::io;
use std::process::ExitCode;

use clap::{CommandFactory, Parser, Subcommand};

use output::{Format, Verdict};

/// The test and planning kit that ships with sedgestack.
#[derive(Parser)]
#[command(
    name = "sedgestack-kit",
    version,
    after_help = "Examples:
  sedgestack-kit plan deploy/fleet-sample.hcl
  sedgestack-kit plan deploy/fleet-sample.hcl --capture n0.sedgecap --capture n1.sedgecap --html plan.html
  sedgestack-kit capture merge n0.sedgecap n1.sedgecap n2.sedgecap --out day.sedgecap
  sedgestack-kit rehearse deploy/fleet-sample.hcl --scenario room-lost --seed 7
  sedgestack-kit config status --at 10.0.0.4:9901 10.0.0.5:9901
  sedgestack-kit bound deploy/fleet-sample.hcl --at-most 110
  sedgestack-kit campaign deploy/fleet-sample.hcl --limiters 5 --seeds 20
  sedgestack-kit completions bash

Exit status: 0 success; 1 negative result (no number of workers meets the aims, a prediction is off, a file is
damaged); 2 bad input or arguments; 3 void: the machine was too busy for the rehearsal to be meaningful."
)]
struct Cli {
    /// Output format
    #[arg(long, global = true, value_enum, default_value = "table")]
    format: Format,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Computes how far all limiters together can exceed a quota under leases, and why
    Bound(bounds::Arguments),
    /// Shows, checks, merges and generates captures
    #[command(subcommand)]
    Capture(captures::Command),
    /// Checks and compares versions of the runtime configuration, and changes it on a running tier
    #[command(subcommand)]
    Config(versions::Command),
    /// Computes how many workers meet the aims, what fails first and what losses cost
    Plan(plan::Arguments),
    /// Plays a load through real daemons, with stand-ins for all other services on loopback
    Rehearse(rehearse::Arguments),
    /// Compares the model's predictions with rehearsals, scenario by scenario
    Prove(prove::Arguments),
    /// Plays random timelines of faults on tiers of real limiters, and checks what was recorded
    Campaign(campaign::Arguments),
    /// Prints completions for a shell
    Completions {
        /// The shell
        shell: clap_complete::Shell,
    },
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let result = match cli.command {
        Command::Bound(arguments) => bounds::run(&arguments, cli.format),
        Command::Capture(command) => captures::run(command, cli.format),
        Command::Config(command) => versions::run(&command, cli.format),
        Command::Plan(arguments) => plan::run(&arguments, cli.format),
        Command::Rehearse(arguments) => rehearse::run(&arguments, cli.format),
        Command::Prove(arguments) => prove::run(&arguments, cli.format),
        Command::Campaign(arguments) => campaign::run(&arguments, cli.format),
        Command::Completions { shell } => {
            clap_complete::generate(shell, &mut Cli::command(), "sedgestack-kit", &mut io::stdout());
            Ok(Verdict::Done)
        }
    };
    match result {
        Ok(verdict) => verdict.into(),
        Err(error) => {
            eprintln!("sedgestack-kit: {error}");
            ExitCode::from(2)
        }
    }
}
