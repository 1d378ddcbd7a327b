//! One attempt of a call at one server.

use super::Dispatcher;
use super::replay::next_of_rest;
use crate::base::clock;
use crate::filters::Rejection;
use crate::peer::{CallEvent, CallStream, PeerConnection};
use seamhatch_core::balance::CallEnd;
use seamhatch_core::clock::{MILLISECOND, Microseconds};
use seamhatch_core::outcome::{Outcome, Reason};
use seamhatch_core::priority::AdmissionFloor;
use seamhatch_wire::{AnswerHead, CallContext, CallHead, Refusal, ServerReport};

/// The receiver's deadline is this much earlier, so that its refusal arrives in time.
const EXPIRY_MARGIN: Microseconds = 5 * MILLISECOND;

/// What an attempt at one server came to.
pub(super) enum Attempt {
    Answered(Box<AnswerHead>, CallStream),
    Refused(Refusal),
    /// The connection was lost after the call was sent.
    Lost,
    /// The deadline passed.
    Expired,
    /// The caller broke off its body.
    BrokenOff(Rejection),
}

impl Dispatcher<'_> {
    /// Sends the call to a server and waits for the head of its answer, or for what came instead.
    pub(super) async fn attempt(&mut self, connection: &PeerConnection) -> Attempt {
        let head = self.call_head(connection);
        if let Some(claimed) = &mut self.claimed {
            claimed.dispatched();
        }
        self.tell_suspicion(connection);
        let Ok(mut stream) = connection.start_call(head) else {
            // Closed between the choice and here: nothing was written.
            return Attempt::Refused(not_sent(self.child.handed_over));
        };
        for piece in &self.body.prefix {
            stream.send_piece(piece);
        }
        if self.body.rest.is_none() && !self.body.is_empty() {
            stream.finish_body();
        }
        let deadline = clock::sleep_until(self.parent.expiry);
        tokio::pin!(deadline);
        let window = stream.window.clone();
        loop {
            tokio::select! {
                event = stream.next() => match event {
                    Some(CallEvent::Head(head)) => return Attempt::Answered(head, stream),
                    Some(CallEvent::Refused(refusal)) => return Attempt::Refused(refusal),
                    Some(CallEvent::Chunk(_) | CallEvent::Tail(_)) | None => return Attempt::Lost,
                },
                piece = next_of_rest(&mut self.body, &window) => match piece {
                    Ok(Some(piece)) => stream.send_piece(&piece),
                    Ok(None) => stream.finish_body(),
                    Err(rejection) => {
                        self.may_have_run = true;
                        return Attempt::BrokenOff(rejection);
                    }
                },
                () = &mut deadline => return Attempt::Expired,
                // Its daemon is frozen, dead or cut off. One that may not be repeated can only wait.
                () = connection.until_silent(), if self.request.repeatable => return Attempt::Lost,
            }
        }
    }

    fn call_head(&mut self, connection: &PeerConnection) -> CallHead {
        let expiry = self.parent.expiry.minus(EXPIRY_MARGIN);
        let context = CallContext {
            root: self.request.root,
            priority: self.parent.priority,
            root_age: clock::now().since(self.parent.root_admitted),
            tokens: self.child.hand_over(),
            repeat: self.repeat,
            repeatable: self.request.repeatable,
            expiry: connection.to_peer_clock(expiry),
            objective_left: self.request.objective_left.saturating_sub(clock::now().since(self.started)),
            depth: self.parent.depth,
        };
        CallHead {
            call: self.shared.new_call_id(),
            generation: self.shared.snapshot().generation(),
            service: self.request.service.clone(),
            context,
            request: self.digest,
            method: self.request.method.clone(),
            path: self.request.path.clone(),
            headers: self.request.headers.clone(),
            has_body: !self.body.is_empty(),
        }
    }
}

/// What an attempt tells of its server.
pub(super) fn call_end(attempt: &Attempt) -> CallEnd {
    match attempt {
        Attempt::Lost => CallEnd::Lost,
        Attempt::Refused(refusal)
            if matches!(
                refusal.reason,
                Reason::BackendUnreachable | Reason::BackendFailed | Reason::BackendCrashed
            ) =>
        {
            CallEnd::Lost
        }
        _ => CallEnd::Answered,
    }
}

fn not_sent(tokens: u32) -> Refusal {
    Refusal {
        outcome: Outcome::NotRun,
        reason: Reason::PeerLost,
        retry_after: 0,
        unspent_tokens: tokens,
        crashes: 0,
        server: ServerReport { load: 0, limit: 0, floor: AdmissionFloor::OPEN },
    }
}
