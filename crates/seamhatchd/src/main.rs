//! The binary of the daemon; all code is in the library.

use std::process::ExitCode;

fn main() -> ExitCode {
    seamhatchd::run(std::env::args_os().skip(1).collect())
}
