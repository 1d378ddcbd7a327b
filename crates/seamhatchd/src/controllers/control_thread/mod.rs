//! The thread that owns the control state: membership, configuration, roster, and the back end's instances.
//!
//! [`ControlThread`] processes events from the queue of [`crate::control::ControlHandle`] one at a time, datagrams from the
//! gossip socket, and a tick every 100 ms. Work that waits for the store or another daemon runs as a separate task, which
//! reports its result as an event. Decisions are published as a [`crate::snapshot::Snapshot`]. Each file of this folder
//! handles one group of events.

mod configuration;
mod departures;
mod followed;
mod instances;
mod members;
mod publishing;
mod quota_shards;
mod requests;
mod roster;
mod stopping;
mod suspects;
mod verification;
mod witnessed;

use crate::base::clock;
use crate::control::{ControlEvent, SuspectEvent};
use crate::controllers::configuration::{ConfigurationController, UnusableRule};
use crate::controllers::follow::EvidenceUpdate;
use crate::controllers::membership::MembershipController;
use crate::controllers::roster::RosterController;
use crate::ports::{Backing, Ports};
use crate::settings::Settings;
use crate::shared::Shared;
use configuration::ConfigurationExchanges;
use departures::Departures;
use followed::FollowState;
use log::warn;
use publishing::Publication;
use roster::RosterMaintenance;
use seamhatch_core::Instant;
use seamhatch_core::clock::{MILLISECOND, Microseconds, SECOND};
use seamhatch_core::membership::{MemberInfo, Membership, MembershipPolicy};
use seamhatch_wire::LARGEST_DATAGRAM;
use std::sync::Arc;
use std::time::Duration;
use suspects::SuspectUpdates;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use verification::Verification;
use witnessed::StoreView;

const TICK: Duration = Duration::from_millis(100);
/// Interval between two evaluations of the policy's `stop_sending`.
const STOP_SENDING_INTERVAL: Microseconds = 500 * MILLISECOND;
/// Interval of periodic maintenance, in which the coordinator also checks the roster.
const HOUSEKEEPING_INTERVAL: Microseconds = SECOND;
/// Width of the random variation of intervals, as a fraction, so that daemons don't act in step.
const JITTER: f64 = 0.25;
/// Size in bytes of the receive buffer: the maximum size of a UDP datagram, so that none is truncated.
const RECEIVE_BUFFER: usize = 64 * 1024;
const _: () = assert!(LARGEST_DATAGRAM <= RECEIVE_BUFFER);

/// When periodic work is due next.
#[derive(Debug, Default)]
struct Schedule {
    store: Instant,
    machines: Instant,
    housekeeping: Instant,
    roster_recheck: Instant,
    stop_sending: Instant,
}

/// The controllers and the event sources that drive them.
pub struct ControlThread {
    shared: Arc<Shared>,
    events: mpsc::UnboundedReceiver<ControlEvent>,
    membership: MembershipController,
    configuration: ConfigurationController,
    roster: RosterController,
    roster_maintenance: RosterMaintenance,
    backing: Backing,
    verification: Verification,
    exchanges: ConfigurationExchanges,
    /// Used where daemons accept configurations.
    store_view: StoreView,
    /// Used where the store is followed.
    follow_state: FollowState,
    departures: Departures,
    suspect_updates: SuspectUpdates,
    publication: Publication,
    schedule: Schedule,
    started: Instant,
    sleep_watch: clock::SleepWatch,
}

impl ControlThread {
    /// Creates the control thread with empty state.
    #[must_use]
    pub fn new(
        shared: Arc<Shared>,
        events: mpsc::UnboundedReceiver<ControlEvent>,
        socket: UdpSocket,
        ports: &Ports,
    ) -> Self {
        let info = own_info(&shared.settings);
        let seeds = shared.settings.seeds.clone();
        let unusable = match ports.backing {
            Backing::Followed(_) => UnusableRule::Refuse,
            Backing::Witnessed(_) => UnusableRule::Hold,
        };
        let state = Membership::new(MembershipPolicy::default(), info, shared.incarnation, seeds);
        Self {
            membership: MembershipController::new(state, Arc::new(socket), shared.metrics.clone()),
            configuration: ConfigurationController::new(ports.documents.clone(), unusable),
            roster: RosterController::default(),
            roster_maintenance: RosterMaintenance::default(),
            backing: ports.backing.clone(),
            verification: Verification::default(),
            exchanges: ConfigurationExchanges::default(),
            store_view: StoreView::default(),
            follow_state: FollowState::default(),
            departures: Departures::default(),
            suspect_updates: SuspectUpdates::default(),
            publication: Publication::default(),
            schedule: Schedule::default(),
            started: clock::now(),
            sleep_watch: clock::SleepWatch::start(),
            events,
            shared,
        }
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        self.start_following();
        let socket = self.membership.socket();
        let mut buffer = vec![0; RECEIVE_BUFFER];
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick(),
                Some(event) = self.events.recv() => self.handle(event),
                Ok((length, from)) = socket.recv_from(&mut buffer) => {
                    if let Some(message) = self.membership.datagram(&buffer[..length], from) {
                        self.note_versions(&message);
                        self.note_suspects(&message);
                        self.publish_rate_limited();
                    }
                }
            }
        }
    }

    fn tick(&mut self) {
        if let Some(slept) = self.sleep_watch.note_resume() {
            warn!(slept_ms = slept / MILLISECOND; "the machine was suspended; rechecking deadlines");
        }
        let now = clock::now();
        self.membership.tick();
        self.publish_if_changed();
        self.shared.server.gate.tick();
        self.become_ready_if_verified();
        self.resend_suspects(now);
        match self.backing {
            Backing::Witnessed(_) => self.tick_witnessed(now),
            Backing::Followed(_) => self.tick_followed(now),
        }
        if now >= self.schedule.stop_sending {
            self.schedule.stop_sending = now.plus(STOP_SENDING_INTERVAL);
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
                // Fails if the requesting daemon has stopped waiting.
                let _ = reply.send(answer);
            }
            ControlEvent::Operator(event) => self.handle_operator(event),
            ControlEvent::Instance(event) => self.handle_instance(event),
            ControlEvent::Suspects(SuspectEvent::Changed(requests)) => self.suspects_changed(requests),
            ControlEvent::Suspects(SuspectEvent::CrashedHere(requests)) => {
                self.remember_evidence(EvidenceUpdate::CrashedHere(requests));
            }
            ControlEvent::Configuration(event) => self.handle_configuration(event),
            ControlEvent::Roster(event) => self.handle_roster(event),
            ControlEvent::Member(event) => self.handle_member(event),
            ControlEvent::QuotaShardsChanged => self.quota_shards_changed(),
            ControlEvent::Leave(reply) => self.leave(reply),
        }
    }
}

/// The record that this daemon announces to the other members.
fn own_info(settings: &Settings) -> MemberInfo {
    MemberInfo {
        gossip: settings.advertise.gossip,
        peer: settings.advertise.peer,
        admin: settings.listen.admin,
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        service: settings.service.clone(),
        slots: settings.slots,
        quota_shards: 0,
    }
}

/// Applies random variation of total width [`JITTER`] to an interval.
fn jittered(span: Microseconds) -> Microseconds {
    (span as f64 * (1.0 + JITTER * (rand::random::<f64>() - 0.5))) as Microseconds
}
