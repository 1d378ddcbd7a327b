//! Sends a call to a server and, where the limits allow, to another one after a failure.

mod answer;
mod attempt;
mod candidates;
mod child;
mod claiming;
mod replay;
mod suspects;

pub use answer::Answer;
pub use replay::ReplayBody;

use crate::base::clock;
use crate::claims::Claimed;
use crate::filters::{Rejection, RequestState, check_entry_floor};
use crate::peer::{AnswerBody, CallStream, PeerConnection};
use crate::server::running::RunningCall;
use crate::shared::Shared;
use crate::snapshot::Server;
use attempt::{Attempt, call_end};
use candidates::candidate;
use child::Child;
use log::info;
use seamhatch_core::Instant;
use seamhatch_core::balance::{Candidate, pick};
use seamhatch_core::identity::{Address, Fingerprint, RequestDigest};
use seamhatch_core::outcome::{Outcome, Reason};
use seamhatch_core::retry::{ChildEnd, Dispatch};
use seamhatch_policy::ServiceSettings;
use seamhatch_wire::{AnswerHead, CallIntake, ChainFloor, RecordedAnswer, Refusal};
use std::sync::Arc;

/// Servers that may refuse a call for pressure before it is refused as a whole.
const MOST_PRESSED: u32 = 2;

/// How a dispatched call ended.
pub enum CallResult {
    /// The back end answers.
    Answered(Box<Answer>),
    /// The recorded answer of an earlier attempt with the same key.
    Recorded(RecordedAnswer),
    /// There is no answer.
    Rejected(Rejection),
}

/// One call and all that its dispatches share.
struct Dispatcher<'a> {
    shared: &'a Arc<Shared>,
    request: &'a RequestState,
    started: Instant,
    settings: ServiceSettings,
    parent: Arc<RunningCall>,
    body: ReplayBody,
    /// What is asked, the same for each copy of the request.
    digest: RequestDigest,
    child: Child,
    claimed: Option<Claimed>,
    repeat: bool,
    tried: Vec<Address>,
    /// Servers that refused for pressure.
    pressed: u32,
    last_refusal: Option<Refusal>,
    may_have_run: bool,
}

/// Sends a call that has passed the filters.
pub async fn dispatch(shared: &Arc<Shared>, request: &RequestState, body: ReplayBody) -> CallResult {
    match prepare(shared, request, body).await {
        Ok(dispatcher) => dispatcher.run().await,
        Err(result) => result,
    }
}

async fn prepare<'a>(
    shared: &'a Arc<Shared>,
    request: &'a RequestState,
    body: ReplayBody,
) -> Result<Dispatcher<'a>, CallResult> {
    let rejected = |reason, detail: &str| CallResult::Rejected(Rejection::not_run(reason, detail));
    let settings = service_settings(shared, request)
        .ok_or_else(|| rejected(Reason::NoRoute, "the service was removed from the configuration"))?;
    let parent = request
        .parent
        .clone()
        .ok_or_else(|| rejected(Reason::BadContext, "the request has no running call it belongs to"))?;
    let content = body.digest();
    let call = call_fingerprint(request, content);
    let (child, first) = Child::begin(&parent, call)
        .map_err(|error| rejected(Reason::RetriesExhausted, &error.to_string()))?;
    let parent_repeats = parent.repeats;
    let mut dispatcher = Dispatcher {
        shared,
        request,
        started: clock::now(),
        settings,
        parent,
        body,
        digest: request_digest(shared, request, content),
        child,
        claimed: None,
        repeat: first.repeat || parent_repeats,
        tried: Vec::new(),
        pressed: 0,
        last_refusal: None,
        may_have_run: false,
    };
    // Before anything that may refuse: `not-run` is true of a request with a key
    // only while its key is held here.
    dispatcher.claimed = dispatcher.claim(content).await?;
    if let Err(rejection) = dispatcher.check_limits(first) {
        return Err(dispatcher.reject(rejection));
    }
    Ok(dispatcher)
}

