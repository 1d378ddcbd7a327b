//! Ends the process when the control thread panics.
//!
//! A panic on a traffic thread fails one request. One on the control thread ends a controller, or all of them, while the
//! rest of the process would go on with the state that was published last: ready, and ever more out of date. The process
//! ends instead, so that it is started again.

use crate::base::logging;
use log::error;
use std::panic::PanicHookInfo;

/// Name of the control thread.
pub const CONTROL_THREAD: &str = "control";

/// Exit code of a process that ends because its control thread has panicked.
pub const EXIT_PANIC: i32 = 101;

/// From now on, a panic on the thread named [`CONTROL_THREAD`], also of a task that runs there, ends the process.
pub fn end_with_control_thread() {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        if std::thread::current().name() == Some(CONTROL_THREAD) {
            end(panic);
        }
    }));
}

fn end(panic: &PanicHookInfo<'_>) -> ! {
    error!(panic = panic.to_string().as_str(); "the control thread has failed; the daemon ends, to be started again");
    logging::flush();
    std::process::exit(EXIT_PANIC);
}
