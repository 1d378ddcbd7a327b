//! The HTTP server that the stand-ins for the platform and for back ends share: it reads each request to its end, hands it to
//! the stand-in's own function, and ends when it is dropped.

use http::{Request, StatusCode};
use seamhatch_core::identity::Address;
use seamhatchd::listeners::{self, Listener};
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use xitca_web::body::{BodyExt, RequestBody, ResponseBody};
use xitca_web::http::WebResponse;
use xitca_web::service::fn_service;
use xitca_web::{App, WebContext};

/// A request that was read to its end.
pub(crate) type StandInRequest = Request<Vec<u8>>;

type Answering = Pin<Box<dyn Future<Output = WebResponse>>>;
type Handler = Arc<dyn Fn(StandInRequest) -> Answering + Send + Sync>;

/// A running stand-in.
pub(crate) struct HttpStandIn {
    listener: Option<Listener>,
}

impl HttpStandIn {
    /// Serves at all these addresses on `threads` threads.
    ///
    /// # Errors
    /// An address can't be bound.
    pub fn start<F>(
        name: &str,
        addresses: impl Iterator<Item = Address>,
        threads: usize,
        answer: impl Fn(StandInRequest) -> F + Send + Sync + 'static,
    ) -> std::io::Result<Self>
    where
        F: Future<Output = WebResponse> + 'static,
    {
        let handler: Handler = Arc::new(move |request| -> Answering { Box::pin(answer(request)) });
        let application =
            App::new().with_state(handler).at("/", fn_service(handle)).at("/{*rest}", fn_service(handle));
        let sockets = addresses.map(listeners::bind).collect::<std::io::Result<Vec<_>>>()?;
        let listener = listeners::serve(application.finish(), sockets, threads, name)?;
        Ok(Self { listener: Some(listener) })
    }
}

impl Drop for HttpStandIn {
    fn drop(&mut self) {
        if let Some(listener) = self.listener.take() {
            listener.stop(Duration::ZERO);
        }
    }
}

async fn handle(mut context: WebContext<'_, Handler>) -> Result<WebResponse, Infallible> {
    let handler = context.state().clone();
    let (parts, extension) = context.take_request().into_parts();
    let (_, body) = extension.replace_body(());
    Ok(match read_whole(body).await {
        Some(body) => handler(Request::from_parts(parts, body)).await,
        // The caller broke off its request and reads no answer.
        None => WebResponse::new(ResponseBody::none()),
    })
}

async fn read_whole(mut body: RequestBody) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    while let Some(piece) = body.data().await {
        bytes.extend_from_slice(&piece.ok()?);
    }
    Some(bytes)
}

/// An answer with this status and text.
pub(crate) fn text_response(status: StatusCode, text: String) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::bytes(text));
    *response.status_mut() = status;
    response
}
