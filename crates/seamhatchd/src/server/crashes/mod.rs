//! Crashes of the back end beside this daemon, the calls that were at work then, and what follows for them.
//!
//! A crash is one life of the back end that ended without a word while calls were at work on it: their connections
//! closed, nothing listens any more, and the instance had not told that it leaves. An answer that broke off is none.

mod at_work;
mod report;
mod suspects;
mod trials;

pub use at_work::{CallAtWork, CrashWatch, Suspect};
pub use report::{CrashReport, SuspectStatus, crash_report};
pub use suspects::SuspectBook;
pub use trials::{CRASHES_TO_ISOLATE, Trial, Trials};

use crate::base::clock;
use crate::shared::Shared;
use log::warn;
use seamhatch_core::clock::Microseconds;
use seamhatch_core::crashes::{InstanceDigest, SuspectStanding};
use seamhatch_core::identity::RequestDigest;
use seamhatch_core::instance::InstanceId;
use seamhatch_core::outcome::Reason;
use std::sync::Arc;

/// Whether the back end has crashed under a call to `instance` whose connection broke. The first call that finds out reports
/// it for all that were at work.
pub async fn has_crashed(shared: &Arc<Shared>, work: &CallAtWork, instance: Option<&InstanceId>) -> bool {
    let watch = &shared.server.crashes;
    if watch.has_ended(work) {
        return true;
    }
    let broke = clock::now();
    let mut seen_alive = watch.seen_alive.lock().await;
    if watch.has_ended(work) {
        return true;
    }
    // Many connections may break at once: one look that began after that tells all of them.
    if *seen_alive >= broke {
        watch.note_broken(work, broke);
        return false;
    }
    let looked = clock::now();
    let is_leaving = || instance.is_some_and(|instance| shared.server.instances.is_leaving(instance));
    // The goodbye may come while the back end is being looked for.
    if is_leaving() || !shared.server.backend.is_gone().await || is_leaving() {
        *seen_alive = looked;
        watch.note_broken(work, broke);
        return false;
    }
    let suspects = watch.end_life(work);
    report(shared, work.life, instance, &suspects);
    if let Some(instance) = instance {
        shared.control.lost_instance(instance.clone(), Reason::BackendCrashed);
    }
    true
}

/// Takes in that another instance of the back end is there in place of `instance`, which had not told that it leaves. Where
/// this daemon was frozen while that one crashed, nothing else tells.
pub fn instance_replaced(shared: &Shared, instance: &InstanceId) {
    let suspects = shared.server.crashes.replace_life(instance, clock::now());
    if !suspects.is_empty() {
        report(shared, InstanceDigest::of_instance(instance), Some(instance), &suspects);
    }
}

/// Notes a crash here and has it told everywhere.
fn report(shared: &Shared, life: InstanceDigest, instance: Option<&InstanceId>, suspects: &[Suspect]) {
    let condemned = shared.suspects.report_crash(life, suspects);
    log_crash(shared, instance, suspects);
    shared.metrics.crashes.inc();
    shared.control.suspects_changed(suspects.iter().map(|suspect| suspect.request).collect());
    if !condemned.is_empty() {
        shared.control.remember_condemned(condemned);
    }
}

/// Waits until a call may run at the server here: at once, unless its request is a suspect.
///
/// # Errors
/// [`Reason::CrashesServers`]: it may not run at all.
pub async fn until_admitted(shared: &Shared, request: RequestDigest) -> Result<Option<Trial>, Reason> {
    let mut standing = shared.suspects.standing(request);
    loop {
        match standing {
            SuspectStanding::Clear => return Ok(None),
            SuspectStanding::Condemned { .. } => return Err(Reason::CrashesServers),
            SuspectStanding::Suspect { crashes } => {
                let trial = shared.suspects.trials.begin(request, crashes).await;
                // The copy before may have told how it ends.
                let now = shared.suspects.standing(request);
                if now == standing {
                    return Ok(Some(trial));
                }
                standing = now;
            }
        }
    }
}

fn log_crash(shared: &Shared, instance: Option<&InstanceId>, suspects: &[Suspect]) {
    let evidence = suspects.iter().map(|Suspect { request, .. }| {
        let crashes = shared.suspects.standing(*request).crashes();
        format!("{request}:{crashes}")
    });
    warn!(
        instance = instance.map_or("", |instance| instance.name.as_str()),
        at_work = suspects.len(),
        crashes_by_digest = evidence.collect::<Vec<_>>().join(",").as_str();
        "back end crashed"
    );
}

/// Time until one copy of a condemned request is tried again.
pub fn time_until_trial(shared: &Shared, request: RequestDigest) -> Microseconds {
    match shared.suspects.standing(request) {
        SuspectStanding::Condemned { until, .. } => until.since(clock::now()),
        SuspectStanding::Clear | SuspectStanding::Suspect { .. } => 0,
    }
}
