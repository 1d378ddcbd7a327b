//! The end of a process must not wait for its control thread.

use seamhatchd::control::{ControlHandle, DrainTarget};
use std::time::Duration;

/// Much longer than either may take.
const GENEROUS: Duration = Duration::from_secs(5);

#[tokio::test]
async fn a_stop_goes_on_when_the_control_thread_does_not_answer() {
    // Kept and not read, as by a thread that is held up.
    let (control, _events) = ControlHandle::new();
    let told = tokio::time::timeout(GENEROUS, control.drain(DrainTarget::Own)).await;
    assert_eq!(told, Ok(false), "the drain");
    let left = tokio::time::timeout(GENEROUS, control.leave()).await;
    assert_eq!(left, Ok(()), "the farewell");
}
