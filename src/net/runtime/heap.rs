//! Counts the bytes that the allocator has handed out, so that the memory budget can be compared with what is held.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};

/// Bytes that are allocated now.
static ALLOCATED: AtomicUsize = AtomicUsize::new(0);

/// The system's allocator, which counts the bytes that it hands out.
pub struct CountingAllocator;

/// Returns the number of bytes that are allocated now.
pub fn allocated() -> usize {
    ALLOCATED.load(Relaxed)
}

/// Returns the size of the process in memory, in bytes; 0 where the system does not tell it.
pub fn resident() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let size_kb =
        status.lines().find_map(|line| line.strip_prefix("VmRSS:")?.split_whitespace().next()?.parse().ok());
    size_kb.map_or(0, |size_kb: usize| size_kb << 10)
}

// SAFETY: all calls are passed on to the system's allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED.fetch_add(layout.size(), Relaxed);
        // SAFETY: the caller keeps the contract of `GlobalAlloc::alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn alloc_zeroed(&self, layout: Layout) -> *mut u8 {
        ALLOCATED.fetch_add(layout.size(), Relaxed);
        // SAFETY: the caller keeps the contract of `GlobalAlloc::alloc_zeroed`.
        unsafe { System.alloc_zeroed(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        ALLOCATED.fetch_sub(layout.size(), Relaxed);
        // SAFETY: the caller keeps the contract of `GlobalAlloc::dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }

    unsafe fn realloc(&self, pointer: *mut u8, layout: Layout, size: usize) -> *mut u8 {
        ALLOCATED.fetch_add(size, Relaxed);
        ALLOCATED.fetch_sub(layout.size(), Relaxed);
        // SAFETY: the caller keeps the contract of `GlobalAlloc::realloc`.
        unsafe { System.realloc(pointer, layout, size) }
    }
}
