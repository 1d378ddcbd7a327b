//! What a command line asks for, after it has been read.

use seamhatch_core::identity::{Address, RequestDigest};
use std::path::PathBuf;
use std::time::Duration;

/// What the command line asks for.
#[derive(Debug)]
pub enum CommandLine {
    /// Print a help text.
    Help(&'static str),
    /// Print the version.
    Version,
    /// Carry out a command.
    Run(Command),
}

/// A command with what all commands have.
#[derive(Debug)]
pub struct Command {
    /// Admin addresses, tried in order.
    pub daemons: Vec<Address>,
    /// Print JSON.
    pub json: bool,
    /// Longest time.
    pub timeout: Duration,
    /// What to do.
    pub subcommand: Subcommand,
}

/// What to do.
#[derive(Debug)]
pub enum Subcommand {
    /// Check a file.
    Check {
        /// The file, `-` for standard input.
        file: PathBuf,
    },
    /// Submit a file.
    Submit(SubmitOptions),
    /// Show the state.
    Status,
    /// Show the latest submissions.
    History,
    /// Show what the policy decides.
    Explain(ExplainOptions),
    /// Drain a member.
    Drain {
        /// Its gossip address; the asked daemon if none.
        member: Option<Address>,
        /// Wait until it has nothing in progress.
        wait: bool,
    },
    /// Show requests that crash servers.
    Crashes,
    /// Forget what speaks against one.
    ClearSuspect {
        /// Its digest.
        digest: RequestDigest,
    },
    /// Show a request's path in logs.
    Trace(TraceOptions),
}

/// Options of `trace`.
#[derive(Debug)]
pub struct TraceOptions {
    /// Id of the request.
    pub request: String,
    /// Logs, one for each daemon; standard input if none.
    pub files: Vec<PathBuf>,
}

/// Options of `submit`.
#[derive(Debug)]
pub struct SubmitOptions {
    /// The file, `-` for standard input.
    pub file: PathBuf,
    /// Refuse unless this generation is in force.
    pub expect_generation: Option<u64>,
    /// Who submits.
    pub author: String,
    /// Id of the submission; a new one if none.
    pub id: Option<u64>,
    /// Wait until it is in force everywhere.
    pub wait: bool,
}

/// Options of `explain`.
#[derive(Debug)]
pub struct ExplainOptions {
    /// HTTP method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Header fields, names in lower case.
    pub headers: Vec<(String, String)>,
    /// Name of the tenant that sends it.
    pub tenant: Option<String>,
}
