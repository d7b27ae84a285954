//! Tests of the division of the memory limit.

use super::*;

const MIB: usize = 1 << 20;

/// Returns the connections that a limit of descriptors allows, as the configuration divides them.
fn by_descriptors(sockets: usize) -> ConnectionLimits {
    let shared = sockets - 40;
    ConnectionLimits { downstream: shared - shared / 4, upstream: shared / 4 }
}

#[test]
fn all_parts_stay_within_the_limit() {
    for limit in [16 * MIB, 24 * MIB, 32 * MIB, 64 * MIB, 192 * MIB] {
        for sockets in [96, 256, 1_024] {
            let plan = MemoryPlan::new(limit, by_descriptors(sockets));
            let total = PROGRAM_BYTES
                + ENDPOINT_LIST_BYTES
                + plan.customers * CUSTOMER_BYTES
                + plan.connections.bytes()
                + plan.budget.requests.capacity()
                + plan.budget.responses.capacity();
            assert!(total <= limit, "{total} bytes of {limit} with {sockets} descriptors");
        }
    }
}

#[test]
fn connections_are_reduced_only_where_they_do_not_fit() {
    let all = by_descriptors(1_024);
    assert_eq!(MemoryPlan::new(64 * MIB, all).connections, all);
    let reduced = MemoryPlan::new(16 * MIB, all).connections;
    assert!(reduced.downstream < all.downstream / 2 && reduced.upstream < all.upstream / 2, "{reduced:?}");
    let few = by_descriptors(96);
    assert_eq!(MemoryPlan::new(16 * MIB, few).connections, few);
}
