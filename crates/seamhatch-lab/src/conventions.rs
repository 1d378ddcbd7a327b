//! The product's HTTP conventions, with the emulator's names of requests and calls in the daemons' logs.
//!
//! The emulator's `daemon` command runs with these; everything but the names is [`OwnConventions`].

use crate::backends::CALL_HEADER;
use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};
use seamhatch_core::admission::BackEndLoad;
use seamhatch_core::notice::AnswerNotice;
use seamhatch_wire::HeaderField;
use seamhatchd::conventions::{
    AnswerClassification, AnswerMark, BackEndCall, CallerTerms, HttpConventions, OwnAnswer, OwnConventions,
    field_text, text,
};
use seamhatchd::ports::Ports;
use seamhatchd::settings::Settings;
use std::sync::Arc;

/// The product's own ports with these conventions.
#[must_use]
pub fn lab_ports(settings: &Settings) -> Ports {
    Ports { conventions: Arc::new(NamedConventions), ..Ports::own(settings) }
}

/// [`OwnConventions`] that read names of requests and calls.
#[derive(Debug, Clone, Copy)]
struct NamedConventions;

impl HttpConventions for NamedConventions {
    fn caller_terms(&self, headers: &HeaderMap) -> CallerTerms {
        let name = text(headers, CALL_HEADER).map(str::to_owned);
        CallerTerms { name, ..OwnConventions.caller_terms(headers) }
    }

    fn requires_name(&self) -> bool {
        OwnConventions.requires_name()
    }

    fn passes_through(&self, name: &str) -> bool {
        OwnConventions.passes_through(name)
    }

    fn entry_fields(&self, own_service: &str) -> Vec<HeaderField> {
        OwnConventions.entry_fields(own_service)
    }

    fn tenant_field(&self) -> &'static str {
        OwnConventions.tenant_field()
    }

    fn request_name<'a>(&self, fields: &'a [HeaderField]) -> Option<&'a str> {
        field_text(fields, CALL_HEADER)
    }

    fn back_end_fields(&self, call: &BackEndCall<'_>) -> Vec<HeaderField> {
        OwnConventions.back_end_fields(call)
    }

    fn classify_answer(
        &self,
        call: &BackEndCall<'_>,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> AnswerClassification {
        OwnConventions.classify_answer(call, status, headers)
    }

    fn notice(&self, classification: &AnswerClassification, headers: &HeaderMap) -> AnswerNotice {
        OwnConventions.notice(classification, headers)
    }

    fn back_end_load(&self, headers: &HeaderMap) -> Option<BackEndLoad> {
        OwnConventions.back_end_load(headers)
    }

    fn own_answer(&self, answer: &OwnAnswer<'_>) -> Response<Bytes> {
        OwnConventions.own_answer(answer)
    }

    fn mark(&self, headers: &mut HeaderMap, mark: &AnswerMark) {
        OwnConventions.mark(headers, mark);
    }
}
