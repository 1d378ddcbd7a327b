//! The operators' configuration: one TOML document with services, routes,
//! limits and a short policy program, checked before it is accepted.
//!
//! [`Document::parse`] reads and checks a document, [`Configuration::compile`]
//! makes from it what a daemon decides with, and [`StoredConfiguration`] is
//! what lies in the key-value service and travels between daemons.

mod configuration;
mod document;
mod error;
mod host;
mod program;
mod stored;

pub use configuration::{Configuration, Route};
pub use document::{
    CrashSettings, Document, LimitSettings, RouteAttributes, RouteSettings, Sample, ServiceSettings,
    WeightedService,
};
pub use error::ConfigurationError;
pub use host::host_name;
pub use program::{Decision, PolicyProgram, PolicyRequest, RouteView, ServerView};
pub use stored::{StoredConfiguration, SubmissionRecord};
