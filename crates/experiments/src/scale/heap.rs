//! Heap bytes, if the program uses the counting allocator; 0 otherwise.

use stats_alloc::INSTRUMENTED_SYSTEM;

/// Bytes allocated now; always 0 if the program uses another allocator.
pub fn allocated_bytes() -> u64 {
    let all = INSTRUMENTED_SYSTEM.stats();
    // Both counters include reallocated bytes.
    all.bytes_allocated.saturating_sub(all.bytes_deallocated) as u64
}

/// Calls `make`; returns its result and the heap bytes that the result holds.
pub fn measure<T>(make: impl FnOnce() -> T) -> (T, f64) {
    let before = allocated_bytes();
    let made = make();
    (made, allocated_bytes().saturating_sub(before) as f64)
}
