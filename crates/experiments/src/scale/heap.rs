//! Bytes on the heap, counted where the program's allocator counts; elsewhere nothing is told.

use stats_alloc::INSTRUMENTED_SYSTEM;

/// Bytes that are held now; 0 for ever where another allocator serves the program.
pub fn held() -> u64 {
    let all = INSTRUMENTED_SYSTEM.stats();
    // What is reallocated counts among both already.
    all.bytes_allocated.saturating_sub(all.bytes_deallocated) as u64
}

/// What `make` makes, and the bytes that it holds.
pub fn of<T>(make: impl FnOnce() -> T) -> (T, f64) {
    let before = held();
    let made = make();
    (made, held().saturating_sub(before) as f64)
}
