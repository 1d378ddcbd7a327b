//! Locking of state shared by several threads.
//!
//! The daemon's locks are held only for short sections that don't block. A thread that panics while holding a lock leaves the state
//! partially modified, so every later user of the lock panics too instead of making decisions on inconsistent state.

use std::sync::{Mutex, MutexGuard};

/// Locks a mutex.
///
/// # Panics
/// If another thread panicked while holding the lock.
#[track_caller]
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("a thread panicked while it held this lock")
}
