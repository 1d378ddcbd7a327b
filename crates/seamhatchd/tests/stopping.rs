//! The stop of a daemon must not wait for its control thread.

use seamhatchd::control::{ControlHandle, DrainTarget};
use std::time::Duration;

/// Far longer than the 0.4 s for which each call waits for the control thread.
const TEST_TIMEOUT: Duration = Duration::from_secs(5);

#[tokio::test]
async fn a_stop_proceeds_when_the_control_thread_does_not_answer() {
    // The event channel stays open and is not read, as by a control thread that is stuck.
    let (control, _events) = ControlHandle::new();
    let drained = tokio::time::timeout(TEST_TIMEOUT, control.drain(DrainTarget::Own)).await;
    assert_eq!(drained, Ok(false), "drain");
    let left = tokio::time::timeout(TEST_TIMEOUT, control.leave()).await;
    assert_eq!(left, Ok(()), "leave");
}
