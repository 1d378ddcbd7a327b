//! What becomes of a process one of whose threads panics: the test starts itself again as that process.

use seamhatchd::base::panics::{CONTROL_THREAD, EXIT_PANIC, end_with_control_thread};
use std::process::{Command, Output};

/// Tells the started process which thread panics, and how.
const THREAD: &str = "SEAMHATCH_TEST_THREAD";
/// Exit code of a process that has gone on after the panic.
const WENT_ON: i32 = 7;

fn run(thread: &str) -> Output {
    let program = std::env::current_exe().expect("is a file");
    let mut command = Command::new(program);
    command.args(["--exact", "panics_as_told", "--nocapture"]).env(THREAD, thread);
    command.output().expect("starts")
}

/// Not a test by itself: the process that the test below starts.
#[test]
fn panics_as_told() {
    let Ok(told) = std::env::var(THREAD) else { return };
    end_with_control_thread();
    let (name, is_task) = told.split_once(' ').expect("thread and kind");
    let is_task = is_task == "task";
    let thread = std::thread::Builder::new().name(name.to_owned()).spawn(move || {
        if !is_task {
            panic!("told to");
        }
        let runtime = tokio::runtime::Builder::new_current_thread().build().expect("builds");
        runtime.block_on(async { drop(tokio::spawn(async { panic!("told to") }).await) });
    });
    drop(thread.expect("starts").join());
    std::process::exit(WENT_ON);
}

/// Guards against a daemon that goes on without its controllers: ready, and following nothing any more.
#[test]
fn a_panic_of_the_control_thread_ends_the_process_and_one_of_another_does_not() {
    let cases = [
        (format!("{CONTROL_THREAD} thread"), EXIT_PANIC),
        (format!("{CONTROL_THREAD} task"), EXIT_PANIC),
        ("traffic thread".to_owned(), WENT_ON),
        ("traffic task".to_owned(), WENT_ON),
    ];
    for (told, code) in cases {
        let output = run(&told);
        assert_eq!(output.status.code(), Some(code), "{told}: {}", String::from_utf8_lossy(&output.stderr));
    }
}
