//! The commands: each asks one daemon, except `check` and `trace`, which work on files.
//!
//! A submission keeps its id over all attempts, so that repeating it after a lost answer can't submit twice.

use crate::arguments::{Command, ExplainOptions, Subcommand, SubmitOptions};
use crate::client::{AdminClient, AdminFailure, AdminReply, DaemonProblem};
use crate::error::CliError;
use crate::output;
use crate::trace;
use seamhatch_core::identity::Address;
use seamhatch_core::membership::{Lifecycle, Liveness};
use seamhatch_policy::{Configuration, StoredConfiguration};
use seamhatchd::control::StatusReport;
use seamhatchd::server::crashes::CrashReport;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io::{IsTerminal, Read};
use std::path::Path;
use std::time::Duration;
use tokio::time::Instant;

/// Pause between two requests while waiting for the deployment. Chosen, not measured.
const WAIT_POLL: Duration = Duration::from_millis(200);

/// Body of a submission.
#[derive(Debug, Serialize)]
struct SubmissionBody<'a> {
    id: u64,
    author: &'a str,
    document: &'a str,
    expect_generation: Option<u64>,
}

/// Answer to an accepted submission.
#[derive(Debug, Serialize, Deserialize)]
pub struct Accepted {
    /// The generation it made.
    pub generation: u64,
}

/// What the policy decides for a request.
#[derive(Debug, Serialize, Deserialize)]
pub struct Explanation {
    /// Configuration that decided.
    pub generation: u64,
    /// Service that the path leads to.
    pub service: Option<String>,
    /// Priority class.
    pub class: String,
    /// Retry tokens.
    pub retries: u32,
    /// Deadline in milliseconds.
    pub deadline_ms: u64,
    /// Whether it may run again.
    pub repeatable: bool,
    /// Policy functions that failed.
    pub failed_functions: Vec<String>,
}

/// Carries out a command; returns what to print.
///
/// # Errors
/// [`CliError`].
pub async fn run(command: Command) -> Result<String, CliError> {
    let Command { daemons, json, timeout, subcommand } = command;
    let deadline = Instant::now() + timeout;
    match subcommand {
        Subcommand::Check { file } => check(&file),
        Subcommand::Submit(options) => submit(daemons, json, deadline, options).await,
        Subcommand::Status => {
            let report: StatusReport = AdminClient::new(daemons)?.get("/v1/status").await?;
            Ok(output::show(json, &report, output::status))
        }
        Subcommand::History => {
            let stored: StoredConfiguration = AdminClient::new(daemons)?.get("/v1/configuration").await?;
            Ok(output::show(json, &stored.recent, |recent| output::history(recent)))
        }
        Subcommand::Crashes => {
            let report: CrashReport = AdminClient::new(daemons)?.get("/v1/crashes").await?;
            Ok(output::show(json, &report, output::crashes))
        }
        Subcommand::ClearSuspect { digest } => {
            let body = serde_json::json!({ "digest": digest.to_string() });
            let _: serde_json::Value = AdminClient::new(daemons)?.post("/v1/crashes/clear", &body).await?;
            Ok(format!("{digest} is cleared; all daemons learn it within a second\n"))
        }
        Subcommand::Explain(options) => explain(daemons, json, options).await,
        Subcommand::Trace(options) => {
            let found = trace::trace(&options)?;
            Ok(output::show(json, &found, trace::to_text))
        }
        Subcommand::Drain { member, wait } => drain(daemons, deadline, member, wait).await,
    }
}

fn read(file: &Path) -> Result<String, CliError> {
    let unreadable = |source| CliError::Unreadable { path: file.to_owned(), source };
    if file == Path::new("-") {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).map_err(unreadable)?;
        return Ok(text);
    }
    std::fs::read_to_string(file).map_err(unreadable)
}

fn compile(document: &str) -> Result<Configuration, CliError> {
    Configuration::compile(document).map_err(|error| CliError::Refused { detail: error.to_string() })
}

fn check(file: &Path) -> Result<String, CliError> {
    let configuration = compile(&read(file)?)?;
    let services: Vec<&str> = configuration.services().collect();
    Ok(format!("the configuration is valid; services: {}\n", services.join(", ")))
}

async fn submit(
    daemons: Vec<Address>,
    json: bool,
    deadline: Instant,
    options: SubmitOptions,
) -> Result<String, CliError> {
    let document = read(&options.file)?;
    compile(&document)?;
    let id = options.id.unwrap_or_else(rand::random);
    let client = AdminClient::new(daemons)?;
    let mut body = SubmissionBody {
        id,
        author: &options.author,
        document: &document,
        expect_generation: options.expect_generation,
    };
    let accepted = send_until_known(&client, deadline, &mut body).await?;
    if options.wait {
        wait_until_in_force(&client, deadline, accepted.generation).await?;
    }
    Ok(output::show(json, &accepted, |accepted| {
        let place = if options.wait { "in force at every live member" } else { "accepted" };
        format!("generation {} {place}\n", accepted.generation)
    }))
}

