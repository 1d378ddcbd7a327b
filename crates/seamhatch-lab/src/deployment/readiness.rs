//! What the daemons of a deployment report about themselves, and waiting until the reports are as wanted.

use super::Deployment;
use http::Request;
use http_body_util::{BodyExt, Empty};
use seamhatch_core::identity::Address;
use seamhatch_core::membership::{Lifecycle, Liveness};
use seamhatch_core::roster::WITNESSES;
use seamhatchd::base::http_client::http_client;
use seamhatchd::control::StatusReport;
use std::time::{Duration, Instant};

/// Pause between two requests for a daemon's report. Chosen, not measured.
const POLL: Duration = Duration::from_millis(20);

impl Deployment {
    /// A daemon's status report; none when it doesn't answer.
    pub async fn status(&self, daemon: usize) -> Option<StatusReport> {
        status_of(self.daemons[daemon].machine.admin()).await
    }

    /// Waits until every daemon answers at its admin listener; false when that takes longer than `longest`.
    pub async fn wait_started(&self, longest: Duration) -> bool {
        self.wait_all(longest, |_| true).await
    }

    /// Waits until every daemon is ready, sees all the others as live and ready, and all witnesses grant claims; false when
    /// that takes longer than `longest`.
    pub async fn wait_ready(&self, longest: Duration) -> bool {
        let daemons = self.daemons.len();
        self.wait_all(longest, |report| is_ready(report, daemons)).await
    }

    async fn wait_all(&self, longest: Duration, holds: impl Fn(&StatusReport) -> bool) -> bool {
        let end = Instant::now() + longest;
        for daemon in 0..self.daemons.len() {
            while !self.status(daemon).await.is_some_and(|report| holds(&report)) {
                if Instant::now() >= end {
                    return false;
                }
                tokio::time::sleep(POLL).await;
            }
        }
        true
    }
}

fn is_ready(report: &StatusReport, daemons: usize) -> bool {
    let ready = report
        .members
        .iter()
        .filter(|member| member.lifecycle == Lifecycle::Ready && member.liveness == Liveness::Alive);
    let granting = report.shards.iter().all(|shard| shard.serving >= daemons.min(WITNESSES));
    report.ready && ready.count() == daemons && !report.shards.is_empty() && granting
}

/// The status report at an admin address; none when no daemon answers there.
pub async fn status_of(admin: Address) -> Option<StatusReport> {
    let request =
        Request::get(format!("http://{admin}/v1/status")).body(Empty::<bytes::Bytes>::new()).ok()?;
    let response = http_client().request(request).await.ok()?;
    let body = response.into_body().collect().await.ok()?;
    serde_json::from_slice(&body.to_bytes()).ok()
}
