//! Reading the command line with `pico-args`: flags of the whole client first, then the subcommand and its own.

mod command;
mod help;

pub use command::{Command, CommandLine, ExplainOptions, Subcommand, SubmitOptions, TraceOptions};
pub use help::HELP;

use crate::error::CliError;
use pico_args::Arguments;
use seamhatch_core::identity::Address;
use std::ffi::OsString;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

/// Longest time for a command, in seconds, where `--timeout` does not say. Chosen, not measured.
const DEFAULT_TIMEOUT_SECONDS: u64 = 30;

/// Reads the command line.
///
/// # Errors
/// [`CliError::Usage`].
pub fn parse(arguments: Vec<OsString>) -> Result<CommandLine, CliError> {
    let mut arguments = Arguments::from_vec(arguments);
    if arguments.contains(["-V", "--version"]) {
        return Ok(CommandLine::Version);
    }
    let help = arguments.contains(["-h", "--help"]);
    let json = arguments.contains("--json");
    let daemons = daemons(&mut arguments)?;
    let timeout = value::<u64>(&mut arguments, "--timeout")?.unwrap_or(DEFAULT_TIMEOUT_SECONDS);
    let name = arguments.subcommand().map_err(usage)?;
    let Some(name) = name else {
        return if help { Ok(CommandLine::Help(HELP)) } else { Err(usage("no command is given")) };
    };
    if help {
        let text = help::of_command(&name).ok_or_else(|| unknown_command(&name))?;
        return Ok(CommandLine::Help(text));
    }
    let subcommand = subcommand(&name, &mut arguments)?;
    if let Some(unknown) = arguments.finish().first() {
        return Err(usage(format!("unknown argument {:?}", unknown.to_string_lossy())));
    }
    Ok(CommandLine::Run(Command { daemons, json, timeout: Duration::from_secs(timeout), subcommand }))
}

fn subcommand(name: &str, arguments: &mut Arguments) -> Result<Subcommand, CliError> {
    match name {
        "check" => Ok(Subcommand::Check { file: file(arguments)? }),
        "submit" => submit(arguments).map(Subcommand::Submit),
        "status" => Ok(Subcommand::Status),
        "history" => Ok(Subcommand::History),
        "explain" => explain(arguments).map(Subcommand::Explain),
        "drain" => Ok(Subcommand::Drain {
            member: value(arguments, "--member")?,
            wait: arguments.contains("--wait"),
        }),
        "crashes" => crashes(arguments),
        "trace" => trace(arguments).map(Subcommand::Trace),
        _ => Err(unknown_command(name)),
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

fn crashes(arguments: &mut Arguments) -> Result<Subcommand, CliError> {
    // A word that isn't text ends the list; it is reported as an unknown argument.
    let words: Vec<String> =
        std::iter::from_fn(|| arguments.opt_free_from_str().ok().flatten()).take(2).collect();
    match words.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        [] => Ok(Subcommand::Crashes),
        ["clear", digest] => {
            let wrong = |_| usage(format!("{digest:?} is not a digest as `seamhatch crashes` shows it"));
            digest.parse().map(|digest| Subcommand::ClearSuspect { digest }).map_err(wrong)
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

fn unknown_command(name: &str) -> CliError {
    usage(format!("unknown command {name:?}"))
}

fn usage(detail: impl std::fmt::Display) -> CliError {
    CliError::Usage { detail: detail.to_string() }
}