fn service_settings(shared: &Shared, request: &RequestState) -> Option<ServiceSettings> {
    let snapshot = shared.snapshot();
    let configuration = request.configuration.as_ref().or(snapshot.configuration())?;
    configuration.service(&request.service).copied()
}

fn call_fingerprint(request: &RequestState, body: Fingerprint) -> Fingerprint {
    let parts: [&[u8]; 4] = [
        request.service.as_bytes(),
        request.method.as_bytes(),
        request.path.as_bytes(),
        &body.0.to_le_bytes(),
    ];
    Fingerprint::of(&parts)
}

/// Names what is asked, wherever it comes in: its caller's service is left out, as a caller may ask at any
/// machine. Two tenants that ask the same ask two things. The deployment's name is the key, so that digests mean nothing elsewhere.
fn request_digest(shared: &Shared, request: &RequestState, body: Fingerprint) -> RequestDigest {
    RequestDigest::of(&[
        shared.settings.cluster.as_bytes(),
        request.header("authorization").unwrap_or_default().as_bytes(),
        request.header(shared.conventions.tenant_field()).unwrap_or_default().as_bytes(),
        request.host.as_deref().unwrap_or(&request.service).as_bytes(),
        request.method.as_bytes(),
        request.path.as_bytes(),
        &body.0.to_le_bytes(),
    ])
}

