//! Reports of daemons as text for people, or as JSON for tools.

use crate::commands::Explanation;
use seamhatch_policy::SubmissionRecord;
use seamhatchd::control::{MemberStatus, StatusReport};
use seamhatchd::server::crashes::CrashReport;
use serde::Serialize;
use std::time::{Duration, UNIX_EPOCH};

/// The value as JSON or as text.
pub fn show<T: Serialize>(json: bool, value: &T, text: impl FnOnce(&T) -> String) -> String {
    if !json {
        return text(value);
    }
    // Can't fail: the reports are structs and lists of numbers and strings.
    let mut printed = serde_json::to_string_pretty(value).unwrap_or_default();
    printed.push('\n');
    printed
}

/// The state of a deployment.
pub fn status(report: &StatusReport) -> String {
    let proof = report.proof.as_ref();
    let mut text = format!(
        "asked {}: {}{}, generation {}{}, {} in progress\n\n",
        report.member,
        if report.ready { "ready" } else { "not ready" },
        if report.draining { ", draining" } else { "" },
        report.generation,
        proof.map_or_else(String::new, |proof| format!(
            " (newest {} ms ago by {})",
            proof.age_ms, proof.source
        )),
        report.in_flight,
    );
    text.push_str(&format!(
        "{:<22} {:<14} {:<10} {:>5} {:<9} {:<8} {:>10}\n",
        "MEMBER", "SERVICE", "ZONE", "SLOTS", "STATE", "SEEN", "GENERATION"
    ));
    report.members.iter().for_each(|member| text.push_str(&member_line(member)));
    text.push_str("\nwitnesses by shard (epoch, granting of assigned):");
    for shard in &report.shards {
        text.push_str(&format!(" {}:{}/{}", shard.epoch, shard.serving, shard.witnesses.len()));
    }
    text.push('\n');
    if !report.costs.is_empty() {
        text.push_str("\nslot time of an answered request, by kind and service:\n");
    }
    for cost in &report.costs {
        text.push_str(&format!("{:>8} ms  {} at {}\n", cost.slot_ms, cost.kind, cost.service));
    }
    text
}

fn member_line(member: &MemberStatus) -> String {
    let state = format!("{:?}", member.lifecycle).to_lowercase();
    let seen = format!("{:?}", member.liveness).to_lowercase();
    let generation = member.generation.map_or_else(|| "-".to_owned(), |generation| generation.to_string());
    let leaving = if member.leaving { " leaving" } else { "" };
    let rate = member.rate_millis.map(|millis| format!(" takes {} a second", millis as f64 / 1e3));
    format!(
        "{:<22} {:<14} {:<10} {:>5} {:<9} {:<8} {:>10}{leaving}{}\n",
        member.member,
        member.service,
        member.zone,
        member.slots,
        state,
        seen,
        generation,
        rate.unwrap_or_default()
    )
}

/// Requests that were at work when servers crashed.
pub fn crashes(report: &CrashReport) -> String {
    let mut text = format!("back end crashes seen by the asked daemon: {}\n", report.crashes_here);
    if report.suspects.is_empty() {
        text.push_str("no request is a suspect\n");
        return text;
    }
    text.push_str(&format!("\n{:<18} {:>7}  STATE\n", "DIGEST", "CRASHES"));
    for suspect in &report.suspects {
        let state = match suspect.turned_away_for_ms {
            Some(_) if suspect.until_cleared => "turned away until it is cleared".to_owned(),
            Some(left) => format!("turned away, tried again in {} s", left.div_ceil(1000)),
            None => "runs, one copy at a time".to_owned(),
        };
        text.push_str(&format!("{:<18} {:>7}  {state}\n", suspect.digest, suspect.crashes));
    }
    text
}

/// The latest submissions.
pub fn history(recent: &[SubmissionRecord]) -> String {
    let mut text = format!("{:>10}  {:<24} {:<16}  AUTHOR\n", "GENERATION", "ACCEPTED", "SUBMISSION");
    for record in recent {
        let time = UNIX_EPOCH + Duration::from_secs(record.accepted_at);
        let time = humantime::format_rfc3339_seconds(time).to_string();
        text.push_str(&format!(
            "{:>10}  {:<24} {:016x}  {}\n",
            record.generation.0, time, record.id.0, record.author
        ));
    }
    text
}

/// What the policy decides.
pub fn explanation(explanation: &Explanation) -> String {
    let service = explanation.service.as_deref().unwrap_or("none: no route has this path");
    let mut text = format!(
        "generation  {}\nservice     {service}\nclass       {}\nretries     {}\ndeadline    {} ms\nrepeatable  {}\n",
        explanation.generation,
        explanation.class,
        explanation.retries,
        explanation.deadline_ms,
        if explanation.repeatable { "yes" } else { "no" },
    );
    for function in &explanation.failed_functions {
        text.push_str(&format!("failed      {function}: its safe default stands\n"));
    }
    text
}
