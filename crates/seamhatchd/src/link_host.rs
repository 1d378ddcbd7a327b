//! The interface between this daemon and its links to other daemons: supplies the state that links report, and processes the reports
//! that they receive.

use crate::base::clock;
use crate::base::metrics::BadInput;
use crate::limits::freshness::ProofSource;
use crate::peer::{LinkHost, LocalState, UnwrittenMessages};
use crate::shared::Shared;
use seamhatch_core::crashes::SuspectReport;
use seamhatch_core::identity::Address;
use seamhatch_core::intake::IntakePhase;
use seamhatch_core::notice::BackEndNotice;
use seamhatch_wire::{ADDITIONS, CallIntake, Hello, Pulse, ServerReport};
use std::net::IpAddr;
use tokio::sync::futures::Notified;

impl LinkHost for Shared {
    fn hello(&self, callee: Option<Address>) -> Hello {
        Hello {
            cluster: self.settings.cluster.clone(),
            peer: self.settings.advertise.peer,
            gossip: self.settings.advertise.gossip,
            incarnation: self.incarnation,
            service: self.settings.service.clone(),
            clock: clock::now(),
            additions: ADDITIONS,
            handed_back: callee.and_then(|callee| self.limits.peer_notices.of(callee)),
        }
    }

    fn unwritten(&self) -> &UnwrittenMessages {
        &self.unwritten
    }

    fn own_ip(&self) -> IpAddr {
        self.settings.listen.peer.ip
    }

    fn local_state(&self, peer: Address) -> LocalState {
        LocalState {
            generation: self.snapshot().generation(),
            intake: self.call_intake(),
            server: self.server.gate.report(),
            proof: self.limits.freshness.proof(),
            turn: self.server.notices.turn_of(peer),
            notice: self.server.notices.notice_for_peers(),
            instance: self.server.instances.open().and_then(|open| open.id),
            pace: self.server.gate.pace(),
            is_stopping: self.intake.phase() != IntakePhase::Open,
        }
    }

    fn intake_changed(&self) -> Notified<'_> {
        self.lifecycle.work_changed()
    }

    fn heartbeat_received(&self, service: &str, peer: Address, pulse: &Pulse) {
        pulse
            .proof
            .into_iter()
            .for_each(|proof| self.limits.freshness.record(proof, ProofSource::Peer(peer)));
        if pulse.intake == CallIntake::Closed {
            self.limits.service_floors.forget(service, peer);
        } else {
            let floor = self.limits.service_floors.record(service, peer, pulse.server, clock::now());
            self.entry_floors.learn_service(service, floor);
        }
        self.control.note_peer_generation(peer, pulse.generation);
    }

    fn server_report(&self, service: &str, peer: Address, report: ServerReport) {
        self.limits.service_floors.record(service, peer, report, clock::now());
    }

    fn back_end_notice(&self, peer: Address, notice: Option<&BackEndNotice>) {
        self.limits.peer_notices.note(peer, notice);
    }

    fn connection_ended(&self, service: &str, peer: Address) {
        self.limits.service_floors.forget(service, peer);
    }

    fn suspects_reported(&self, reports: &[SuspectReport]) {
        self.suspects.merge(reports);
    }

    fn bad_input(&self, kind: BadInput) {
        self.metrics.bad_input(kind);
    }
}
