//! The capture recorder: a thread that writes the capture, off the request path.
//!
//! Records are put into a bounded queue without waiting. If it is full, the record is dropped and counted, in the
//! counters and in the file. A write error ends the capture, but never the service.

use std::fs::{self, File};
use std::io::{self, BufWriter};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TryRecvError};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use sedgestack::BackendId;
use sedgestack_capture::{Header, KeyedHash, Record, Writer};

use crate::info;
use crate::net::config::settings::CaptureSettings;
use crate::net::runtime::metrics::COUNTERS;

/// Interval at which records are flushed to the file. If the process is killed, the records of up to this time are
/// lost.
const FLUSH_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the queue is emptied. The writer polls instead of waiting for records, because waking it for
/// each record would cost the request path a system call.
const DRAIN_INTERVAL: Duration = Duration::from_millis(50);

/// A record for the file, with the name of the backend that answered.
pub struct CaptureEntry {
    pub record: Record,
    pub destination: Option<BackendId>,
}

/// The control actor's handle to the recorder.
pub struct CaptureRecorder {
    pub hash: KeyedHash,
    queue: SyncSender<CaptureEntry>,
    dropped: Arc<AtomicU64>,
}

impl CaptureRecorder {
    /// Starts a capture. Dropping the recorder makes the thread complete the file and end.
    ///
    /// # Errors
    /// Returns an error if the file can't be created, or already exists.
    pub fn start(
        capture: &CaptureSettings,
        path: &Path,
        header: &Header,
    ) -> io::Result<(CaptureRecorder, JoinHandle<()>)> {
        if let Some(directory) = path.parent().filter(|f| !f.as_os_str().is_empty()) {
            fs::create_dir_all(directory)?;
        }
        let file = BufWriter::new(File::options().write(true).create_new(true).open(path)?);
        let writer = Writer::new(file, header)?;
        let (queue, entries) = sync_channel(capture.queue_capacity);
        let dropped = Arc::new(AtomicU64::new(0));
        let (dropped_by_queue, max_bytes) = (dropped.clone(), capture.max_bytes);
        let thread = thread::Builder::new().name("capture".into()).spawn(move || {
            if let Err(e) = write(writer, &entries, &dropped_by_queue, max_bytes) {
                info!("capture: ended: {e}");
                // The queue is still emptied, so that its records are counted as dropped.
                entries.iter().for_each(|_| COUNTERS.capture_dropped.increment());
            }
        })?;
        Ok((CaptureRecorder { hash: capture.hash, queue, dropped }, thread))
    }

    /// Queues a record without waiting, or drops it if the queue is full.
    pub fn record(&self, entry: CaptureEntry) {
        if self.queue.try_send(entry).is_err() {
            COUNTERS.capture_dropped.increment();
            self.dropped.fetch_add(1, Relaxed);
        }
    }
}

/// Writes queued records until the recorder is dropped.
fn write(
    mut writer: Writer<BufWriter<File>>,
    entries: &Receiver<CaptureEntry>,
    dropped: &AtomicU64,
    max_bytes: u64,
) -> io::Result<()> {
    let mut flushed_at = Instant::now();
    let mut is_full = false;
    loop {
        match entries.try_recv() {
            Ok(_) if is_full => {
                COUNTERS.capture_dropped.increment();
                dropped.fetch_add(1, Relaxed);
            }
            Ok(entry) => {
                writer.push(entry.record, entry.destination.as_deref())?;
                COUNTERS.captured.increment();
            }
            Err(TryRecvError::Empty) => thread::sleep(DRAIN_INTERVAL),
            Err(TryRecvError::Disconnected) => {
                writer.record_dropped(dropped.swap(0, Relaxed));
                return writer.finish().map(|_| ());
            }
        }
        if flushed_at.elapsed() >= FLUSH_INTERVAL && !is_full {
            writer.record_dropped(dropped.swap(0, Relaxed));
            writer.flush()?;
            flushed_at = Instant::now();
            if writer.written() >= max_bytes {
                is_full = true;
                info!(
                    "capture: {} MB are written, the maximum; further records are dropped",
                    max_bytes >> 20
                );
            }
        }
    }
}
