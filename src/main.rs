//! The `sedgestack` daemon: runs one limiter on real sockets, with the library making the decisions.

mod cli;
mod net;
mod registers;
mod startup;

use std::process::ExitCode;

use clap::Parser;
use sedgestack_hcl as hcl;

use cli::{Cli, Command};
use net::config::settings::{self, Settings};
use net::config::{self, ConfigError};
use net::runtime::heap::CountingAllocator;
use net::runtime::log;
use startup::{Capture, RunError};

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Reason why the daemon ended with a failure.
#[derive(Debug, thiserror::Error)]
enum DaemonError {
    #[error(transparent)]
    Settings(#[from] hcl::ConfigError),
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("{limiter}: {source}")]
    Limiter { limiter: String, source: Box<RunError> },
}

/// Runs the limiter until it ends, then prints the counters.
fn serve(settings: &Settings) -> Result<(), DaemonError> {
    let config = config::read()?;
    let limiter = config.name.clone();
    let capture = startup::start_capture(settings, &config);
    let (recorder, writer) = capture.map(|Capture { recorder, thread }| (recorder, thread)).unzip();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    // Dropping the runtime drops the recorder, after which the capture thread completes its file.
    let ended = runtime
        .map_err(RunError::Runtime)
        .and_then(|runtime| runtime.block_on(startup::run(config, settings.tier.clone(), recorder)));
    let is_captured = writer.is_none_or(|thread| thread.join().is_ok());
    log::print_counters();
    let ended = ended.and(if is_captured { Ok(()) } else { Err(RunError::CaptureThread) });
    ended.map_err(|source| DaemonError::Limiter { limiter, source: Box::new(source) })
}

/// Reads the settings, starts the log and serves.
fn run_daemon(cli: &Cli) -> Result<(), DaemonError> {
    let settings = match &cli.settings {
        Some(path) => settings::read(path)?,
        None => Settings::default(),
    };
    log::start(settings.log);
    serve(&settings)
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    if let Some(Command::Check { file, format }) = &cli.command {
        let (answer, is_valid) = cli::check(file, *format);
        println!("{answer}");
        return if is_valid { ExitCode::SUCCESS } else { ExitCode::from(2) };
    }
    match run_daemon(&cli) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sedgestack: {error}");
            ExitCode::FAILURE
        }
    }
}
