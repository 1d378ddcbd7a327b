//! The operators' client: checks, submits and explains configurations, shows and drains members, and follows a request
//! through the logs of daemons.
//!
//! `arguments` reads the command line, `commands` carries it out, `client` talks to the admin listener of any daemon,
//! `output` prints for people. The client keeps no state between two runs. [`CliError`] has the exit codes that
//! pipelines branch on.

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