impl Dispatcher<'_> {
    async fn run(mut self) -> CallResult {
        loop {
            let connection = match self.connect().await {
                Ok(connection) => connection,
                // What the last server said tells the caller more than that no other is left.
                Err(rejection) => {
                    let refused = self.last_refusal.take().map(|refusal| Rejection::of_peer(&refusal));
                    return self.reject(refused.unwrap_or(rejection));
                }
            };
            let attempt = self.attempt(&connection).await;
            connection.record(call_end(&attempt));
            match attempt {
                Attempt::Answered(head, stream) => {
                    return self.answer(*head, stream, connection.address);
                }
                Attempt::Refused(refusal) => {
                    self.learn_service_floor();
                    self.child.give_back(refusal.unspent_tokens);
                    let ran = refusal.outcome != Outcome::NotRun;
                    self.may_have_run |= ran;
                    let reached = ran || refusal.reason.reached_back_end();
                    self.pressed += u32::from(refusal.reason.is_pressure());
                    if self.crashes_too_much(&refusal) || !self.may_send_again(refusal.reason, reached) {
                        return self.reject(Rejection::of_peer(&refusal));
                    }
                    self.last_refusal = Some(refusal);
                }
                Attempt::Lost => {
                    self.may_have_run = true;
                    self.last_refusal = None;
                    if !self.may_send_again(Reason::PeerLost, true) {
                        let detail =
                            "the connection to the server's daemon was lost; its result is not known";
                        return self.reject(Rejection::unknown(Reason::PeerLost, detail));
                    }
                }
                Attempt::Expired => {
                    self.may_have_run = true;
                    let detail = "no answer came before the deadline; its result is not known";
                    return self.reject(Rejection::unknown(Reason::DeadlineExceeded, detail));
                }
                Attempt::BrokenOff(rejection) => return self.reject(rejection),
            }
            info!(
                request = self.request.log_name().as_str(),
                service = self.request.service.as_str(),
                digest = self.digest.to_string().as_str(),
                left = connection.address.to_string().as_str(),
                reason = self.last_refusal.map_or(Reason::PeerLost, |refusal| refusal.reason).name(),
                may_have_run = self.may_have_run,
                tokens = self.parent.ledger().tokens();
                "call sent again"
            );
            self.tried.push(connection.address);
        }
    }

    fn answer(self, head: AnswerHead, stream: CallStream, server: Address) -> CallResult {
        self.learn_floor(head.chain_floor.clone());
        self.learn_service_floor();
        let recording = self.claimed.is_some().then(Vec::new);
        CallResult::Answered(Box::new(Answer {
            head,
            server,
            dispatches: self.tried.len() + 1,
            body: AnswerBody::new(stream),
            expiry: self.parent.expiry,
            child: self.child,
            claimed: self.claimed,
            recording,
        }))
    }

    fn reject(mut self, mut rejection: Rejection) -> CallResult {
        if self.may_have_run {
            // An earlier dispatch may have run, whatever became of the last one.
            rejection.outcome = Outcome::Unknown;
        } else {
            self.child.finish(ChildEnd::NotRun);
            if let Some(claimed) = &mut self.claimed {
                claimed.not_run();
            }
        }
        CallResult::Rejected(rejection)
    }

    /// Whether the call may be sent to another server. It pays for that if its last attempt `reached` a
    /// back end; what a daemon turned away by itself cost nobody anything.
    fn may_send_again(&mut self, reason: Reason, reached: bool) -> bool {
        let room_elsewhere = reason.is_pressure() && self.pressed <= MOST_PRESSED;
        let repeat = self.may_have_run && self.request.repeatable;
        let worth = reason.worth_another_server() || room_elsewhere || repeat;
        let safe = !self.may_have_run || self.request.repeatable;
        let possible = self.body.can_replay() && clock::now() < self.parent.expiry;
        if !(worth && safe && possible) {
            return false;
        }
        if !reached {
            return true;
        }
        if self.parent.ledger().spend().is_err() || self.take_from_ratio().is_err() {
            return false;
        }
        self.repeat |= self.may_have_run;
        true
    }

    fn check_limits(&self, first: Dispatch) -> Result<(), Rejection> {
        let budget = &self.shared.limits.retry_budget;
        self.check_suspect()?;
        if self.claimed.is_some() {
            check_entry_floor(self.shared, self.request)?;
        }
        if first.charged {
            return self.take_from_ratio();
        }
        if self.parent.repeats {
            budget.count_repeat(&self.request.service, &self.settings);
        } else {
            budget.first_try(&self.request.service, &self.settings);
        }
        Ok(())
    }

    fn take_from_ratio(&self) -> Result<(), Rejection> {
        if self.shared.limits.retry_budget.try_retry(&self.request.service, &self.settings) {
            self.shared.metrics.retries.inc();
            return Ok(());
        }
        let detail = "retries to this service are at their share of first tries; come back later";
        Err(Rejection::not_run(Reason::RetryRatio, detail))
    }

    /// A connection to a server that was not tried yet.
    async fn connect(&mut self) -> Result<PeerConnection, Rejection> {
        loop {
            let Some(server) = self.choose() else {
                let detail = "no server of this service can be reached; come back later";
                return Err(Rejection::not_run(Reason::NoServer, detail));
            };
            match self.shared.pool.get(self.shared, server).await {
                Ok(connection) if self.can_serve(&connection) => return Ok(connection),
                Ok(_) | Err(_) => self.tried.push(server),
            }
        }
    }

    /// Whether the daemon takes calls for this service, as it says itself: a record of the member may be
    /// older than the machine that has its address now.
    fn can_serve(&self, connection: &PeerConnection) -> bool {
        connection.view().intake != CallIntake::Closed && *connection.service == *self.request.service
    }

    fn choose(&self) -> Option<Address> {
        let snapshot = self.shared.snapshot();
        let servers = snapshot.servers.get(&self.request.service)?;
        let untried: Vec<&Server> =
            servers.iter().filter(|server| !self.tried.contains(&server.peer)).collect();
        let candidates: Vec<Candidate> =
            untried.iter().map(|server| candidate(self.shared, server)).collect();
        let index = self
            .home_of_suspect(&untried, &candidates)
            .or_else(|| pick(&candidates, |below| rand::random_range(0..below)))?;
        Some(untried[index].peer)
    }

    /// Takes in what the called service admits, by the reports of all its servers.
    fn learn_service_floor(&self) {
        self.learn_floor(self.shared.limits.service_floors.of(&self.request.service, clock::now()));
    }

    fn learn_floor(&self, floor: Option<ChainFloor>) {
        if let Some(floor) = floor {
            self.parent.lower_chain_floor(&floor);
        }
    }
}
