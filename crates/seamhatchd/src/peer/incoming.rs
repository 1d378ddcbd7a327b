//! What a peer sends on a connection that this daemon opened: heartbeats, answers and replies.
//!
//! Updates the view of the peer, hands answers to their calls and replies to their requests, and reports to the
//! [`LinkHost`] what concerns the rest of the daemon. Run by the connection's task.

use crate::base::clock;
use crate::base::metrics::BadInput;
use crate::peer::call::CallEvent;
use crate::peer::connection::PeerConnection;
use crate::peer::host::LinkHost;
use crate::peer::link;
use bytes::Bytes;
use seamhatch_core::balance::{ServerPace, TurnReport};
use seamhatch_core::identity::CallId;
use seamhatch_wire::{CallIntake, Farewell, FrameReader, PeerMessage, Pulse, ServerReport, WireError};
use tokio::net::tcp::OwnedReadHalf;

impl PeerConnection {
    /// Reads until the connection ends.
    pub(super) async fn read(
        &self,
        host: &dyn LinkHost,
        mut frames: FrameReader<OwnedReadHalf>,
    ) -> Result<(), WireError> {
        while let Some(message) = frames.next().await? {
            self.state.view().last_heard = clock::now();
            self.handle(host, message);
        }
        Ok(())
    }

    fn handle(&self, host: &dyn LinkHost, message: PeerMessage) {
        match message {
            PeerMessage::Pulse(pulse) => self.handle_pulse(host, &pulse),
            PeerMessage::Suspects(reports) => host.suspects_reported(&reports),
            PeerMessage::Refused { call, refusal } => {
                self.note_report(host, refusal.server, refusal.turn, refusal.pace);
                self.deliver(host, call, CallEvent::Refused(refusal));
            }
            PeerMessage::AnswerHead(head) => {
                self.note_report(host, head.server, head.turn, head.pace);
                host.back_end_notice(self.address, head.notice.as_ref());
                self.deliver(host, head.call, CallEvent::Head(head));
            }
            PeerMessage::AnswerChunk { call, bytes } => {
                self.deliver(host, call, CallEvent::Chunk(Bytes::from(bytes)));
            }
            PeerMessage::AnswerTail(tail) => self.deliver(host, tail.call, CallEvent::Tail(tail)),
            PeerMessage::Credit { call, bytes } => self.state.calls.refill(call, bytes),
            PeerMessage::ClaimReply { exchange, reply } => self.state.claims.complete(exchange, reply),
            PeerMessage::ControlReply { exchange, reply } => self.state.controls.complete(exchange, reply),
            _ => host.bad_input(BadInput::PeerConnection),
        }
    }

    fn handle_pulse(&self, host: &dyn LinkHost, pulse: &Pulse) {
        self.state.view().apply_pulse(pulse);
        if pulse.farewell == Some(Farewell::Said) {
            self.answer_farewell(host);
        }
        host.heartbeat_received(&self.service, self.address, pulse);
        host.back_end_notice(self.address, pulse.notice.as_ref());
    }

    /// Tells a peer that is about to end that no call follows: none is sent once its view says so.
    fn answer_farewell(&self, host: &dyn LinkHost) {
        let pulse = link::pulse(host, self.address, &|instant| self.to_peer_clock(instant));
        // A connection that has ended takes no calls either.
        let _ = self.outbox.send(PeerMessage::Pulse(Pulse { farewell: Some(Farewell::Heard), ..pulse }));
    }

    /// Records what the peer reports of its server beside an answer. A server that takes no more calls doesn't count
    /// for the admission floor of its service.
    fn note_report(
        &self,
        host: &dyn LinkHost,
        report: ServerReport,
        turn: Option<TurnReport>,
        pace: Option<ServerPace>,
    ) {
        let intake = {
            let mut view = self.state.view();
            view.server = Some(report);
            let now = clock::now();
            view.note_turn(turn, now);
            view.note_pace(pace, now);
            view.intake
        };
        if intake != CallIntake::Closed {
            host.server_report(&self.service, self.address, report);
        }
    }

    fn deliver(&self, host: &dyn LinkHost, call: CallId, event: CallEvent) {
        if !self.state.calls.deliver(call, event) {
            host.bad_input(BadInput::LateAnswer);
        }
    }
}
