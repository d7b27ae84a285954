//! Input that commands share: the fleet file, captures, scenarios and the daemon's path.

use std::path::{Path, PathBuf};

use sedgestack_capture::{merge, read_file, Merged};
use sedgestack_fleet::Fleet;
use sedgestack_plan::{fit, FirstTries, Source};
use sedgestack_rehearse::scenarios::{self, Scenario};

use crate::error::KitError;

/// Path of the daemon in a release build, relative to the root of the repository.
const RELEASE_DAEMON: &str = "target/release/sedgestack";

/// Reads and checks a fleet file.
pub fn read_fleet(path: &Path) -> Result<Fleet, KitError> {
    Ok(Fleet::read(path)?)
}

/// Reads captures and merges them into one.
pub fn read_captures(files: &[PathBuf]) -> Result<Merged, KitError> {
    let captures = files.iter().map(|file| read_file(file)).collect::<Result<Vec<_>, _>>()?;
    merge(captures).map_err(KitError::Merge)
}

/// Returns the load to plan for: that of the captures, or the one that the fleet file describes if there are none.
pub fn load_source(fleet: &Fleet, captures: &[PathBuf]) -> Result<Source, KitError> {
    if captures.is_empty() {
        return Ok(Source::Described);
    }
    let tries = FirstTries::of(fleet, &read_captures(captures)?)?;
    let fit = fit(fleet, &tries);
    Ok(Source::Captured { tries: Box::new(tries), fit })
}

/// Builds the scenario `name` for a fleet.
pub fn scenario(fleet: &Fleet, name: &str) -> Result<Scenario, KitError> {
    scenarios::scenario(fleet, name).ok_or_else(|| KitError::UnknownScenario(name.to_string()))
}

/// Returns the daemon's path: `named` if given, else `sedgestack` in this program's folder, else a release build's.
pub fn find_daemon(named: Option<&Path>) -> Result<PathBuf, KitError> {
    if let Some(daemon) = named {
        return Ok(daemon.to_path_buf());
    }
    let program = std::env::current_exe().ok();
    let sibling = program.and_then(|program| Some(program.parent()?.join("sedgestack")));
    let candidates = [sibling, Some(PathBuf::from(RELEASE_DAEMON))];
    candidates.into_iter().flatten().find(|daemon| daemon.is_file()).ok_or(KitError::NoDaemon)
}
