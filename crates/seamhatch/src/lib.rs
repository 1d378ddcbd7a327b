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

use arguments::CommandLine;
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
    let command_line = arguments::parse(arguments)?;
    let command = match command_line {
        CommandLine::Help(text) => return Ok(text.to_owned()),
        CommandLine::Version => return Ok(format!("seamhatch {}\n", env!("CARGO_PKG_VERSION"))),
        CommandLine::Run(command) => command,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| CliError::Internal { detail: error.to_string() })?;
    runtime.block_on(commands::run(command))
}
