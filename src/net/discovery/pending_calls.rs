//! Calls to discovery that are not answered yet.

use std::collections::VecDeque;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::task::{Context, Poll};

/// Calls kept beside the newest one at most: by then the oldest waits for about as long as a change may be late.
const MAX_LATE_CALLS: usize = 3;

/// A call that ended.
pub(super) struct EndedCall<T> {
    pub(super) result: T,
    /// No call was made after it.
    pub(super) is_newest: bool,
}

/// The calls that wait for an answer, the oldest first. A late one is kept while further ones are made: where calls
/// wait in turn at discovery, each that is given up and made anew goes to the end of the queue.
pub(super) struct PendingCalls<T> {
    calls: VecDeque<Pin<Box<dyn Future<Output = T> + Send>>>,
}

impl<T> PendingCalls<T> {
    pub(super) fn new() -> PendingCalls<T> {
        PendingCalls { calls: VecDeque::new() }
    }

    /// Adds a call, and gives up the oldest where there are too many.
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

    /// The call that ends next; never ready while there are none.
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
