//! The operators' configuration: one TOML document with services, routes, tenants, limits and a short policy
//! program, checked before it is accepted.
//!
//! [`Document::parse`] reads and checks a document, [`Configuration::compile`] makes from it what a daemon decides
//! with, and [`StoredConfiguration`] is the form in the store and between daemons. The crate keeps no state and does
//! no input or output. The daemon's controllers compile, its filters decide; the operators' client checks with it.

mod checks;
mod configuration;
mod document;
mod error;
mod host;
mod program;
mod stored;
mod tenant;

pub use configuration::{Configuration, Route};
pub use document::{
    AdmissionSettings, CrashSettings, Document, LimitSettings, RouteAttributes, RouteSettings, Sample,
    ServiceSettings, WeightedService,
};
pub use error::ConfigurationError;
pub use host::host_name;
pub use program::{Decision, PolicyProgram, PolicyRequest, RouteView, ServerView, TenantView};
pub use stored::{StoredConfiguration, SubmissionRecord};
pub use tenant::{ApiKey, KeyDigest, RateLimit, Tenant, TenantSettings, TenantTable};
