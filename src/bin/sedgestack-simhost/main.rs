//! `sedgestack-simhost`: runs one `Limiter` for each instance of the simulator and speaks the simulator's line protocol
//! on standard input and output. It only translates between lines and events or actions.

mod host;
mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use host::Host;
use wire::WireError;

/// An error and the number of the input line that caused it, counted from 1.
struct LineError {
    line: usize,
    error: WireError,
}

/// Handles batches until the end of the input.
fn run(input: impl BufRead, mut output: impl Write) -> Result<(), LineError> {
    let mut host = Host::default();
    let mut line = 0;
    for text in input.lines() {
        line += 1;
        text.map_err(WireError::Read)
            .and_then(|text| host.handle_line(&text, &mut output))
            .map_err(|error| LineError { line, error })?;
    }
    if host.is_inside_batch() {
        return Err(LineError { line: line + 1, error: WireError::UnfinishedBatch });
    }
    Ok(())
}

fn main() -> ExitCode {
    match run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(LineError { line, error }) => {
            eprintln!("sedgestack-simhost: line {line}: {error}");
            ExitCode::FAILURE
        }
    }
}
