//! Calls to discovery that have not been answered.

use std::collections::VecDeque;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::task::{Context, Poll};

/// Maximum number of late calls kept in addition to the newest one. When it is exceeded, the oldest call has waited for
/// about as long as the reporting of a change may be delayed.
const MAX_LATE_CALLS: usize = 3;

/// A call that has ended.
pub(super) struct EndedCall<T> {
    pub(super) result: T,
    /// Whether no later call was made.
    pub(super) is_newest: bool,
}

/// The calls that wait for an answer, oldest first. A late call is kept while further calls are made: if discovery
/// queues calls, a call that is given up and made again goes to the end of the queue.
pub(super) struct PendingCalls<T> {
    calls: VecDeque<Pin<Box<dyn Future<Output = T> + Send>>>,
}

impl<T> PendingCalls<T> {
    pub(super) fn new() -> PendingCalls<T> {
        PendingCalls { calls: VecDeque::new() }
    }

    /// Adds a call. Gives up the oldest call if there are too many.
    pub(super) fn push(&mut self, call: impl Future<Output = T> + Send + 'static) {
        if self.calls.len() > MAX_LATE_CALLS {
            self.calls.pop_front();
        }
        self.calls.push_back(Box::pin(call));
    }

    /// Gives up all calls.
    pub(super) fn clear(&mut self) {
        self.calls.clear();
    }

    /// Waits for the next call to end. Never completes while there are no calls.
    pub(super) async fn next(&mut self) -> EndedCall<T> {
        poll_fn(|cx| self.poll_next(cx)).await
    }

    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<EndedCall<T>> {
        let newest = self.calls.len().saturating_sub(1);
        for index in 0..self.calls.len() {
            if let Poll::Ready(result) = self.calls[index].as_mut().poll(cx) {
                self.calls.remove(index);
                return Poll::Ready(EndedCall { result, is_newest: index == newest });
            }
        }
        Poll::Pending
    }
}
