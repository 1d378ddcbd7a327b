//! Locking what several threads share.
//!
//! The daemon's locks are held for short pieces of code that don't wait. A thread that panics while it holds one leaves the state half
//! changed, so every later user of it panics too, instead of deciding on such a state.

use std::sync::{Mutex, MutexGuard};

/// Locks a mutex.
///
/// # Panics
/// Another thread panicked while it held the lock.
#[track_caller]
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("a thread panicked while it held this lock")
}
