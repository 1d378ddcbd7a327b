//! The command line.

use crate::error::CliError;
use pico_args::Arguments;
use seamhatch_core::identity::{Address, RequestDigest};
use std::ffi::OsString;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

/// Help of the whole client.
pub const HELP: &str = "\
seamhatch - operate a seamhatch deployment

USAGE: seamhatch [--daemon IP:PORT]... [--json] COMMAND

  check FILE      check a configuration without any daemon
  submit FILE     submit a configuration (- reads standard input)
  status          show members, configuration and witnesses
  history         show the latest accepted submissions
  explain         show what the policy decides for a request
  drain           let a member finish its work and take no more
  crashes         show requests that crash servers, or clear one
  trace ID        show a request's path in the logs of daemons

  --daemon IP:PORT  admin address of a daemon; may be repeated, the next is
                    tried when one can't be reached (or set SEAMHATCH_DAEMON)
  --json            print JSON
  --timeout SECONDS longest time for the command (default 30)
  COMMAND --help    options of a command

EXIT CODES
  0 done                     4 conflict: another submission came first
  1 the client failed        5 unknown whether the submission was accepted
  2 wrong command line       6 no daemon or store; nothing was changed
  3 refused                  7 a wait ran out of time
";

const CHECK_HELP: &str = "\
seamhatch check FILE

Checks a configuration offline: TOML, keys, ranges, routes; compiles the policy
and tries it on its samples. FILE may be - for standard input.
";

const SUBMIT_HELP: &str = "\
seamhatch submit FILE [--expect-generation N] [--author NAME] [--id HEX] [--wait]

Submits a configuration. Accepted means that it lies in the key-value service
and will be in force everywhere within seconds.

  --expect-generation N  refuse unless N is in force (for pipelines)
  --author NAME          who submits (default: $USER)
  --id HEX               finds out about an earlier submission, or repeats it
  --wait                 wait until it is in force at every live member
";

const STATUS_HELP: &str = "\
seamhatch status

Shows each member with its state and configuration generation, and the witnesses.
";

const HISTORY_HELP: &str = "\
seamhatch history

Shows the latest accepted submissions, the newest first.
";

const EXPLAIN_HELP: &str = "\
seamhatch explain --path PATH [--method METHOD] [--header NAME:VALUE]... [--tenant NAME]

Shows what the policy in force decides for a request.

  --tenant NAME  as sent with a key of this tenant (default: without a key)
";

const DRAIN_HELP: &str = "\
seamhatch drain [--member IP:PORT] [--wait]

Drains the member with this gossip address (default: the daemon that is asked):
it takes no new work and finishes what it has.

  --wait  wait until the daemon that is asked has nothing in progress
";

const CRASHES_HELP: &str = "\
seamhatch crashes [clear DIGEST]

Shows the requests that were at work when servers crashed and have not come to a good
end since, those with the most crashes first, as the daemon that is asked knows them;
and which of them are turned away, and for how long.

  clear DIGEST  forget what speaks against a request, at all daemons
";

const TRACE_HELP: &str = "\
seamhatch trace ID [FILE]...

Reads logs of daemons (JSON, one file for each, or standard input), and prints what
happened to the request with this id and to its calls, in order of time. Lines marked
with * tell what the daemons on its way came to believe meanwhile. The last line names
the cause. With --json: an object with `cause` and `lines`.

