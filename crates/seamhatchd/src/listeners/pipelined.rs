//! Requests that are started before the library has read them.

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

/// A request that was taken before the library has read it. Dropping it cancels the request.
pub struct PipelinedRequest {
    /// Bytes of its head.
    pub head_bytes: usize,
    /// Method and target, by which the library's reading is compared with this one.
    pub line: (http::Method, http::Uri),
    /// Whether requests behind it may be started, too.
    pub repeatable: bool,
    root: RootId,
    taken: AcceptedRequest,
    answer: PipelinedAnswer,
}

enum PipelinedAnswer {
    /// The filters refused it.
    Refused(Box<Response<CallerBody>>),
    /// It runs.
    Running(RunningAnswer),
    /// It may run only once, and runs in its turn.
    InTurn(Arc<RequestState>),
}

/// A task that ends with its owner.
struct RunningAnswer(JoinHandle<Response<CallerBody>>);

impl Drop for RunningAnswer {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl RequestHandler {
    /// Takes a request that was read ahead, and starts it where it may run more than once. None where nothing is taken any more.
    pub(super) fn start_ahead(self: &Arc<Self>, request: BodilessRequest) -> Option<PipelinedRequest> {
        // A daemon that drains ends the connection with the next answer that it can.
        if self.shared.is_draining() {
            return None;
        }
        let taken = self.shared.intake.accept(RequestEntry::Listener).ok()?;
        let line = (request.parts.method.clone(), request.parts.uri.clone());
        let mut state = self.request_state(&request.parts);
        state.progress = taken.progress().clone();
        state.progress.set_name(state.log_name());
        let root = state.root;
        let answer = match filters::run_chain(&self.chain, &self.shared, &mut state) {
            Err(rejection) => PipelinedAnswer::Refused(Box::new(self.reject(&state, &rejection))),
            Ok(()) if state.repeatable && state.claim_text.is_none() => {
                self.shared.metrics.started_ahead.inc();
                let (handler, state, taken) = (self.clone(), Arc::new(state), taken.clone());
                let running = async move { handler.answer_filtered(state, None, taken).await };
                PipelinedAnswer::Running(RunningAnswer(tokio::spawn(running)))
            }
            Ok(()) => PipelinedAnswer::InTurn(Arc::new(state)),
        };
        let repeatable = !matches!(answer, PipelinedAnswer::InTurn(_));
        Some(PipelinedRequest { head_bytes: request.length, line, repeatable, root, taken, answer })
    }

    /// The answer to a request that was taken ahead, now that the library has read it.
    pub(super) async fn answer_ahead(
        self: Arc<Self>,
        request: PipelinedRequest,
        connection: &ConnectionRequests,
    ) -> Response<CallerBody> {
        connection.hold(request.taken.clone());
        match request.answer {
            PipelinedAnswer::Refused(response) => *response,
            PipelinedAnswer::Running(mut running) => match (&mut running.0).await {
                Ok(response) => response,
                Err(error) => failed_task(request.root, &error),
            },
            PipelinedAnswer::InTurn(state) => self.answer_filtered(state, None, request.taken).await,
        }
    }
}
