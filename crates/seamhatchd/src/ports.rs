//! Interfaces that a deployment implements for the daemon: store, document format, HTTP conventions.
//!
//! The daemon makes decisions, keeps state and recovers from faults; an adapter for a platform only translates, through the traits
//! named here. A program chooses its [`Ports`] once, at the start; [`Ports::own`] returns the product's own.

use crate::conventions::{HttpConventions, OwnConventions};
use crate::settings::Settings;
use crate::store::{Store, StoreClient};
use seamhatch_policy::{Configuration, ConfigurationError, StoredConfiguration};
use std::fmt;
use std::sync::Arc;

/// Format of configuration documents.
pub trait DocumentFormat: fmt::Debug + Send + Sync {
    /// Parses a value that an operator has written into a followed store.
    ///
    /// # Errors
    /// The value is not a configuration in this format.
    fn read(&self, value: &[u8]) -> Result<StoredConfiguration, ConfigurationError>;

    /// Checks and compiles a document.
    ///
    /// # Errors
    /// The first [`ConfigurationError`] found.
    fn compile(&self, document: &str) -> Result<Configuration, ConfigurationError>;
}

/// The product's own document format, TOML.
#[derive(Debug, Clone, Copy, Default)]
pub struct TomlDocuments;

impl DocumentFormat for TomlDocuments {
    fn read(&self, value: &[u8]) -> Result<StoredConfiguration, ConfigurationError> {
        serde_json::from_slice(value)
            .map_err(|error| ConfigurationError::Syntax { detail: error.to_string() })
    }

    fn compile(&self, document: &str) -> Result<Configuration, ConfigurationError> {
        Configuration::compile(document)
    }
}

/// A durable store into which operators write, with the names of its keys.
#[derive(Debug, Clone)]
pub struct FollowedStore {
    /// The store.
    pub store: Arc<dyn Store>,
    /// Key of the operators' configuration.
    pub configuration_key: String,
    /// Prefix of the daemons' own records.
    pub member_prefix: String,
}

/// Source of configurations, and the place where accepted ones are kept.
#[derive(Debug, Clone)]
pub enum Backing {
    /// Operators submit configurations to daemons, and the witnesses hold the accepted ones; the store may revert to an earlier state.
    Witnessed(StoreClient),
    /// Operators write into a store that never loses an acknowledged write, so the daemons only follow it.
    Followed(FollowedStore),
}

/// The listeners that accept requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryLayout {
    /// Callers and the back end beside the daemon use separate listeners.
    Separate,
    /// Callers and the back end share one listener; calls of the back end are recognized by their names.
    Shared,
}

/// All interfaces that a deployment supplies.
#[derive(Debug, Clone)]
pub struct Ports {
    /// Mapping of names, deadlines and outcomes to HTTP.
    pub conventions: Arc<dyn HttpConventions>,
    /// Format of configuration documents.
    pub documents: Arc<dyn DocumentFormat>,
    /// Source of configurations.
    pub backing: Backing,
    /// The listeners that accept requests.
    pub layout: EntryLayout,
}

impl Ports {
    /// The product's own implementations.
    #[must_use]
    pub fn own(settings: &Settings) -> Self {
        Self {
            conventions: Arc::new(OwnConventions),
            documents: Arc::new(TomlDocuments),
            backing: Backing::Witnessed(StoreClient::new(settings.store)),
            layout: EntryLayout::Separate,
        }
    }
}
