//! What a deployment plugs into the daemon: its store, its documents, its HTTP conventions.
//!
//! The daemon decides, keeps state and recovers; an adapter for a platform only translates, through the traits named here. A program
//! chooses its [`Ports`] once, at the start; the product's own are [`Ports::own`].

use crate::conventions::{HttpConventions, OwnConventions};
use crate::settings::Settings;
use crate::store::{Store, StoreClient};
use seamhatch_policy::{Configuration, ConfigurationError, StoredConfiguration};
use std::fmt;
use std::sync::Arc;

/// How configurations are written down.
pub trait DocumentFormat: fmt::Debug + Send + Sync {
    /// Reads the value that an operator has written into a followed store.
    ///
    /// # Errors
    /// It is not a configuration of this format.
    fn read(&self, value: &[u8]) -> Result<StoredConfiguration, ConfigurationError>;

    /// Checks and compiles a document.
    ///
    /// # Errors
    /// The first [`ConfigurationError`] found.
    fn compile(&self, document: &str) -> Result<Configuration, ConfigurationError>;
}

/// The product's own documents.
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

/// A store that operators write into and that keeps what it acknowledged, with the names of its keys.
#[derive(Debug, Clone)]
pub struct FollowedStore {
    /// The store.
    pub store: Arc<dyn Store>,
    /// Key of the operators' configuration.
    pub configuration_key: String,
    /// Prefix of the daemons' own records.
    pub member_prefix: String,
}

/// Where configurations come from, and who remembers accepted ones.
#[derive(Debug, Clone)]
pub enum Backing {
    /// Operators submit to daemons, whose witnesses hold what was accepted; the store may go back in time.
    Witnessed(StoreClient),
    /// Operators write into a store that keeps what it acknowledged, so the daemons only follow it.
    Followed(FollowedStore),
}

/// Which listeners take requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryLayout {
    /// Callers and the back end beside the daemon use listeners of their own.
    Separate,
    /// Callers and the back end share one listener; the back end's calls are recognized by their names.
    Shared,
}

/// Everything that a deployment plugs in.
#[derive(Debug, Clone)]
pub struct Ports {
    /// How HTTP carries names, deadlines and outcomes.
    pub conventions: Arc<dyn HttpConventions>,
    /// How configurations are written down.
    pub documents: Arc<dyn DocumentFormat>,
    /// Where they come from.
    pub backing: Backing,
    /// Which listeners take requests.
    pub layout: EntryLayout,
}

impl Ports {
    /// The product's own.
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
