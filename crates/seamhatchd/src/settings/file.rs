//! The format of the settings file.
//!
//! Defines only names and types; `checks` validates the values. Unknown keys are rejected.

use super::SettingsError;
use serde::Deserialize;
use std::path::Path;

/// The settings file as written. Every key is optional here, as a flag may set it instead.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct SettingsFile {
    pub(super) cluster: Option<String>,
    pub(super) region: Option<String>,
    pub(super) zone: Option<String>,
    pub(super) service: Option<String>,
    pub(super) listen: ListenFile,
    pub(super) advertise: AdvertiseFile,
    pub(super) backend: BackendFile,
    pub(super) platform: PlatformFile,
    pub(super) membership: MembershipFile,
    pub(super) log: LogFile,
    pub(super) threads: ThreadsFile,
    pub(super) stop: StopFile,
    pub(super) retries: RetriesFile,
    pub(super) tenants: TenantsFile,
    pub(super) quotas: QuotasFile,
}

#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct ListenFile {
    pub(super) ingress: Option<String>,
    pub(super) egress: Option<String>,
    pub(super) peer: Option<String>,
    pub(super) gossip: Option<String>,
    pub(super) admin: Option<String>,
    pub(super) registry: Option<String>,
    pub(super) metrics: Option<String>,
}

#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct StopFile {
    pub(super) grace_s: Option<f64>,
}

#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct RetriesFile {
    pub(super) ratio: Option<f64>,
    pub(super) slack: Option<f64>,
}

#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct TenantsFile {
    pub(super) revocation_ms: Option<f64>,
}

#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct QuotasFile {
    pub(super) window_s: Option<f64>,
    pub(super) overage: Option<f64>,
    pub(super) slack: Option<f64>,
    pub(super) shards: Option<u32>,
}

#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct AdvertiseFile {
    pub(super) peer: Option<String>,
    pub(super) gossip: Option<String>,
}

#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct BackendFile {
    pub(super) address: Option<String>,
    pub(super) slots: Option<u32>,
}

#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct PlatformFile {
    pub(super) store: Option<String>,
    pub(super) machines: Option<String>,
}

#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct MembershipFile {
    pub(super) seeds: Vec<String>,
    pub(super) first_start: bool,
}

#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct LogFile {
    pub(super) level: Option<String>,
    pub(super) format: Option<String>,
}

#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct ThreadsFile {
    pub(super) traffic: Option<usize>,
}

impl SettingsFile {
    /// Reads a file without validating its values.
    ///
    /// # Errors
    /// The file can't be read, is not valid TOML, or contains an unknown key.
    pub(super) fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| SettingsError::Unreadable { path: path.to_owned(), source })?;
        toml::from_str(&text).map_err(|error| SettingsError::Syntax {
            path: path.to_owned(),
            detail: error.to_string().trim().to_owned(),
        })
    }
}
