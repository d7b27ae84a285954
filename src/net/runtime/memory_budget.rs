//! The budget for bytes that the process buffers for its peers, so that slow ones can't exceed its memory limit.
//!
//! `memory_plan` divides the limit into a guaranteed part for each connection and this budget, among others. Whoever
//! buffers more than the guaranteed part reserves the bytes first and is not read from until it has them. What the
//! allocator has handed out is compared with the limit as well: while it is reached, nothing new is let in.

use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;
use std::task::{ready, Context, Poll};

use bytes::Bytes;
use serde_json::{json, Value};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::PollSemaphore;

use crate::net::runtime::heap;
use crate::net::runtime::metrics::COUNTERS;

/// Bytes of a head that are read without a reservation. The initial buffer of the HTTP library holds as many.
const GUARANTEED_HEAD_BYTES: usize = 8 << 10;
/// Bytes that a longer head reserves: the buffer of the HTTP library doubles until it holds 64 KiB and a further read.
const LONG_HEAD_BYTES: usize = 112 << 10;
/// Bodies up to this size need no reservation.
pub const GUARANTEED_BODY_BYTES: usize = 1 << 10;

/// A number of bytes that may be reserved, shared by all connections of one direction.
#[derive(Debug)]
pub struct BytePool {
    capacity: usize,
    available: Arc<Semaphore>,
    /// Number of callers that wait for a reservation.
    waiting: AtomicUsize,
}

impl BytePool {
    /// Creates a pool of `capacity` bytes.
    pub fn new(capacity: usize) -> Arc<BytePool> {
        let available = Arc::new(Semaphore::new(capacity));
        Arc::new(BytePool { capacity, available, waiting: AtomicUsize::new(0) })
    }

    /// Reserves `bytes` as soon as they are available; at most the pool's capacity. Callers are served in turn.
    pub async fn reserve(self: &Arc<Self>, bytes: usize) -> Reservation {
        let bytes = bytes.min(self.capacity) as u32;
        if let Ok(permit) = self.available.clone().try_acquire_many_owned(bytes) {
            return self.reservation(permit);
        }
        let waiter = Waiter::new(self.clone());
        let permit = self.available.clone().acquire_many_owned(bytes).await;
        drop(waiter);
        self.reservation(permit.expect("the semaphore is never closed"))
    }

    /// Number of callers that wait for a reservation.
    pub fn waiting(&self) -> usize {
        self.waiting.load(Relaxed)
    }

    /// Number of bytes that may be reserved.
    #[cfg(test)]
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Number of bytes that are reserved.
    pub fn reserved(&self) -> usize {
        self.capacity - self.available.available_permits()
    }

    fn json(&self) -> Value {
        json!({"reserved": self.reserved(), "waiting": self.waiting()})
    }

    fn reservation(&self, permit: OwnedSemaphorePermit) -> Reservation {
        COUNTERS.memory_reserved_most.raise_to(self.reserved() as u64);
        Reservation { _permit: permit }
    }
}

/// Counts a caller that waits for a reservation, until it is dropped.
#[derive(Debug)]
struct Waiter(Arc<BytePool>);

impl Waiter {
    fn new(pool: Arc<BytePool>) -> Waiter {
        COUNTERS.memory_waits.increment();
        pool.waiting.fetch_add(1, Relaxed);
        Waiter(pool)
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Relaxed);
    }
}

/// Reserved bytes, which are released when this value is dropped.
#[derive(Debug)]
pub struct Reservation {
    _permit: OwnedSemaphorePermit,
}

impl Reservation {
    /// Returns `bytes` with this reservation, which is released together with the last reference to them.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(ReservedBytes { bytes, _reservation: self })
    }
}

struct ReservedBytes {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The budget of the process. Each direction has its own half: requests that wait for their responses must not hold the
/// bytes that these need.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    /// For heads and bodies of clients' requests.
    pub requests: Arc<BytePool>,
    /// For heads and bodies of backends' responses.
    pub responses: Arc<BytePool>,
    /// Bytes that may be allocated, reserved ones included.
    heap_limit: usize,
}

impl MemoryBudget {
    /// Creates a budget of `pool` bytes for each direction, for a process that may allocate `heap_limit` bytes.
    pub fn new(pool: usize, heap_limit: usize) -> MemoryBudget {
        let (requests, responses) = (BytePool::new(pool), BytePool::new(pool));
        MemoryBudget { requests, responses, heap_limit }
    }

    /// Whether as much is allocated as may be, so that no further connection or request is let in.
    pub fn is_heap_full(&self) -> bool {
        heap::allocated() >= self.heap_limit
    }

    /// Whether a caller waits for a reservation, or nothing new is let in.
    pub fn is_used_up(&self) -> bool {
        self.requests.waiting() > 0 || self.responses.waiting() > 0 || self.is_heap_full()
    }

    /// Returns the bytes reserved and the number of waiting callers, by direction, the bytes allocated and their limit,
    /// and the size of the process (0 where the system does not tell), as JSON.
    pub fn json(&self) -> Value {
        json!({
            "requests": self.requests.json(),
            "responses": self.responses.json(),
            "allocated": heap::allocated(),
            "allocated_limit": self.heap_limit,
            "resident": heap::resident(),
        })
    }
}

/// Bounds the bytes of one head that the HTTP library buffers.
#[derive(Debug)]
pub struct HeadAllowance {
    pool: Arc<BytePool>,
    semaphore: PollSemaphore,
    waiter: Option<Waiter>,
    read: usize,
    reservation: Option<Reservation>,
}

impl HeadAllowance {
    /// Creates the allowance of a connection that reserves from `pool`.
    pub fn new(pool: Arc<BytePool>) -> HeadAllowance {
        let semaphore = PollSemaphore::new(pool.available.clone());
        HeadAllowance { pool, semaphore, waiter: None, read: 0, reservation: None }
    }

    /// Whether the head has a reservation.
    pub fn has_reservation(&self) -> bool {
        self.reservation.is_some()
    }

    /// Returns how many bytes of the head may be read now. Waits for a reservation if the guaranteed part is used up.
    pub fn poll_allowed(&mut self, cx: &mut Context<'_>) -> Poll<usize> {
        if self.reservation.is_some() {
            return Poll::Ready(usize::MAX);
        }
        if self.read < GUARANTEED_HEAD_BYTES {
            return Poll::Ready(GUARANTEED_HEAD_BYTES - self.read);
        }
        if self.waiter.is_none() && self.semaphore.available_permits() < LONG_HEAD_BYTES {
            self.waiter = Some(Waiter::new(self.pool.clone()));
        }
        let bytes = LONG_HEAD_BYTES.min(self.pool.capacity) as u32;
        let permit = ready!(self.semaphore.poll_acquire_many(cx, bytes));
        self.waiter = None;
        self.reservation = Some(self.pool.reservation(permit.expect("the semaphore is never closed")));
        Poll::Ready(usize::MAX)
    }

    /// Records bytes of the head that were read.
    pub fn record_read(&mut self, bytes: usize) {
        self.read += bytes;
    }

    /// Prepares for the next head, and releases the reservation of this one.
    pub fn reset(&mut self) {
        self.read = 0;
        self.reservation = None;
    }
}

#[cfg(test)]
mod tests;
