//! Divides the memory limit of the process among everything whose size depends on peers, names or time.
//!
//! `docs/design/0009-memory.md` lists these places. The parts below add up to the limit at most. Where the descriptors
//! would allow more connections than fit, fewer are open at a time.

use crate::info;
use crate::net::config::Config;
use crate::net::runtime::memory_budget::MemoryBudget;

/// Bytes that the program needs before it has connections, customers or a list of endpoints.
pub const PROGRAM_BYTES: usize = 6 << 20;
/// Bytes for an endpoint list of 3,200 backends, and for reading one.
pub const ENDPOINT_LIST_BYTES: usize = 3 << 20;
/// Bytes that a downstream connection holds besides its reservations: its task, its buffers and those of the HTTP
/// library, its request in the control actor and the decisions, and a body of [`GUARANTEED_BODY_BYTES`].
///
/// [`GUARANTEED_BODY_BYTES`]: crate::net::runtime::memory_budget::GUARANTEED_BODY_BYTES
pub const DOWNSTREAM_CONNECTION_BYTES: usize = 24 << 10;
/// Bytes that the HTTP library allocates beyond them for each connection but does not touch: half of its write buffer.
const UNTOUCHED_BYTES: usize = 4 << 10;
/// Bytes that a connection to a backend holds besides its reservations, with an attempt.
pub const UPSTREAM_CONNECTION_BYTES: usize = 24 << 10;
/// Bytes of a customer in the decisions, with its timers.
pub const CUSTOMER_BYTES: usize = 700;
/// Minimum budget of each direction: for some of the largest heads and streamed bodies.
const MIN_POOL_BYTES: usize = 1 << 20;
/// Divisor of the memory for connections, customers and budgets that gives that for customers.
const CUSTOMERS_DIVISOR: usize = 8;
/// Maximum number of customers, however much memory there is.
const MAX_CUSTOMERS: usize = 16_384;

/// How many connections there may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    pub downstream: usize,
    pub upstream: usize,
}

impl ConnectionLimits {
    fn bytes(self) -> usize {
        self.downstream * DOWNSTREAM_CONNECTION_BYTES + self.upstream * UPSTREAM_CONNECTION_BYTES
    }

    /// Returns the limits reduced in the same proportion to at most `bytes`.
    fn reduced_to(self, bytes: usize) -> ConnectionLimits {
        let needed = self.bytes().max(1);
        if needed <= bytes {
            return self;
        }
        let reduced = |count: usize| (count * (bytes >> 10) / needed.div_ceil(1 << 10)).max(1);
        ConnectionLimits { downstream: reduced(self.downstream), upstream: reduced(self.upstream) }
    }
}

/// The parts of the memory limit.
#[derive(Clone, Debug)]
pub struct MemoryPlan {
    pub connections: ConnectionLimits,
    /// Maximum number of customers in the decisions.
    pub customers: usize,
    pub budget: MemoryBudget,
}

impl MemoryPlan {
    /// Divides the limit of a configuration, and logs where fewer connections fit it than the descriptors allow.
    pub fn of_config(config: &Config) -> MemoryPlan {
        let (downstream, upstream) = (config.max_downstream_connections, config.upstream_sockets);
        let plan = MemoryPlan::new(config.memory_bytes, ConnectionLimits { downstream, upstream });
        let allowed = plan.connections;
        if allowed.downstream < downstream || allowed.upstream < upstream {
            info!(
                "memory: limits.memory_mb allows {} connections of clients and {} to backends at a time, \
                 limits.sockets {downstream} and {upstream}",
                allowed.downstream, allowed.upstream,
            );
        }
        plan
    }

    /// Divides `limit` bytes. `by_descriptors` is how many connections the descriptors allow.
    pub fn new(limit: usize, by_descriptors: ConnectionLimits) -> MemoryPlan {
        let available = limit.saturating_sub(PROGRAM_BYTES + ENDPOINT_LIST_BYTES);
        let customers = (available / CUSTOMERS_DIVISOR / CUSTOMER_BYTES).clamp(1, MAX_CUSTOMERS);
        let available = available.saturating_sub(customers * CUSTOMER_BYTES);
        let connections = by_descriptors.reduced_to(available.saturating_sub(2 * MIN_POOL_BYTES));
        let pool = (available.saturating_sub(connections.bytes()) / 2).max(MIN_POOL_BYTES);
        let untouched = (connections.downstream + connections.upstream) * UNTOUCHED_BYTES;
        let budget = MemoryBudget::new(pool, limit.saturating_sub(PROGRAM_BYTES) + untouched);
        MemoryPlan { connections, customers, budget }
    }
}

#[cfg(test)]
mod tests;
