//! What a peer sends on a connection that this daemon opened: heartbeats, answers and replies.
//!
//! Updates the view of the peer, hands answers to their calls, and passes what heartbeats say of the peer's service,
//! configuration and suspects to the parts that keep it. Run by the connection's task.

use crate::base::clock;
use crate::base::metrics::BadInput;
use crate::peer::call::CallEvent;
use crate::peer::connection::PeerConnection;
use crate::shared::Shared;
use bytes::Bytes;
use seamhatch_core::identity::CallId;
use seamhatch_wire::{CallIntake, FrameReader, PeerMessage, Pulse, ServerReport, WireError};
use std::sync::Arc;
use tokio::net::tcp::OwnedReadHalf;

impl PeerConnection {
    /// Reads until the connection ends.
    pub(super) async fn read(
        &self,
        shared: &Arc<Shared>,
        mut frames: FrameReader<OwnedReadHalf>,
    ) -> Result<(), WireError> {
        while let Some(message) = frames.next().await? {
            self.state.view().last_heard = clock::now();
            self.handle(shared, message);
        }
        Ok(())
    }

    fn handle(&self, shared: &Shared, message: PeerMessage) {
        match message {
            PeerMessage::Pulse(pulse) => self.handle_pulse(shared, pulse),
            PeerMessage::Suspects(reports) => shared.suspects.merge(&reports),
            PeerMessage::Refused { call, refusal } => {
                self.note_report(shared, refusal.server);
                self.deliver(shared, call, CallEvent::Refused(refusal));
            }
            PeerMessage::AnswerHead(head) => {
                self.note_report(shared, head.server);
                self.deliver(shared, head.call, CallEvent::Head(head));
            }
            PeerMessage::AnswerChunk { call, bytes } => {
                self.deliver(shared, call, CallEvent::Chunk(Bytes::from(bytes)));
            }
            PeerMessage::AnswerTail(tail) => self.deliver(shared, tail.call, CallEvent::Tail(tail)),
            PeerMessage::Credit { call, bytes } => self.state.calls.refill(call, bytes),
            PeerMessage::ClaimReply { exchange, reply } => self.state.claims.complete(exchange, reply),
            PeerMessage::ControlReply { exchange, reply } => self.state.controls.complete(exchange, reply),
            _ => shared.metrics.bad_input(BadInput::PeerConnection),
        }
    }

    fn handle_pulse(&self, shared: &Shared, pulse: Pulse) {
        self.state.view().apply_pulse(&pulse);
        pulse.proof.into_iter().for_each(|proof| shared.limits.freshness.prove(proof));
        if pulse.intake == CallIntake::Closed {
            shared.limits.service_floors.forget(&self.service, self.address);
        } else {
            let floor =
                shared.limits.service_floors.note(&self.service, self.address, pulse.server, clock::now());
            shared.entry_floors.learn_service(&self.service, floor);
        }
        shared.control.note_peer_generation(self.address, pulse.generation);
    }

    /// Records what the peer reports of its server beside an answer. A server that takes no more calls doesn't count
    /// for the admission floor of its service.
    fn note_report(&self, shared: &Shared, report: ServerReport) {
        let intake = {
            let mut view = self.state.view();
            view.server = Some(report);
            view.intake
        };
        if intake != CallIntake::Closed {
            shared.limits.service_floors.note(&self.service, self.address, report, clock::now());
        }
    }

    fn deliver(&self, shared: &Shared, call: CallId, event: CallEvent) {
        if !self.state.calls.deliver(call, event) {
            shared.metrics.bad_input(BadInput::LateAnswer);
        }
    }
}
