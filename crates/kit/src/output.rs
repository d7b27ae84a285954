//! Output that commands share: formats, exit status and progress bars.

use std::process::ExitCode;
use std::time::Duration;

use clap::ValueEnum;
use indicatif::{ProgressBar, ProgressStyle};

/// Number of steps in a progress bar.
const BAR_STEPS: u64 = 1_000;
/// How often a progress bar is redrawn while there is no progress.
const BAR_TICK: Duration = Duration::from_millis(200);

/// The format in which a command prints its result.
// The variants have no doc comments because clap would print them as help.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Format {
    Table,
    Json,
}

/// The result of a command whose input was valid; determines the exit status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The command did its work, and any check passed: exit status 0.
    Done,
    /// The result is negative, such as a failed check: exit status 1.
    No,
    /// The machine was too busy for the result to be meaningful: exit status 3.
    Void,
}

impl Verdict {
    /// Returns `Done` if `holds`, else `No`.
    pub fn from_bool(holds: bool) -> Verdict {
        if holds {
            Verdict::Done
        } else {
            Verdict::No
        }
    }
}

impl From<Verdict> for ExitCode {
    fn from(verdict: Verdict) -> ExitCode {
        match verdict {
            Verdict::Done => ExitCode::SUCCESS,
            Verdict::No => ExitCode::from(1),
            Verdict::Void => ExitCode::from(3),
        }
    }
}

/// Creates a progress bar on standard error, which is drawn only on a terminal.
pub fn progress_bar() -> ProgressBar {
    let bar = ProgressBar::new(BAR_STEPS);
    let style = ProgressStyle::with_template("{bar:30} {percent:>3}% {elapsed:>4} {msg}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar.enable_steady_tick(BAR_TICK);
    bar
}

/// Sets a progress bar to `part`, from 0 (nothing done) to 1 (all done).
pub fn set_progress(bar: &ProgressBar, part: f64) {
    bar.set_position((part * BAR_STEPS as f64) as u64);
}
