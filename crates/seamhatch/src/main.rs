//! The operators' client; everything is in the library.

use std::process::ExitCode;

fn main() -> ExitCode {
    seamhatch::run(std::env::args_os().skip(1).collect())
}
