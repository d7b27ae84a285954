//! `sedgestack-kit capture`: shows, checks, merges and generates captures.

mod show;

use std::fs::File;
use std::io::BufWriter;
use std::path::{Path, PathBuf};

use clap::Subcommand;
use serde_json::json;

use sedgestack_capture::{read_file, Capture, Header, KeyedHash, ReadError, Record, Writer};
use sedgestack_model::demand;

use crate::error::KitError;
use crate::input::{read_captures, read_fleet, scenario};
use crate::output::{Format, Verdict};

/// The key that hashes customers in generated captures. It need not be secret, as these customers are artificial.
const DRAWN_KEY: [u8; 16] = *b"sedgestack-drawn";

#[derive(Subcommand)]
#[command(after_help = "Examples:
  sedgestack-kit capture show n0.sedgecap
  sedgestack-kit capture check captures/*.sedgecap
  sedgestack-kit capture merge n0.sedgecap n1.sedgecap n2.sedgecap --out day.sedgecap
  sedgestack-kit capture draw deploy/fleet-sample.hcl --scenario calm --out captures")]
/// Subcommands of `sedgestack-kit capture`.
pub enum Command {
    /// Summarizes a capture
    Show {
        /// The capture file
        file: PathBuf,
        /// Number of records to print, starting with the first
        #[arg(long, default_value_t = 0, value_name = "N")]
        records: usize,
    },
    /// Checks whether captures are undamaged; exit status 1 if one is damaged
    Check {
        /// The capture files
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Merges the captures of several limiters into one, ordered by time
    Merge {
        /// The capture files
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// The file to write; it must not exist yet
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
    },
    /// Simulates a fleet file's load and writes the captures that limiters would record
    Draw {
        /// The fleet file
        fleet: PathBuf,
        /// The scenario, which varies the fleet file's load; `rehearse --list` lists them
        #[arg(long, default_value = "described")]
        scenario: String,
        /// Seed of all random choices
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The folder to write the captures to, one for each limiter
        #[arg(long, value_name = "FOLDER")]
        out: PathBuf,
    },
}

/// Runs a subcommand.
pub fn run(command: Command, format: Format) -> Result<Verdict, KitError> {
    match command {
        Command::Show { file, records } => show::run(&file, records, format),
        Command::Check { files } => Ok(check(&files, format)),
        Command::Merge { files, out } => merge_into(&files, &out, format),
        Command::Draw { fleet, scenario, seed, out } => draw(&fleet, &scenario, seed, &out, format),
    }
}

/// Whether a capture is undamaged, and the message to print about it.
struct CheckResult {
    whole: bool,
    message: String,
}

impl CheckResult {
    fn new(read: &Result<Capture, ReadError>) -> CheckResult {
        match read {
            Ok(Capture { damage: None, records, dropped, .. }) => CheckResult {
                whole: true,
                message: format!("whole, {} records, {dropped} dropped", records.len()),
            },
            Ok(Capture { damage: Some(damage), records, .. }) => {
                let message = format!("damaged {damage}; {} records before it are intact", records.len());
                CheckResult { whole: false, message }
            }
            Err(error) => CheckResult { whole: false, message: error.to_string() },
        }
    }
}

fn check(files: &[PathBuf], format: Format) -> Verdict {
    let mut all_whole = true;
    for file in files {
        let read = read_file(file);
        let CheckResult { whole, message } = CheckResult::new(&read);
        all_whole &= whole;
        if format == Format::Json {
            println!("{}", json!({"file": file.display().to_string(), "whole": whole, "what": message}));
        } else if read.is_err() {
            // The error message already names the file.
            println!("{message}");
        } else {
            println!("{}: {message}", file.display());
        }
    }
    Verdict::from_bool(all_whole)
}

/// Writes a capture to a new file; fails if the file exists.
fn write(path: &Path, header: &Header, records: &[Record], destinations: &[String]) -> Result<(), KitError> {
    let error = KitError::file(path);
    let file = File::options().write(true).create_new(true).open(path).map_err(&error)?;
    let mut writer = Writer::new(BufWriter::new(file), header).map_err(&error)?;
    for record in records {
        let destination = record.destination.and_then(|index| destinations.get(usize::from(index)));
        writer.push(record.clone(), destination.map(String::as_str)).map_err(&error)?;
    }
    writer.finish().map_err(&error)?;
    Ok(())
}

fn merge_into(files: &[PathBuf], out: &Path, format: Format) -> Result<Verdict, KitError> {
    let merged = read_captures(files)?;
    write(out, &merged.header(), &merged.records, &merged.destinations)?;
    let warnings: Vec<String> = merged.warnings.iter().map(std::string::ToString::to_string).collect();
    if format == Format::Json {
        let answer = json!({"file": out.display().to_string(), "records": merged.records.len(),
                            "sources": merged.sources.len(), "warnings": warnings});
        println!("{answer}");
    } else {
        println!("{}: {} records of {} captures", out.display(), merged.records.len(), merged.sources.len());
        warnings.iter().for_each(|warning| println!("  ! {warning}"));
    }
    Ok(Verdict::Done)
}

fn draw(fleet: &Path, name: &str, seed: u64, out: &Path, format: Format) -> Result<Verdict, KitError> {
    let fleet = read_fleet(fleet)?;
    let scenario = scenario(&fleet, name)?;
    std::fs::create_dir_all(out).map_err(KitError::file(out))?;
    let demand = demand::draw(&scenario.fleet, seed);
    let hash = KeyedHash::new(DRAWN_KEY);
    let captures = sedgestack_plan::synthesize(&scenario.fleet, &demand, &scenario.faults, hash, seed);
    for capture in &captures {
        let file = out.join(format!("{}.sedgecap", capture.header.limiter));
        write(&file, &capture.header, &capture.records, &capture.destinations)?;
        let (name, count) = (file.display().to_string(), capture.records.len());
        match format {
            Format::Json => println!("{}", json!({"file": name, "records": count})),
            Format::Table => println!("{name}: {count} records"),
        }
    }
    Ok(Verdict::Done)
}