/// Sends a submission, and again with the same id while its result is unknown.
async fn send_until_known(
    client: &AdminClient,
    deadline: Instant,
    body: &mut SubmissionBody<'_>,
) -> Result<Accepted, CliError> {
    let mut sent = false;
    loop {
        let detail = match client.try_post("/v1/submissions", body).await {
            Ok(AdminReply::Done(accepted)) => return Ok(accepted),
            Ok(AdminReply::Problem(problem)) if problem.kind == "unknown" => {
                sent = true;
                // The write was based on this one: a repeat must not be based on another.
                body.expect_generation = problem.generation.or(body.expect_generation);
                problem.detail
            }
            Ok(AdminReply::Problem(problem)) if problem.kind == "unavailable" => problem.detail,
            Ok(AdminReply::Problem(problem)) => return Err(refusal(problem)),
            Err(AdminFailure::Lost(detail)) => {
                sent = true;
                detail
            }
            Err(AdminFailure::NotSent(detail)) => detail,
        };
        if Instant::now() >= deadline {
            return Err(undecided(sent, body.id, &detail));
        }
        tokio::time::sleep(WAIT_POLL).await;
    }
}

fn undecided(sent: bool, id: u64, detail: &str) -> CliError {
    if sent {
        let detail = format!(
            "it is not known whether the submission was accepted ({detail}); \
             run the same command with --id {id:016x} to find out"
        );
        CliError::UnknownOutcome { detail }
    } else {
        CliError::Unreachable { detail: format!("nothing was submitted ({detail}); try again later") }
    }
}

fn refusal(problem: DaemonProblem) -> CliError {
    match problem.kind.as_str() {
        "conflict" => CliError::Conflict { detail: problem.detail },
        _ => CliError::Refused { detail: problem.detail },
    }
}

async fn wait_until_in_force(
    client: &AdminClient,
    deadline: Instant,
    generation: u64,
) -> Result<(), CliError> {
    let show_progress = std::io::stderr().is_terminal();
    loop {
        let report: StatusReport = client.get("/v1/status").await?;
        let live = report
            .members
            .iter()
            .filter(|member| member.liveness != Liveness::Dead && member.lifecycle != Lifecycle::Left);
        let (behind, total) = live.fold((0, 0), |(behind, total), member| {
            let in_force = member.generation.is_some_and(|held| held >= generation);
            (behind + usize::from(!in_force), total + 1)
        });
        if show_progress {
            eprint!("\rgeneration {generation}: in force at {} of {total} members ", total - behind);
        }
        if behind == 0 {
            if show_progress {
                eprintln!();
            }
            return Ok(());
        }
        if Instant::now() >= deadline {
            let detail = format!(
                "generation {generation} is accepted, but {behind} of {total} members do not show it yet; \
                 see `seamhatch status`"
            );
            return Err(CliError::TimedOut { detail });
        }
        tokio::time::sleep(WAIT_POLL).await;
    }
}

async fn explain(daemons: Vec<Address>, json: bool, options: ExplainOptions) -> Result<String, CliError> {
    let headers: BTreeMap<String, String> = options.headers.into_iter().collect();
    let body = serde_json::json!({
        "method": options.method, "path": options.path, "headers": headers, "tenant": options.tenant,
    });
    let explanation: Explanation = AdminClient::new(daemons)?.post("/v1/explain", &body).await?;
    Ok(output::show(json, &explanation, output::explanation))
}

async fn drain(
    daemons: Vec<Address>,
    deadline: Instant,
    member: Option<Address>,
    wait: bool,
) -> Result<String, CliError> {
    let client = AdminClient::new(daemons)?;
    let body = serde_json::json!({ "member": member });
    let _: serde_json::Value = client.post("/v1/drain", &body).await?;
    if !wait {
        return Ok("draining\n".to_owned());
    }
    loop {
        let report: StatusReport = client.get("/v1/status").await?;
        if report.draining && report.in_flight == 0 {
            return Ok("drained: nothing is in progress\n".to_owned());
        }
        if Instant::now() >= deadline {
            let detail = format!("{} requests are still in progress; wait longer", report.in_flight);
            return Err(CliError::TimedOut { detail });
        }
        tokio::time::sleep(WAIT_POLL).await;
    }
}
