//! The thread that owns all control state: one event after the other.

mod configuration;
mod followed;
mod instances;
mod publishing;
mod quota_shards;
mod requests;
mod roster;
mod store;
mod suspects;

use crate::base::clock;
use crate::control::{ControlEvent, ControlHandle, SuspectEvent};
use crate::controllers::configuration::ConfigurationController;
use crate::controllers::membership::MembershipController;
use crate::controllers::roster::RosterController;
use crate::ports::{Backing, DocumentFormat, Ports};
use crate::shared::Shared;
use log::warn;
use seamhatch_core::Instant;
use seamhatch_core::clock::{MILLISECOND, Microseconds, SECOND};
use seamhatch_core::generation::Generation;
use seamhatch_core::identity::Address;
use seamhatch_core::membership::{MemberInfo, Membership, MembershipPolicy};
use seamhatch_policy::StoredConfiguration;
use seamhatch_wire::LARGEST_DATAGRAM;
use std::collections::{BTreeSet, HashSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

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
    backing: Backing,
    documents: Arc<dyn DocumentFormat>,
    following: followed::Following,
    departures: instances::Departures,
    suspect_news: suspects::SuspectNews,
    socket: Arc<UdpSocket>,
    stopped: BTreeSet<Address>,
    schedule: Schedule,
    started: Instant,
    sleep_watch: clock::SleepWatch,
    verified: bool,
    reading_store: bool,
    verifying: bool,
    store_seen: bool,
    from_store: Option<StoredConfiguration>,
    registering: Option<Generation>,
    pulling: HashSet<Address>,
    published_changes: u64,
    published_at: Instant,
}

impl ControlThread {
    /// Controllers that know nothing yet.
    pub fn new(
        shared: Arc<Shared>,
        events: mpsc::UnboundedReceiver<ControlEvent>,
        socket: UdpSocket,
        ports: &Ports,
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
            quota_shards: 0,
        };
        let state =
            Membership::new(MembershipPolicy::default(), info, shared.incarnation, settings.seeds.clone());
        let membership = MembershipController::new(state, socket.clone(), shared.metrics.clone());
        Self {
            control: shared.control.clone(),
            events,
            membership,
            configuration: ConfigurationController::new(ports.documents.clone()),
            roster: RosterController::default(),
            backing: ports.backing.clone(),
            documents: ports.documents.clone(),
            following: followed::Following::default(),
            departures: instances::Departures::default(),
            suspect_news: suspects::SuspectNews::default(),
            socket,
            stopped: BTreeSet::new(),
            schedule: Schedule::default(),
            started: clock::now(),
            sleep_watch: clock::SleepWatch::start(),
            verified: false,
            reading_store: false,
            verifying: false,
            store_seen: false,
            from_store: None,
            registering: None,
            pulling: HashSet::new(),
            published_changes: u64::MAX,
            published_at: Instant::default(),
            shared,
        }
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        self.start_following();
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
                        self.note_suspects(&message);
                        self.publish_soon_after_a_change();
                    }
                }
            }
        }
    }

    fn tick(&mut self) {
        if let Some(slept) = self.sleep_watch.note_resume() {
            warn!(slept_ms = slept / MILLISECOND; "the machine has slept: what ends at an instant is looked at again");
        }
        let now = clock::now();
        self.membership.tick();
        self.publish_if_changed();
        self.shared.server.gate.tick();
        self.become_ready_if_verified();
        self.tell_suspects_again(now);
        match self.backing {
            Backing::Witnessed(_) => self.tick_witnessed(now),
            Backing::Followed(_) => self.tick_followed(now),
        }
        if now >= self.schedule.stop_sending {
            self.schedule.stop_sending = now.plus(STOP_SENDING_POLL);
            self.update_stopped();
        }
        if self.membership.state.me().leaving && !self.shared.is_draining() {
            self.start_drain();
        }
    }

    fn tick_witnessed(&mut self, now: Instant) {
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
    }

    fn handle(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Request(request, reply) => {
                let answer = self.answer(request);
                // The asker may have gone away.
                let _ = reply.send(answer);
            }
            ControlEvent::Operator(event) => self.handle_operator(event),
            ControlEvent::Instance(event) => self.handle_instance(event),
            ControlEvent::Suspects(SuspectEvent::Changed(requests)) => self.suspects_changed(requests),
            ControlEvent::Suspects(SuspectEvent::Condemned(requests)) => self.condemned(requests),
            ControlEvent::Configuration(event) => self.handle_configuration(event),
            ControlEvent::Roster(event) => self.handle_roster(event),
            ControlEvent::Member(event) => self.handle_member(event),
            ControlEvent::QuotaShardsChanged => self.quota_shards_changed(),
            ControlEvent::Leave(reply) => self.leave(reply),
        }
    }
}

fn jittered(span: Microseconds) -> Microseconds {
    (span as f64 * (1.0 + JITTER * (rand::random::<f64>() - 0.5))) as Microseconds
}
