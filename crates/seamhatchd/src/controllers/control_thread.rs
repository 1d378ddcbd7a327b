//! The thread that owns all control state: one event after the other.

use crate::clock;
use crate::controllers::ask::{ask_daemon, ask_generation};
use crate::controllers::configuration::ConfigurationController;
use crate::controllers::events::{ControlEvent, DrainTarget, SubmitRequest};
use crate::controllers::handle::ControlHandle;
use crate::controllers::machines::{Machine, MachineState, read_machines};
use crate::controllers::membership::MembershipController;
use crate::controllers::publish;
use crate::controllers::registration::{self, Held};
use crate::controllers::roster::RosterController;
use crate::controllers::roster_change::Transition;
use crate::controllers::status::{self, StatusInput};
use crate::controllers::submission::{Submission, SubmitError};
use crate::shared::Shared;
use crate::store::{CONFIGURATION_KEY, ROSTER_KEY, StoreClient, StoreError, Stored, Swap};
use log::{info, warn};
use rustix::time::{ClockId, clock_gettime};
use seamhatch_core::Instant;
use seamhatch_core::claims::Epoch;
use seamhatch_core::clock::{MILLISECOND, Microseconds, SECOND};
use seamhatch_core::generation::{Generation, Offer};
use seamhatch_core::identity::Address;
use seamhatch_core::membership::{
    GossipMessage, Lifecycle, MemberInfo, MemberRecord, Membership, MembershipPolicy,
};
use seamhatch_core::roster::{CONFIGURATION_SHARD, RESTART_WAIT, Roster};
use seamhatch_policy::StoredConfiguration;
use seamhatch_wire::{ControlReply, ControlRequest, LARGEST_DATAGRAM};
use std::collections::{BTreeSet, HashSet};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(100);
/// Time between two reads of the store by a watcher.
const STORE_POLL: Microseconds = 2 * SECOND;
/// Time between two reads while this daemon isn't ready yet.
const STARTUP_POLL: Microseconds = 500 * MILLISECOND;
/// How long a starting daemon asks the witnesses before the store alone is enough.
const WITNESS_PATIENCE: Microseconds = 10 * SECOND;
/// Time between two looks at the roster by its coordinator.
const ROSTER_POLL: Microseconds = SECOND;
/// Time between two looks at shards that are as they should be.
const ROSTER_RECHECK: Microseconds = 30 * SECOND;
/// Time between two evaluations of the policy's `stop_sending`.
const STOP_SENDING_POLL: Microseconds = 500 * MILLISECOND;
/// Peers that a new configuration or roster is passed on to.
const FANOUT: usize = 4;
/// Share by which poll times vary, so that daemons don't act in step.
const JITTER: f64 = 0.25;

/// When things are due next.
#[derive(Debug, Default)]
struct Schedule {
    store: Instant,
    machines: Instant,
    roster: Instant,
    recheck: Instant,
    stop_sending: Instant,
}

/// All controllers, and the events that drive them.
pub struct ControlThread {
    shared: Arc<Shared>,
    control: ControlHandle,
    events: mpsc::UnboundedReceiver<ControlEvent>,
    membership: MembershipController,
    configuration: ConfigurationController,
    roster: RosterController,
    store: StoreClient,
    socket: Arc<UdpSocket>,
    stopped: BTreeSet<Address>,
    schedule: Schedule,
    started: Instant,
    verified: bool,
    reading_store: bool,
    verifying: bool,
    store_seen: bool,
    from_store: Option<StoredConfiguration>,
    registering: Option<Generation>,
    pulling: HashSet<Address>,
    published_changes: u64,
}

