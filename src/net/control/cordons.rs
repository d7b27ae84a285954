//! The file that preserves the cordons across restarts and upgrades.
//!
//! A new set is written to a temporary file, synced, and renamed over the old file, so that a reader finds either the
//! old set or the new one. If the file cannot be read, the error is logged and counted, and the process starts without
//! cordons.
//!
//! During an upgrade two processes serve at the same time and share the file. Each of them changes one name at a time
//! under a lock and checks the file every [`CHECK_INTERVAL`], so that a cordon set in one process takes effect in the
//! other within that time.

use std::collections::BTreeSet;
use std::fs::{self, File};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot, Mutex};
use tokio::time::{interval, MissedTickBehavior};

use crate::info;
use crate::net::control::message::ControlCommand;
use crate::net::runtime::metrics::COUNTERS;

#[cfg(test)]
mod tests;

/// Interval between two checks of the file, a fraction of the one second within which a cordon must take effect.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Serialize, Deserialize)]
struct SavedCordons {
    cordoned: BTreeSet<String>,
}

/// An error while reading the cordon file.
#[derive(Debug, thiserror::Error)]
enum CordonsError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("line {line}, column {column}: {0}", line = .0.line(), column = .0.column())]
    Json(#[from] serde_json::Error),
}

/// Returns the path of the cordon file in directory `dir` for the limiter that serves clients at `listen`. The file
/// depends only on the address, so that the old and the new process of an upgrade share it.
pub fn path(dir: &Path, listen: SocketAddr) -> PathBuf {
    dir.join(format!("sedgestack-cordons-{}-{}.json", listen.ip(), listen.port()))
}

/// Returns the set stored at `path`, or an empty set if there is no file. An unreadable file must not prevent a start:
/// it is logged and counted (`cordons_unreadable`) and read as empty.
pub fn read(path: &Path) -> BTreeSet<String> {
    try_read(path).unwrap_or_else(|error| {
        report_unreadable(path, &error, "treated as empty");
        BTreeSet::new()
    })
}

/// Logs and counts an unreadable file. `consequence` describes what happens instead.
fn report_unreadable(path: &Path, error: &CordonsError, consequence: &str) {
    COUNTERS.cordons_unreadable.increment();
    info!("cordons: {}: {error}; {consequence}", path.display());
}

/// Reads the set stored at `path`. A missing file is an empty set.
fn try_read(path: &Path) -> Result<BTreeSet<String>, CordonsError> {
    let text = match fs::read_to_string(path) {
        Ok(text) => text,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(BTreeSet::new()),
        Err(e) => return Err(e.into()),
    };
    let saved: SavedCordons = serde_json::from_str(&text)?;
    Ok(saved.cordoned)
}

/// Adds a name to the set stored at `path` or removes it. A lock shared with other processes prevents lost updates. An
/// unreadable file is replaced.
///
/// # Errors
/// Returns any file system error.
pub fn change(path: &Path, name: &str, cordoned: bool) -> io::Result<()> {
    let mut lock = path.as_os_str().to_owned();
    lock.push(".lock");
    let lock = File::options().create(true).truncate(false).write(true).open(lock)?;
    lock.lock()?;
    let mut set = read(path);
    let changed = if cordoned { set.insert(name.to_string()) } else { set.remove(name) };
    if changed || !path.exists() {
        write(path, set.iter().map(String::as_str))?;
    }
    Ok(())
}

/// Sends the set stored at `path` to the control actor whenever the file has changed, until that actor stops.
/// `update_lock` is held here and by each call that changes the set, so that the file and the control actor are updated
/// together.
pub async fn watch_file(path: PathBuf, update_lock: Arc<Mutex<()>>, control: mpsc::Sender<ControlCommand>) {
    let mut checks = interval(CHECK_INTERVAL);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut seen = None;
    loop {
        checks.tick().await;
        let stamp = fs::metadata(&path).ok().map(|m| (m.ino(), m.mtime(), m.mtime_nsec(), m.len()));
        if stamp == seen {
            continue;
        }
        let _guard = update_lock.lock().await;
        match try_read(&path) {
            Ok(names) => {
                let (reply, done) = oneshot::channel();
                if control.send(ControlCommand::ReplaceCordons { names, reply }).await.is_err()
                    || done.await.is_err()
                {
                    return;
                }
            }
            Err(error) => report_unreadable(&path, &error, "keeping the current cordons"),
        }
        seen = stamp;
    }
}

/// Replaces the set stored at `path` with `cordoned` and syncs the file and its directory.
///
/// # Errors
/// Returns any file system error. If the new file cannot be written or renamed, the old one is unchanged.
fn write<'a>(path: &Path, cordoned: impl IntoIterator<Item = &'a str>) -> io::Result<()> {
    let saved = SavedCordons { cordoned: cordoned.into_iter().map(str::to_string).collect() };
    let text = serde_json::to_vec(&saved).map_err(io::Error::other)?;
    let mut temporary = path.as_os_str().to_owned();
    temporary.push(format!(".{}.new", std::process::id()));
    let temporary = PathBuf::from(temporary);
    let written = (|| {
        let mut file = File::create(&temporary)?;
        file.write_all(&text)?;
        file.sync_all()?;
        fs::rename(&temporary, path)
    })();
    if written.is_err() {
        let _ = fs::remove_file(&temporary);
    }
    written?;
    if let Some(dir) = path.parent().filter(|d| !d.as_os_str().is_empty()) {
        File::open(dir)?.sync_all()?;
    }
    Ok(())
}
