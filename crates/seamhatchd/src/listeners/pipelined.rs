//! Pipelined requests, which are started before the HTTP library has read them.

use super::body::CallerBody;
use super::connection::ConnectionRequests;
use super::head::BodilessRequest;
use super::proxy::{RequestHandler, failed_task};
use crate::filters::{self, RequestState};
use crate::intake::{AcceptedRequest, RequestEntry};
use http::Response;
use seamhatch_core::identity::RootId;
use std::sync::Arc;
use tokio::task::JoinHandle;

/// A pipelined request that was accepted before the HTTP library has read it. Dropping it cancels the request.
pub struct PipelinedRequest {
    /// Length of the request's head, in bytes.
    pub head_bytes: usize,
    /// Method and target, compared with those that the library reads.
    pub line: (http::Method, http::Uri),
    /// Whether the requests after this one may be started early as well.
    pub repeatable: bool,
    root: RootId,
    accepted: AcceptedRequest,
    answer: PipelinedAnswer,
}

enum PipelinedAnswer {
    /// The filters have refused the request.
    Refused(Box<Response<CallerBody>>),
    /// The request is being processed.
    Running(RunningAnswer),
    /// The request is not repeatable, so it starts only after the earlier answers of the connection.
    InTurn(Arc<RequestState>),
}

/// A task that is aborted when its handle is dropped.
struct RunningAnswer(JoinHandle<Response<CallerBody>>);

impl Drop for RunningAnswer {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl RequestHandler {
    /// Accepts a request that was read ahead and starts it if it is repeatable. Returns none if the daemon is
    /// draining or accepts no more requests.
    pub(super) fn start_pipelined(self: &Arc<Self>, request: BodilessRequest) -> Option<PipelinedRequest> {
        // A draining daemon closes the connection as soon as an answer allows it.
        if self.shared.is_draining() {
            return None;
        }
        let accepted = self.shared.intake.accept(RequestEntry::Listener).ok()?;
        let line = (request.parts.method.clone(), request.parts.uri.clone());
        let mut state = self.request_state(&request.parts);
        state.progress = accepted.progress().clone();
        state.progress.set_name(state.log_name());
        let root = state.root;
        let answer = match filters::run_chain(&self.chain, &self.shared, &mut state) {
            Err(rejection) => PipelinedAnswer::Refused(Box::new(self.reject(&state, &rejection))),
            Ok(()) if state.repeatable && state.claim_text.is_none() => {
                self.shared.metrics.started_ahead.inc();
                let (handler, state, accepted) = (self.clone(), Arc::new(state), accepted.clone());
                let running = async move { handler.answer_filtered(state, None, accepted).await };
                PipelinedAnswer::Running(RunningAnswer(tokio::spawn(running)))
            }
            Ok(()) => PipelinedAnswer::InTurn(Arc::new(state)),
        };
        let repeatable = !matches!(answer, PipelinedAnswer::InTurn(_));
        Some(PipelinedRequest { head_bytes: request.length, line, repeatable, root, accepted, answer })
    }

    /// Answers a request that was accepted early, now that the library has read it.
    pub(super) async fn answer_pipelined(
        self: Arc<Self>,
        request: PipelinedRequest,
        connection: &ConnectionRequests,
    ) -> Response<CallerBody> {
        connection.hold(request.accepted.clone());
        match request.answer {
            PipelinedAnswer::Refused(response) => *response,
            PipelinedAnswer::Running(mut running) => match (&mut running.0).await {
                Ok(response) => response,
                Err(error) => failed_task(request.root, &error),
            },
            PipelinedAnswer::InTurn(state) => self.answer_filtered(state, None, request.accepted).await,
        }
    }
}