impl ControlThread {
    /// Controllers that know nothing yet.
    pub fn new(
        shared: Arc<Shared>,
        events: mpsc::UnboundedReceiver<ControlEvent>,
        socket: UdpSocket,
    ) -> Self {
        let settings = &shared.settings;
        let socket = Arc::new(socket);
        let info = MemberInfo {
            gossip: settings.advertise.gossip,
            peer: settings.advertise.peer,
            admin: settings.listen.admin,
            region: settings.region.clone(),
            zone: settings.zone.clone(),
            service: settings.service.clone(),
            slots: settings.slots,
        };
        let state =
            Membership::new(MembershipPolicy::default(), info, shared.incarnation, settings.seeds.clone());
        let membership = MembershipController::new(state, socket.clone(), shared.metrics.clone());
        Self {
            control: shared.control.clone(),
            events,
            membership,
            configuration: ConfigurationController::default(),
            roster: RosterController::default(),
            store: StoreClient::new(settings.store),
            socket,
            stopped: BTreeSet::new(),
            schedule: Schedule::default(),
            started: clock::now(),
            verified: false,
            reading_store: false,
            verifying: false,
            store_seen: false,
            from_store: None,
            registering: None,
            pulling: HashSet::new(),
            published_changes: u64::MAX,
            shared,
        }
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        let socket = self.socket.clone();
        let mut buffer = vec![0; 64 * 1024];
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick(),
                Some(event) = self.events.recv() => self.handle(event),
                Ok((length, from)) = socket.recv_from(&mut buffer) => {
                    let received = &buffer[..length.min(buffer.len())];
                    debug_assert!(LARGEST_DATAGRAM <= buffer.len());
                    if let Some(message) = self.membership.datagram(received, from) {
                        self.note_versions(&message);
                    }
                }
            }
        }
    }

    fn tick(&mut self) {
        let now = clock::now();
        self.membership.tick();
        // Once a tick, however many records changed: a snapshot costs time by members.
        self.publish_if_changed();
        self.shared.gate.tick();
        self.become_ready_if_verified();
        if now >= self.schedule.store && (!self.is_ready() || self.membership.is_watcher()) {
            self.schedule.store = now.plus(jittered(if self.is_ready() { STORE_POLL } else { STARTUP_POLL }));
            self.read_store();
            self.verify(now);
        }
        if now >= self.schedule.machines {
            self.schedule.machines = now.plus(jittered(STORE_POLL));
            self.read_machines();
        }
        if now >= self.schedule.roster {
            self.schedule.roster = now.plus(jittered(ROSTER_POLL));
            self.look_after_roster(now);
            // Whoever wanted it in force may be gone.
            if let Some(held) = self.configuration.unfinished().cloned() {
                self.register(held);
            }
            self.update_metrics();
        }
        if now >= self.schedule.stop_sending {
            self.schedule.stop_sending = now.plus(STOP_SENDING_POLL);
            self.update_stopped();
        }
        if self.membership.state.me().leaving && !self.shared.is_draining() {
            self.start_drain();
        }
    }

    fn handle(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Request(request, reply) => {
                let answer = self.answer(request);
                // The asker may have gone away.
                let _ = reply.send(answer);
            }
            ControlEvent::SawGeneration { peer, generation } => self.pull_if_behind(peer, generation),
            ControlEvent::Submit(request, reply) => self.submit(request, reply),
            ControlEvent::Status(reply) => self.report_status(reply),
            ControlEvent::GetStored(reply) => {
                let _ = reply.send(self.configuration.newest().cloned());
            }
            ControlEvent::Drain(target, reply) => {
                let _ = reply.send(self.drain(target));
            }
            ControlEvent::Leave(reply) => {
                self.membership.state.set_lifecycle(Lifecycle::Left);
                self.announce();
                let _ = reply.send(());
            }
            ControlEvent::CheckRoster => self.pull_roster(),
            ControlEvent::StoreRead(result) => self.store_read(result),
            ControlEvent::Offered(stored) => {
                self.pulling.clear();
                self.registering = None;
                self.offer(stored);
            }
            ControlEvent::Verified => {
                self.verifying = false;
                self.verified = true;
                self.become_ready_if_verified();
            }
            ControlEvent::NotVerified => self.verifying = false,
            ControlEvent::NotRegistered => self.registering = None,
            ControlEvent::RosterRead(result) => self.roster_read(result),
            ControlEvent::RosterOffered(roster) => self.offer_roster(roster),
            ControlEvent::Transition(result) => self.roster.finish_transition(&result),
            ControlEvent::MachinesRead(result) => self.machines_read(result),
        }
    }

    // --- Configuration -------------------------------------------------------------------------

    fn offer(&mut self, stored: StoredConfiguration) -> Offer {
        let offer = self.configuration.offer(stored);
        if offer == Offer::Adopt {
            let generation = self.configuration.generation();
            self.membership.state.set_generation(generation);
            self.control.set_generation(generation);
            self.apply_service_settings();
            self.publish();
            self.pass_on_configuration();
        }
        offer
    }

    /// Applies the settings of the service beside this daemon.
    fn apply_service_settings(&self) {
        let Some((_, configuration)) = self.configuration.in_force() else { return };
        if let Some(service) = configuration.service(&self.shared.settings.service) {
            self.shared.gate.set_queue_per_slot(service.queue_per_slot);
        }
    }

    fn pass_on_configuration(&self) {
        let Some(stored) = self.configuration.newest() else { return };
        let request = ControlRequest::PutConfiguration(stored.clone());
        for peer in self.membership.random_peers(FANOUT) {
            self.tell(peer, request.clone());
        }
    }

    fn tell(&self, peer: Address, request: ControlRequest) {
        let (shared, control) = (self.shared.clone(), self.control.clone());
        tokio::spawn(async move {
            if let Some(ControlReply::Configuration(newer)) = ask_daemon(&shared, peer, request).await {
                control.send(ControlEvent::Offered(newer));
            }
        });
    }

    fn pull_if_behind(&mut self, peer: Option<Address>, generation: Generation) {
        let have = self.configuration.generation();
        if generation <= have {
            return;
        }
        let peer = peer.or_else(|| self.membership.random_peers(1).first().copied());
        let Some(peer) = peer.filter(|peer| self.pulling.insert(*peer)) else { return };
        let (shared, control) = (self.shared.clone(), self.control.clone());
        tokio::spawn(async move {
            if let Some(ControlReply::Configuration(newer)) = ask_generation(&shared, peer, have).await {
                control.send(ControlEvent::Offered(newer));
            }
        });
    }

    fn note_versions(&mut self, message: &GossipMessage) {
        if message.generation > self.configuration.generation() {
            let peer = self.membership.state.member(message.from).map(|record| record.info.peer);
            self.pull_if_behind(peer, message.generation);
        }
        if message.roster_version > self.roster.roster().version {
            self.pull_roster();
        }
    }

    fn submit(&mut self, request: SubmitRequest, reply: oneshot::Sender<Result<Generation, SubmitError>>) {
        let submission =
            Submission::new(self.shared.clone(), self.store.clone(), request, self.configuration.highest());
        let control = self.control.clone();
        tokio::spawn(async move {
            let result = match submission {
                Ok(submission) => submission.run().await,
                Err(error) => Err(error),
            };
            let result = result.map(|accepted| {
                control.send(ControlEvent::Offered(accepted.newest));
                accepted.generation
            });
            // The operator may have gone away; the submission stands all the same.
            let _ = reply.send(result);
        });
    }

    // --- The store -----------------------------------------------------------------------------

    fn read_store(&mut self) {
        if std::mem::replace(&mut self.reading_store, true) {
            return;
        }
        let (store, control, metrics) =
            (self.store.clone(), self.control.clone(), self.shared.metrics.clone());
        tokio::spawn(async move {
            metrics.store_requests.inc_by(2);
            let roster = store.read(ROSTER_KEY).await;
            control.send(ControlEvent::RosterRead(roster));
            control.send(ControlEvent::StoreRead(store.read(CONFIGURATION_KEY).await));
        });
    }

    fn store_read(&mut self, result: Result<Stored<Option<StoredConfiguration>>, StoreError>) {
        self.reading_store = false;
        let stored = match result {
            Ok(stored) => stored,
            Err(error) => {
                self.shared.metrics.store_failures.inc();
                if !self.is_ready() {
                    warn!(error = error.to_string().as_str(); "the store can't be read at the start");
                }
                return;
            }
        };
        let in_store = stored.value.as_ref().map(|stored| stored.generation).unwrap_or_default();
        self.store_seen = true;
        if self.configuration.generation() > in_store && self.membership.is_coordinator() {
            self.restore_store(stored.revision);
        }
        self.from_store = stored.value;
        if let (true, Some(found)) = (self.verified, self.from_store.clone()) {
            self.register(found);
        }
    }

    /// The store came back with an older copy: writes the newest accepted configuration over it.
    fn restore_store(&self, revision: u64) {
        let Some(newest) = self.configuration.newest().cloned() else { return };
        warn!(generation = newest.generation.0; "the store holds an older configuration; restoring the newest");
        let store = self.store.clone();
        tokio::spawn(async move {
            // Refused or lost: the next read shows it, and it is tried again.
            let _ = store.swap(CONFIGURATION_KEY, revision, &newest).await;
        });
    }

    /// Brings an accepted configuration into force, once a majority of the
    /// witnesses holds it.
    fn register(&mut self, stored: StoredConfiguration) {
        let generation = stored.generation;
        let newer = generation > self.configuration.generation();
        if !newer || self.registering.is_some_and(|registering| registering >= generation) {
            return;
        }
        self.registering = Some(generation);
        let (shared, control) = (self.shared.clone(), self.control.clone());
        tokio::spawn(async move {
            let held = registration::register(&shared, &stored).await;
            control.send(if held { ControlEvent::Offered(stored) } else { ControlEvent::NotRegistered });
        });
    }

    /// A starting daemon takes the newest of what the store has and what a
    /// majority of the witnesses holds. Without the store, the witnesses are
    /// enough; without the witnesses, the store is, after some patience.
    fn verify(&mut self, now: Instant) {
        if self.verified || self.verifying {
            return;
        }
        if self.roster.roster().shards.is_empty() {
            self.pull_roster();
        }
        let store_alone = self.store_seen && now.since(self.started) > WITNESS_PATIENCE;
        let from_store = self.from_store.clone();
        let first_start = self.store_seen && self.roster.roster().shards.is_empty();
        self.verifying = true;
        let (shared, control) = (self.shared.clone(), self.control.clone());
        tokio::spawn(async move {
            let held = match registration::ask_held(&shared, Generation::default()).await {
                Held::Newest(held) => held,
                Held::NoRoster if first_start => None,
                Held::NoRoster | Held::NoMajority if store_alone => None,
                Held::NoRoster | Held::NoMajority => return control.send(ControlEvent::NotVerified),
            };
            if let Some(newest) = registration::newer(held, from_store) {
                if !registration::register(&shared, &newest).await && !store_alone {
                    return control.send(ControlEvent::NotVerified);
                }
                control.send(ControlEvent::Offered(newest));
            }
            control.send(ControlEvent::Verified);
        });
    }

    fn is_ready(&self) -> bool {
        self.shared.ready.load(Ordering::Acquire)
    }

    fn become_ready_if_verified(&mut self) {
        let decidable = self.configuration.in_force().is_some();
        if self.is_ready() || !self.verified || !decidable || self.shared.is_draining() {
            return;
        }
        info!(generation = self.configuration.generation().0; "ready");
        self.shared.ready.store(true, Ordering::Release);
        self.membership.state.set_lifecycle(Lifecycle::Ready);
        self.announce();
    }

    // --- The machine list ----------------------------------------------------------------------

    fn read_machines(&self) {
        let alone = self.membership.state.live_count() == 1;
        let Some(address) = self.shared.settings.machines else { return };
        if !(alone || self.membership.is_watcher()) {
            return;
        }
        let control = self.control.clone();
        tokio::spawn(async move {
            control.send(ControlEvent::MachinesRead(read_machines(address).await));
        });
    }

    fn machines_read(&mut self, result: Result<Vec<Machine>, StoreError>) {
        let Ok(machines) = result else { return };
        let listed = machines.iter().map(|machine| machine.address).collect();
        self.roster.take_machines(listed);
        let gossip_port = self.shared.settings.advertise.gossip.port;
        for machine in machines {
            let same_machine = |record: &&MemberRecord| record.info.gossip.ip == machine.address;
            let members: Vec<Address> = std::iter::once(self.membership.state.me())
                .chain(self.membership.state.others())
                .filter(same_machine)
                .map(|record| record.info.gossip)
                .collect();
            match machine.state {
                MachineState::Leaving => {
                    members.into_iter().for_each(|member| self.membership.state.mark_leaving(member));
                }
                MachineState::Live if members.is_empty() => {
                    self.membership.state.add_seeds([Address { ip: machine.address, port: gossip_port }]);
                }
                MachineState::Live => {}
            }
        }
    }

    // --- The witness roster --------------------------------------------------------------------

    fn look_after_roster(&mut self, now: Instant) {
        if !self.is_ready() || !self.membership.is_coordinator() {
            return;
        }
        if now >= self.schedule.recheck {
            self.schedule.recheck = now.plus(ROSTER_RECHECK);
            self.roster.recheck();
        }
        if let Some(next) = self.roster.plan(&self.all_members()) {
            self.write_roster(next);
        }
        self.start_transitions(now);
    }

    fn start_transitions(&mut self, now: Instant) {
        let members = self.all_members();
        for (shard, target) in self.roster.start_transitions() {
            let since = self.roster.waiting_since(shard, target.current.epoch, now);
            let transition = Transition {
                shared: self.shared.clone(),
                shard,
                ended: self.roster.ended(&target, &members),
                target,
                waited: now.since(since) > RESTART_WAIT,
                newest: self.configuration.highest(),
            };
            let control = self.control.clone();
            tokio::spawn(async move { control.send(ControlEvent::Transition(transition.run().await)) });
        }
    }

    /// Writes a planned roster, if the store still holds the one it was planned from.
    fn write_roster(&self, next: Roster) {
        let (store, control) = (self.store.clone(), self.control.clone());
        let known = self.roster.roster().clone();
        tokio::spawn(async move {
            let Ok(stored) = store.read::<Roster>(ROSTER_KEY).await else { return };
            if let Some(newer) = stored.value.filter(|stored| stored.version > known.version) {
                return control.send(ControlEvent::RosterOffered(newer));
            }
            // A lost answer is resolved by the next read.
            if let Ok(Swap::Written) = store.swap(ROSTER_KEY, stored.revision, &next).await {
                info!(version = next.version; "witness roster changed");
                control.send(ControlEvent::RosterOffered(next));
            }
        });
    }

    fn roster_read(&mut self, result: Result<Stored<Option<Roster>>, StoreError>) {
        if let Ok(Stored { value: Some(roster), .. }) = result {
            self.offer_roster(roster);
        }
    }

    fn offer_roster(&mut self, roster: Roster) {
        if !self.roster.offer(roster) {
            return;
        }
        let version = self.roster.roster().version;
        self.membership.state.set_roster_version(version);
        self.publish();
        let request = ControlRequest::PutRoster(Roster::clone(self.roster.roster()));
        for peer in self.membership.random_peers(FANOUT) {
            self.tell(peer, request.clone());
        }
        if self.is_ready() && self.membership.is_coordinator() {
            // No claim is granted in a changed shard until its new witnesses are installed.
            self.start_transitions(clock::now());
        }
    }

    fn pull_roster(&self) {
        let Some(peer) = self.membership.random_peers(1).first().copied() else { return };
        let (shared, control) = (self.shared.clone(), self.control.clone());
        tokio::spawn(async move {
            let reply = ask_daemon(&shared, peer, ControlRequest::GetRoster).await;
            if let Some(ControlReply::Roster(roster)) = reply {
                control.send(ControlEvent::RosterOffered(roster));
            }
        });
    }

    // --- Requests of other daemons and of operators ----------------------------------------------

    fn answer(&mut self, request: ControlRequest) -> ControlReply {
        match request {
            ControlRequest::GetConfiguration { have } => match self.configuration.newest() {
                Some(stored) if stored.generation > have => ControlReply::Configuration(stored.clone()),
                _ => ControlReply::Generation(self.configuration.generation()),
            },
            ControlRequest::PutConfiguration(stored) => match self.offer(stored) {
                Offer::Stale => self
                    .configuration
                    .newest()
                    .cloned()
                    .map_or(ControlReply::Done, ControlReply::Configuration),
                Offer::Adopt | Offer::Same => ControlReply::Done,
                Offer::Conflict => ControlReply::Declined,
            },
            ControlRequest::PutRoster(roster) => {
                self.offer_roster(roster);
                ControlReply::Done
            }
            ControlRequest::GetRoster => ControlReply::Roster(Roster::clone(self.roster.roster())),
            ControlRequest::WitnessStatus { shard } => {
                ControlReply::Serving(self.shared.witnesses.serving(shard))
            }
            ControlRequest::Seal { shard, epoch } => self.seal(shard, epoch),
            ControlRequest::Install { shard, epoch, claims, held } => {
                if let Some(held) = held {
                    self.configuration.hold(&held);
                }
                if self.shared.witnesses.install(shard, epoch, claims) {
                    ControlReply::Done
                } else {
                    ControlReply::Declined
                }
            }
            ControlRequest::HoldConfiguration { epoch, stored } => {
                if registration::is_holder(&self.shared, epoch) && self.configuration.hold(&stored) {
                    ControlReply::Done
                } else {
                    ControlReply::Declined
                }
            }
            ControlRequest::GetHeld { epoch, .. } if !registration::is_holder(&self.shared, epoch) => {
                ControlReply::Declined
            }
            ControlRequest::GetHeld { have, .. } => match self.configuration.highest() {
                Some(stored) if stored.generation > have => ControlReply::Configuration(stored),
                other => ControlReply::Generation(other.map(|stored| stored.generation).unwrap_or_default()),
            },
            ControlRequest::GetRecorded { key, holder } => {
                ControlReply::Recorded(self.shared.records.get(key, holder))
            }
        }
    }

    fn seal(&self, shard: u32, epoch: Epoch) -> ControlReply {
        let Some(claims) = self.shared.witnesses.seal(shard, epoch) else { return ControlReply::Declined };
        let holds = shard as usize == CONFIGURATION_SHARD;
        ControlReply::Sealed { claims, held: self.configuration.highest().filter(|_| holds) }
    }

    fn report_status(&self, reply: oneshot::Sender<status::StatusReport>) {
        let input = StatusInput {
            me: self.membership.state.me().clone(),
            others: self.membership.state.others().cloned().collect(),
            roster: self.roster.roster().clone(),
            generation: self.configuration.generation(),
        };
        let shared = self.shared.clone();
        tokio::spawn(async move { reply.send(status::report(shared, input).await) });
    }

    fn drain(&mut self, target: DrainTarget) -> bool {
        match target {
            DrainTarget::Own => self.start_drain(),
            DrainTarget::Member(address) => {
                let own = self.membership.state.me().info.gossip == address;
                if !own && self.membership.state.member(address).is_none() {
                    return false;
                }
                self.membership.state.mark_leaving(address);
                if own {
                    self.start_drain();
                }
            }
        }
        true
    }

    fn start_drain(&mut self) {
        info!("draining: no new work is taken");
        self.shared.start_draining();
        self.membership.state.set_lifecycle(Lifecycle::Draining);
        self.announce();
    }

    fn announce(&mut self) {
        let outgoing = self.membership.state.announce();
        self.membership.send_all(outgoing);
    }

    // --- Publishing ------------------------------------------------------------------------------

    fn all_members(&self) -> Vec<MemberRecord> {
        std::iter::once(self.membership.state.me()).chain(self.membership.state.others()).cloned().collect()
    }

    fn update_stopped(&mut self) {
        let Some((_, configuration)) = self.configuration.in_force() else { return };
        let stopped = publish::stopped_servers(&self.shared, &configuration, &self.all_members());
        if stopped != self.stopped {
            self.stopped = stopped;
            self.publish();
        }
    }

    fn publish_if_changed(&mut self) {
        if self.membership.state.changes() != self.published_changes {
            self.publish();
        }
    }

    fn publish(&mut self) {
        self.published_changes = self.membership.state.changes();
        let state = &self.membership.state;
        let members = std::iter::once(state.me()).chain(state.others());
        let roster = self.roster.roster().clone();
        let snapshot = publish::snapshot(self.configuration.in_force(), members, &self.stopped, roster);
        self.shared.published.store(Arc::new(snapshot));
    }

    fn update_metrics(&self) {
        let metrics = &self.shared.metrics;
        metrics.generation.set(self.configuration.generation().0 as i64);
        metrics.members.set(self.membership.state.live_count() as i64);
        metrics.claims.set(self.shared.witnesses.forget_old() as i64);
        self.shared.records.forget_old();
        let cpu = clock_gettime(ClockId::ThreadCPUTime);
        metrics.control_cpu_milliseconds.set(cpu.tv_sec * 1000 + cpu.tv_nsec / 1_000_000);
    }
}

fn jittered(span: Microseconds) -> Microseconds {
    (span as f64 * (1.0 + JITTER * (rand::random::<f64>() - 0.5))) as Microseconds
}
