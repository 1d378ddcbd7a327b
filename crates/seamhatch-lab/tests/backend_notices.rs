//! Back ends of the product's own set-up that name a rate or say that they leave, in the product's own fields.

mod common;

use common::{request, start};
use seamhatch_lab::backends::NO_RATE;
use seamhatch_lab::client::CallerAnswer;
use seamhatch_lab::connection::Caller;
use seamhatch_lab::deployment::{Deployment, status_of};
use seamhatch_lab::topology::{Topology, endpoint, service};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// The daemon whose back end says something of itself; callers enter through those of the other service.
const SPEAKING: usize = 0;
const ENTRIES: [usize; 2] = [2, 3];
/// Time between two requests of each entry's callers.
const PACE: Duration = Duration::from_millis(25);
/// Rate that it names, in calls a second.
const RATE: f64 = 5.0;
/// Span over which the rate is judged, and runs on top of it.
const WINDOW: Duration = Duration::from_secs(4);
const BURST: f64 = 2.0;

fn pool() -> Topology {
    let mut topology = Topology::chain(2, 1, 3, 2);
    // One zone, so that the entries use all servers alike.
    topology.zones = vec!["a"];
    topology.services = vec![
        service("s1", 2, 16, vec![endpoint("way0", 5, 200, vec![])]),
        service("s2", 2, 16, vec![endpoint("way0", 5, 200, vec![])]),
    ];
    topology
}

/// Sends for this long and returns the answers.
async fn load(deployment: &Deployment, name: &str, span: Duration) -> Vec<CallerAnswer> {
    let mut callers = JoinSet::new();
    for entry in ENTRIES {
        let (ingress, name) = (deployment.daemons[entry].machine.ingress(), format!("{name}-{entry}"));
        callers.spawn(async move {
            let (caller, begin) = (Caller::default(), Instant::now());
            let (mut sent, mut requests) = (0, JoinSet::new());
            while begin.elapsed() < span {
                let (caller, get) =
                    (caller.clone(), request("GET", "/in/way0", &format!("{name}-{sent}"), false));
                requests.spawn(async move { caller.send(ingress, &get).await });
                sent += 1;
                tokio::time::sleep_until((begin + PACE * sent).into()).await;
            }
            requests.join_all().await
        });
    }
    callers.join_all().await.into_iter().flatten().collect()
}

/// Beginnings of the runs there since an instant.
fn runs_since(deployment: &Deployment, since: Instant) -> Vec<Instant> {
    let server = deployment.daemons[SPEAKING].machine.ip.to_string();
    let runs = deployment.backends.executions().into_iter().filter(|run| run.server == server);
    runs.map(|run| run.began).filter(|began| *began >= since).collect()
}

/// Guards against a back end of the own set-up that gets more than it has named, also where the daemon beside it starts again.
#[tokio::test(flavor = "multi_thread")]
async fn a_rate_that_a_back_end_names_is_kept_and_shown() {
    let (mut deployment, _turn) = start(pool(), false).await;
    load(&deployment, "before", Duration::from_secs(1)).await;
    let behaviour = deployment.backends.behaviour(&deployment.machines[SPEAKING]);
    behaviour.rate_millis.store((RATE * 1e3) as i64, Ordering::Relaxed);
    load(&deployment, "told", Duration::from_secs(1)).await;
    let told = Instant::now();
    let answers = load(&deployment, "held", Duration::from_secs(5)).await;
    let runs = runs_since(&deployment, told);
    let most =
        runs.iter().map(|from| runs.iter().filter(|at| **at >= *from && **at < *from + WINDOW).count()).max();
    let most = most.unwrap_or_default() as f64;
    println!("{most} in 4 s, {} in 5 s", runs.len());
    assert!(most <= RATE * WINDOW.as_secs_f64() + BURST, "{most} in 4 s");
    assert!(runs.len() as f64 >= 0.9 * RATE * 5.0, "{} in 5 s", runs.len());
    let good = answers.iter().filter(|answer| answer.is_good()).count();
    assert!(good as f64 >= 0.99 * answers.len() as f64, "{good} of {}", answers.len());
    let shown = status_of(deployment.daemons[ENTRIES[0]].machine.admin()).await.expect("answers");
    let member = deployment.member(SPEAKING);
    let shown = shown.members.into_iter().find(|shown| shown.member == member).expect("is listed");
    assert_eq!(shown.rate_millis, Some(5_000));
    deployment.restart(SPEAKING).expect("starts");
    let restarted = Instant::now();
    load(&deployment, "restarted", Duration::from_secs(6)).await;
    let runs = runs_since(&deployment, restarted);
    assert!(runs.len() as f64 <= RATE * 6.0 + BURST, "{} in 6 s after the restart", runs.len());
    behaviour.rate_millis.store(NO_RATE, Ordering::Relaxed);
    load(&deployment, "lifted", Duration::from_secs(5)).await;
    let lifted = Instant::now();
    load(&deployment, "after", Duration::from_secs(2)).await;
    assert!(runs_since(&deployment, lifted).len() > 40, "not used any more");
}

/// Guards against a back end without a name that gets calls after it has said that it leaves, and against its successor getting none.
#[tokio::test(flavor = "multi_thread")]
async fn a_back_end_that_says_it_leaves_rests_until_another_one_is_there() {
    let (deployment, _turn) = start(pool(), true).await;
    load(&deployment, "before", Duration::from_secs(1)).await;
    let behaviour = deployment.backends.behaviour(&deployment.machines[SPEAKING]);
    behaviour.leaving.store(true, Ordering::Relaxed);
    load(&deployment, "told", Duration::from_millis(500)).await;
    let told = Instant::now();
    let answers = load(&deployment, "left", Duration::from_secs(3)).await;
    assert_eq!(runs_since(&deployment, told).len(), 0);
    let good = answers.iter().filter(|answer| answer.is_good()).count();
    assert!(good as f64 >= 0.99 * answers.len() as f64, "{good} of {}", answers.len());
    behaviour.leaving.store(false, Ordering::Relaxed);
    let ip = deployment.machines[SPEAKING].ip;
    deployment.relays().crash_for(ip, Duration::from_millis(600));
    common::eventually("the next back end gets work", async || {
        load(&deployment, "next", Duration::from_millis(300)).await;
        !runs_since(&deployment, told).is_empty()
    })
    .await;
}
