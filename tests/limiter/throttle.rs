//! Gives a process a part of a core only.

use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::Duration;

/// Lets the process run for 5 ms in each 50 ms until it is dropped.
pub struct TenthOfACore {
    stopped: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl TenthOfACore {
    /// Throttles a child process until the returned value is dropped.
    pub fn start(process: u32) -> TenthOfACore {
        let stopped = Arc::new(AtomicBool::new(false));
        let is_stopped = stopped.clone();
        let signal = move |signal| {
            // SAFETY: the process is a child that is not waited for before this thread has ended.
            assert_eq!(unsafe { libc::kill(process as i32, signal) }, 0);
        };
        let thread = thread::spawn(move || {
            while !is_stopped.load(Relaxed) {
                signal(libc::SIGSTOP);
                sleep(Duration::from_millis(45));
                signal(libc::SIGCONT);
                sleep(Duration::from_millis(5));
            }
        });
        TenthOfACore { stopped, thread: Some(thread) }
    }
}

impl Drop for TenthOfACore {
    fn drop(&mut self) {
        self.stopped.store(true, Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
