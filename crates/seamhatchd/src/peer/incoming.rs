//! Handles the messages that a peer sends on a connection opened by this daemon: heartbeats, answers and replies.
//!
//! Updates the view of the peer, delivers answers to their calls and replies to their requests, and notifies the
//! [`LinkHost`]. Runs on the connection's task.

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
    /// Reads and handles messages until the connection ends.
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
            PeerMessage::Pulse(heartbeat) => self.handle_heartbeat(host, &heartbeat),
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

    fn handle_heartbeat(&self, host: &dyn LinkHost, heartbeat: &Pulse) {
        self.state.view().apply_heartbeat(heartbeat);
        if heartbeat.farewell == Some(Farewell::Said) {
            self.acknowledge_shutdown(host);
        }
        host.heartbeat_received(&self.service, self.address, heartbeat);
        host.back_end_notice(self.address, heartbeat.notice.as_ref());
    }

    /// Acknowledges the shutdown of a peer, which tells it that no further call follows on this connection. The
    /// view of the peer already prevents further calls.
    fn acknowledge_shutdown(&self, host: &dyn LinkHost) {
        let heartbeat = link::heartbeat(host, self.address, &|instant| self.to_peer_clock(instant));
        // A closed connection carries no further calls either.
        let _ = self.outbox.send(PeerMessage::Pulse(Pulse { farewell: Some(Farewell::Heard), ..heartbeat }));
    }

    /// Records the server state that the peer reports with an answer. A server that accepts no more calls is
    /// excluded from the admission floor of its service.
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
