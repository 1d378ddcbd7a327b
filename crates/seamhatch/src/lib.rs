//! The operators' client of seamhatch: checks, submits and explains policies,
//! and shows and drains members, through any daemon's admin listener.

pub mod arguments;
mod client;
mod commands;
mod error;
mod output;
pub mod trace;

pub use arguments::HELP;
pub use error::CliError;

use arguments::Invocation;
use std::ffi::OsString;
use std::process::ExitCode;

/// The client's program.
pub fn run(arguments: Vec<OsString>) -> ExitCode {
    match execute(arguments) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("seamhatch: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn execute(arguments: Vec<OsString>) -> Result<String, CliError> {
    let invocation = arguments::parse(arguments)?;
    let command = match invocation {
        Invocation::Help(text) => return Ok(text.to_owned()),
        Invocation::Version => return Ok(format!("seamhatch {}\n", env!("CARGO_PKG_VERSION"))),
        Invocation::Run(command) => command,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| CliError::Internal { detail: error.to_string() })?;
    runtime.block_on(commands::run(command))
}
