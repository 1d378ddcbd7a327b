//! A daemon's settings, from a TOML file and from flags; flags override the file.
//!
//! [`from_arguments`] reads and checks them at the start, and again when the process receives SIGHUP. A [`Settings`] value never
//! changes afterwards. Names of keys and flags are part of the operators' interface (docs/OPERATIONS.md).

mod checks;
mod file;
mod flags;

pub use flags::HELP;

use file::SettingsFile;
use flags::{apply_flags, optional};
use pico_args::Arguments;
use seamhatch_core::identity::Address;
use seamhatch_core::quota::QuotaPolicy;
use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;

/// Invalid settings.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("the settings file {path} can't be read: {source}; check the path after --config")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The file has invalid syntax.
    #[error("the settings file {path} is not valid: {detail}; correct the line it names")]
    Syntax {
        /// The file.
        path: PathBuf,
        /// The parser's message, with the position.
        detail: String,
    },
    /// A value is missing.
    #[error("`{key}` is not set; set it in the settings file or with {flag}")]
    Missing {
        /// The key in the file.
        key: &'static str,
        /// The flag.
        flag: &'static str,
    },
    /// A value is invalid.
    #[error("`{key}` is {value:?}, which is not {wanted}; write {wanted}")]
    Invalid {
        /// The key in the file.
        key: String,
        /// The value given.
        value: String,
        /// Description of valid values.
        wanted: &'static str,
    },
    /// Two listeners share an address.
    #[error("`{first}` and `{second}` are both {address}; give each listener its own port")]
    SameAddress {
        /// One key.
        first: &'static str,
        /// The other.
        second: &'static str,
        /// Their address.
        address: Address,
    },
    /// An unknown flag or a flag without its value.
    #[error("{detail}; see seamhatchd --help")]
    Flag {
        /// Description of the error.
        detail: String,
    },
}

/// Checked settings.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the deployment.
    pub cluster: String,
    /// Region name.
    pub region: String,
    /// Zone name.
    pub zone: String,
    /// Service of the back end beside the daemon.
    pub service: String,
    /// Listening addresses.
    pub listen: ListenSettings,
    /// Addresses under which other daemons reach this one.
    pub advertise: AdvertiseSettings,
    /// HTTP address of the back end.
    pub backend: Address,
    /// Number of slots of the back end; a back end that registers reports its own.
    pub slots: u32,
    /// HTTP address of the key-value service.
    pub store: Address,
    /// HTTP address of the machine list, if there is one.
    pub machines: Option<Address>,
    /// Gossip addresses of the members contacted first.
    pub seeds: Vec<Address>,
    /// Whether the whole deployment starts for the first time, so that no earlier departure can be missing.
    pub first_start: bool,
    /// Maximum time between a stop request and the end of the process; `None` for a stop that waits for all work.
    pub grace: Option<Duration>,
    /// Bound on the retries that the whole deployment may cause at one service, if there is one.
    pub retries: Option<RetryBound>,
    /// Maximum time after the acceptance of a configuration for which any daemon, even a partitioned one, still accepts a key that the
    /// configuration removed; `None` when a daemon may always use the newest configuration that it knows.
    pub revocation: Option<Duration>,
    /// Precision with which the tenants' limits are enforced.
    pub quota: QuotaPolicy,
    /// Log level and format.
    pub log: LogSettings,
    /// Number of threads for requests and for connections to other daemons and to the back end.
    pub traffic_threads: usize,
}

/// Bound on the retries of all daemons at one service, in any window of a few seconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBound {
    /// Retries per request to the service, from 0 to 1.
    pub ratio: f64,
}

/// Listening addresses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenSettings {
    /// HTTP, for callers.
    pub ingress: Address,
    /// HTTP, for the back end's own calls; `None` when they arrive at the ingress.
    pub egress: Option<Address>,
    /// TCP, for other daemons.
    pub peer: Address,
    /// UDP, for other daemons.
    pub gossip: Address,
    /// HTTP, for operators.
    pub admin: Address,
    /// HTTP, for the back end's heartbeats; `None` when the back end counts as always present.
    pub registry: Option<Address>,
    /// HTTP, a second listener for the operators' pages at a fixed port for metrics collectors. The daemon runs without it when the
    /// address can't be bound.
    pub metrics: Option<Address>,
}

/// Addresses announced to other daemons; default to those of the listeners.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdvertiseSettings {
    /// TCP.
    pub peer: Address,
    /// UDP; identifies the member.
    pub gossip: Address,
}

/// Log settings.
#[derive(Debug, Clone, Copy)]
pub struct LogSettings {
    /// Lowest level that is written.
    pub level: log::LevelFilter,
    /// Format of a line.
    pub format: LogFormat,
}

/// Format of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable text.
    Text,
    /// One JSON object per line.
    Json,
}

/// Action requested on the command line.
#[derive(Debug)]
pub enum Invocation {
    /// Print the help.
    Help,
    /// Print the version.
    Version,
    /// Check the settings and stop.
    Check(Box<Settings>),
    /// Run the daemon.
    Run(Box<Settings>),
}

/// Reads the command line and, if it names one, the settings file.
///
/// # Errors
/// The first [`SettingsError`] found.
pub fn from_arguments(arguments: Vec<OsString>) -> Result<Invocation, SettingsError> {
    let mut arguments = Arguments::from_vec(arguments);
    if arguments.contains(["-h", "--help"]) {
        return Ok(Invocation::Help);
    }
    if arguments.contains(["-V", "--version"]) {
        return Ok(Invocation::Version);
    }
    let check = arguments.contains("--check");
    let mut file = match optional(&mut arguments, "--config")? {
        Some(path) => SettingsFile::read(Path::new(&path))?,
        None => SettingsFile::default(),
    };
    apply_flags(&mut file, &mut arguments)?;
    if let Some(unknown) = arguments.finish().first() {
        let detail = format!("unknown argument {:?}", unknown.to_string_lossy());
        return Err(SettingsError::Flag { detail });
    }
    let settings = Box::new(file.check()?);
    Ok(if check { Invocation::Check(settings) } else { Invocation::Run(settings) })
}