Example: seamhatch trace 9c41d07be2a35f68 /var/log/seamhatch/*.log
";

/// What the command line asks for.
#[derive(Debug)]
pub enum Invocation {
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
    pub action: Action,
}

/// What to do.
#[derive(Debug)]
pub enum Action {
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

/// Reads the command line.
///
/// # Errors
/// [`CliError::Usage`].
pub fn parse(arguments: Vec<OsString>) -> Result<Invocation, CliError> {
    let mut arguments = Arguments::from_vec(arguments);
    if arguments.contains(["-V", "--version"]) {
        return Ok(Invocation::Version);
    }
    let help = arguments.contains(["-h", "--help"]);
    let json = arguments.contains("--json");
    let daemons = daemons(&mut arguments)?;
    let timeout = value::<u64>(&mut arguments, "--timeout")?.unwrap_or(30);
    let name = arguments.subcommand().map_err(usage)?;
    let Some(name) = name else {
        return if help { Ok(Invocation::Help(HELP)) } else { Err(usage("no command is given")) };
    };
    if help {
        return help_of(&name).map(Invocation::Help);
    }
    let action = action(&name, &mut arguments)?;
    if let Some(unknown) = arguments.finish().first() {
        return Err(usage(format!("unknown argument {:?}", unknown.to_string_lossy())));
    }
    Ok(Invocation::Run(Command { daemons, json, timeout: Duration::from_secs(timeout), action }))
}

fn help_of(command: &str) -> Result<&'static str, CliError> {
    match command {
        "check" => Ok(CHECK_HELP),
        "submit" => Ok(SUBMIT_HELP),
        "status" => Ok(STATUS_HELP),
        "history" => Ok(HISTORY_HELP),
        "explain" => Ok(EXPLAIN_HELP),
        "drain" => Ok(DRAIN_HELP),
        "crashes" => Ok(CRASHES_HELP),
        "trace" => Ok(TRACE_HELP),
        _ => Err(usage(format!("unknown command {command:?}"))),
    }
}

fn action(name: &str, arguments: &mut Arguments) -> Result<Action, CliError> {
    match name {
        "check" => Ok(Action::Check { file: file(arguments)? }),
        "submit" => submit(arguments).map(Action::Submit),
        "status" => Ok(Action::Status),
        "history" => Ok(Action::History),
        "explain" => explain(arguments).map(Action::Explain),
        "drain" => {
            Ok(Action::Drain { member: value(arguments, "--member")?, wait: arguments.contains("--wait") })
        }
        "crashes" => crashes(arguments),
        "trace" => trace(arguments).map(Action::Trace),
        _ => Err(usage(format!("unknown command {name:?}"))),
    }
}

fn trace(arguments: &mut Arguments) -> Result<TraceOptions, CliError> {
    let request = arguments.free_from_str().map_err(|_| usage("trace needs the id of a request"))?;
    let mut files = Vec::new();
    while let Some(file) = arguments.opt_free_from_str::<String>().map_err(usage)? {
        files.push(PathBuf::from(file));
    }
    Ok(TraceOptions { request, files })
}

fn crashes(arguments: &mut Arguments) -> Result<Action, CliError> {
    let words: Vec<String> =
        std::iter::from_fn(|| arguments.opt_free_from_str().ok().flatten()).take(2).collect();
    match words.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        [] => Ok(Action::Crashes),
        ["clear", digest] => {
            let wrong = |_| usage(format!("{digest:?} is not a digest as `seamhatch crashes` shows it"));
            digest.parse().map(|digest| Action::ClearSuspect { digest }).map_err(wrong)
        }
        _ => Err(usage("crashes takes nothing, or `clear DIGEST`")),
    }
}

fn submit(arguments: &mut Arguments) -> Result<SubmitOptions, CliError> {
    let id: Option<String> = value(arguments, "--id")?;
    let parse_id = |text: String| {
        u64::from_str_radix(&text, 16)
            .map_err(|_| usage(format!("--id {text:?} is not a hexadecimal number")))
    };
    let default_author = || std::env::var("USER").unwrap_or_else(|_| "unknown".to_owned());
    Ok(SubmitOptions {
        expect_generation: value(arguments, "--expect-generation")?,
        author: value(arguments, "--author")?.unwrap_or_else(default_author),
        id: id.map(parse_id).transpose()?,
        wait: arguments.contains("--wait"),
        file: file(arguments)?,
    })
}

fn explain(arguments: &mut Arguments) -> Result<ExplainOptions, CliError> {
    let method: Option<String> = value(arguments, "--method")?;
    let path: Option<String> = value(arguments, "--path")?;
    let fields: Vec<String> = arguments.values_from_str("--header").map_err(usage)?;
    let split = |field: String| {
        let (name, text) = field
            .split_once(':')
            .ok_or_else(|| usage(format!("--header {field:?} is not of the form NAME:VALUE")))?;
        Ok((name.trim().to_ascii_lowercase(), text.trim().to_owned()))
    };
    Ok(ExplainOptions {
        method: method.unwrap_or_else(|| "GET".to_owned()),
        path: path.ok_or_else(|| usage("explain needs --path"))?,
        headers: fields.into_iter().map(split).collect::<Result<_, CliError>>()?,
        tenant: value(arguments, "--tenant")?,
    })
}

fn daemons(arguments: &mut Arguments) -> Result<Vec<Address>, CliError> {
    let given: Vec<Address> = arguments.values_from_str("--daemon").map_err(usage)?;
    if !given.is_empty() {
        return Ok(given);
    }
    let Ok(text) = std::env::var("SEAMHATCH_DAEMON") else { return Ok(Vec::new()) };
    let parse = |part: &str| {
        part.trim().parse().map_err(|_| usage(format!("SEAMHATCH_DAEMON holds {part:?}, not IP:PORT")))
    };
    text.split(',').filter(|part| !part.trim().is_empty()).map(parse).collect()
}

fn file(arguments: &mut Arguments) -> Result<PathBuf, CliError> {
    let path: Result<String, _> = arguments.free_from_str();
    path.map(PathBuf::from).map_err(|_| usage("the configuration file is missing (- for standard input)"))
}

fn value<T: FromStr>(arguments: &mut Arguments, flag: &'static str) -> Result<Option<T>, CliError>
where
    T::Err: std::fmt::Display,
{
    arguments.opt_value_from_str(flag).map_err(usage)
}

fn usage(detail: impl std::fmt::Display) -> CliError {
    CliError::Usage { detail: detail.to_string() }
}
