//! Crashes of the back end beside this daemon, and the calls that were at work then.
//!
//! A crash is one life of the back end that ended without a word while calls were at work on it: their connections
//! closed, nothing listens any more, and the instance had not told that it leaves. An answer that broke off is none.

mod at_work;

pub use at_work::{CallAtWork, CrashWatch};

use crate::shared::Shared;
use log::warn;
use seamhatch_core::instance::InstanceId;
use std::sync::Arc;

/// Whether the back end has crashed under a call whose connection broke. The first call that finds out reports
/// it for all that were at work.
pub async fn has_crashed(shared: &Arc<Shared>, work: &CallAtWork) -> bool {
    let watch = &shared.crashes;
    if watch.has_ended(work) {
        return true;
    }
    let _only_one = watch.probing.lock().await;
    if watch.has_ended(work) {
        return true;
    }
    if is_leaving(shared, work) || !shared.backend.is_gone().await || is_leaving(shared, work) {
        return false;
    }
    let requests = watch.end_life(work);
    let digests: Vec<String> = requests.iter().map(ToString::to_string).collect();
    warn!(
        instance = work.instance.as_ref().map_or("", |instance| instance.0.as_str()),
        at_work = requests.len(),
        digests = digests.join(",").as_str();
        "back end crashed"
    );
    shared.metrics.crashes.inc();
    true
}

/// Whether the instance that the call is at work on has told that it leaves: its end is planned.
fn is_leaving(shared: &Shared, work: &CallAtWork) -> bool {
    let leaving = |instance: &InstanceId| shared.instances.is_leaving(instance);
    work.instance.as_ref().is_some_and(leaving)
}
