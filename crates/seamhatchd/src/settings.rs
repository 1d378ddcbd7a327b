//! A daemon's settings, from a TOML file and from flags; flags win.

use pico_args::Arguments;
use seamhatch_core::identity::Address;
use serde::Deserialize;
use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;

/// Settings that can't be used.
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
    /// The file isn't valid.
    #[error("the settings file {path} is not valid: {detail}; correct the line it names")]
    Syntax {
        /// The file.
        path: PathBuf,
        /// The parser's message, with the place.
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
    /// A value can't be used.
    #[error("`{key}` is {value:?}, which is not {wanted}; write {wanted}")]
    Invalid {
        /// The key in the file.
        key: String,
        /// The value given.
        value: String,
        /// What it should be.
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
        /// What is wrong.
        detail: String,
    },
}

/// The settings file as written; every key may be left out in favour of a flag.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct SettingsFile {
    cluster: Option<String>,
    region: Option<String>,
    zone: Option<String>,
    service: Option<String>,
    listen: ListenFile,
    advertise: AdvertiseFile,
    backend: BackendFile,
    platform: PlatformFile,
    membership: MembershipFile,
    log: LogFile,
    threads: ThreadsFile,
    stop: StopFile,
    retries: RetriesFile,
}

#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct ListenFile {
    ingress: Option<String>,
    egress: Option<String>,
    peer: Option<String>,
    gossip: Option<String>,
    admin: Option<String>,
    registry: Option<String>,
}

#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct StopFile {
    grace_s: Option<f64>,
}

#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RetriesFile {
    ratio: Option<f64>,
    slack: Option<f64>,
}

#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct AdvertiseFile {
    peer: Option<String>,
    gossip: Option<String>,
}

#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct BackendFile {
    address: Option<String>,
    slots: Option<u32>,
}

#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct PlatformFile {
    store: Option<String>,
    machines: Option<String>,
}

#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct MembershipFile {
    seeds: Vec<String>,
    first_start: bool,
}

#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct LogFile {
    level: Option<String>,
    format: Option<String>,
}

#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct ThreadsFile {
    traffic: Option<usize>,
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
    /// Slots that the back end has; one that registers tells its own.
    pub slots: u32,
    /// HTTP address of the key-value service.
    pub store: Address,
    /// HTTP address of the machine list, if there is one.
    pub machines: Option<Address>,
    /// Gossip addresses to ask first.
    pub seeds: Vec<Address>,
    /// Whether the whole deployment starts for the first time, so that there is nothing to ask for.
    pub first_start: bool,
    /// Time between a stop request and the end of the process, at most; none for a patient stop.
    pub grace: Option<Duration>,
    /// Bound on the retries that the whole deployment may cause at one service, if there is one.
    pub retries: Option<RetryBound>,
    /// Logs.
    pub log: LogSettings,
    /// Threads for requests, connections between daemons and to the back end.
    pub traffic_threads: usize,
}

/// Bound on the retries of all daemons at one service, in any short window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBound {
    /// Retries for each request to the service.
    pub ratio: f64,
    /// Retries on top of these, whatever the number of requests.
    pub slack: f64,
}

/// Listening addresses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenSettings {
    /// HTTP, for callers.
    pub ingress: Address,
    /// HTTP, for the back end's own calls; none where they come in at the ingress.
    pub egress: Option<Address>,
    /// TCP, for other daemons.
    pub peer: Address,
    /// UDP, for other daemons.
    pub gossip: Address,
    /// HTTP, for operators.
    pub admin: Address,
    /// HTTP, for the back end's heartbeats; none where it is always there.
    pub registry: Option<Address>,
}

/// Addresses told to other daemons; those of the listeners unless set.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdvertiseSettings {
    /// TCP.
    pub peer: Address,
    /// UDP; names the member.
    pub gossip: Address,
}

/// Log settings.
#[derive(Debug, Clone, Copy)]
pub struct LogSettings {
    /// Least level that is written.
    pub level: log::LevelFilter,
    /// Form of a line.
    pub format: LogFormat,
}

/// Form of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

/// Most threads of one kind.
const MAX_THREADS: usize = 64;
/// Most slots of a back end.
const MAX_SLOTS: u32 = 10_000;
/// Longest name of a cluster, region, zone or service.
const LONGEST_NAME: usize = 40;

/// What the command line asks for.
#[derive(Debug)]
pub enum Invocation {
    /// Print the help.
    Help,
    /// Print the version.
    Version,
    /// Check the settings and stop.
    Check(Box<Settings>),
    /// Run.
    Run(Box<Settings>),
}

/// The help text.
pub const HELP: &str = "\
seamhatchd - overload control beside one back end

USAGE: seamhatchd [--config FILE] [FLAGS]

  --config FILE      settings file (TOML); flags win over it
  --check            check the settings, print what is wrong, and stop
  --cluster NAME     deployment; daemons of different ones refuse each other
  --region NAME      region
  --zone NAME        zone
  --service NAME     service of the back end
  --ingress IP:PORT  HTTP for callers
  --egress IP:PORT   HTTP for the back end's own calls
  --peer IP:PORT     TCP for other daemons
  --gossip IP:PORT   UDP for other daemons
  --admin IP:PORT    HTTP for operators
  --registry IP:PORT HTTP for the back end's heartbeats, if it sends any
  --advertise-peer IP:PORT, --advertise-gossip IP:PORT
                     where others reach --peer and --gossip, if elsewhere
  --backend IP:PORT  HTTP address of the back end
  --slots N          calls that the back end works on at once
  --store IP:PORT    the platform's key-value service
  --machines IP:PORT the platform's machine list
  --seed IP:PORT     gossip address of another daemon (may be repeated)
  --log-level LEVEL  error, warn, info, debug or trace (default info)
  --log-format FORM  text or json (default text)
  --traffic-threads N  threads for calls (default 2)
  --help, --version
";

/// Reads the command line and, if it names one, the settings file.
///
/// # Errors
/// [`SettingsError`], the first that is found.
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
        Some(path) => read_file(Path::new(&path))?,
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

fn optional(arguments: &mut Arguments, flag: &'static str) -> Result<Option<String>, SettingsError> {
    arguments.opt_value_from_str(flag).map_err(|error| SettingsError::Flag { detail: error.to_string() })
}

fn number<T: std::str::FromStr>(
    arguments: &mut Arguments,
    flag: &'static str,
) -> Result<Option<T>, SettingsError> {
    let Some(text) = optional(arguments, flag)? else { return Ok(None) };
    let invalid =
        |_| SettingsError::Invalid { key: flag.to_owned(), value: text.clone(), wanted: "a whole number" };
    text.parse().map(Some).map_err(|_| invalid(()))
}

fn read_file(path: &Path) -> Result<SettingsFile, SettingsError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| SettingsError::Unreadable { path: path.to_owned(), source })?;
    toml::from_str(&text).map_err(|error| SettingsError::Syntax {
        path: path.to_owned(),
        detail: error.to_string().trim().to_owned(),
    })
}

fn apply_flags(file: &mut SettingsFile, arguments: &mut Arguments) -> Result<(), SettingsError> {
    let texts: [(&'static str, &mut Option<String>); 17] = [
        ("--cluster", &mut file.cluster),
        ("--region", &mut file.region),
        ("--zone", &mut file.zone),
        ("--service", &mut file.service),
        ("--ingress", &mut file.listen.ingress),
        ("--egress", &mut file.listen.egress),
        ("--peer", &mut file.listen.peer),
        ("--gossip", &mut file.listen.gossip),
        ("--admin", &mut file.listen.admin),
        ("--registry", &mut file.listen.registry),
        ("--advertise-peer", &mut file.advertise.peer),
        ("--advertise-gossip", &mut file.advertise.gossip),
        ("--backend", &mut file.backend.address),
        ("--store", &mut file.platform.store),
        ("--machines", &mut file.platform.machines),
        ("--log-level", &mut file.log.level),
        ("--log-format", &mut file.log.format),
    ];
    for (flag, slot) in texts {
        if let Some(value) = optional(arguments, flag)? {
            *slot = Some(value);
        }
    }
    let seeds: Vec<String> = arguments
        .values_from_str("--seed")
        .map_err(|error| SettingsError::Flag { detail: error.to_string() })?;
    if !seeds.is_empty() {
        file.membership.seeds = seeds;
    }
    file.backend.slots = number(arguments, "--slots")?.or(file.backend.slots);
    file.threads.traffic = number(arguments, "--traffic-threads")?.or(file.threads.traffic);
    Ok(())
}

impl SettingsFile {
    fn check(self) -> Result<Settings, SettingsError> {
        let listen = ListenSettings {
            ingress: address("listen.ingress", "--ingress", self.listen.ingress)?,
            egress: optional_address("listen.egress", self.listen.egress)?,
            peer: address("listen.peer", "--peer", self.listen.peer)?,
            gossip: address("listen.gossip", "--gossip", self.listen.gossip)?,
            admin: address("listen.admin", "--admin", self.listen.admin)?,
            registry: optional_address("listen.registry", self.listen.registry)?,
        };
        check_listeners(&listen)?;
        let advertise = AdvertiseSettings {
            peer: optional_address("advertise.peer", self.advertise.peer)?.unwrap_or(listen.peer),
            gossip: optional_address("advertise.gossip", self.advertise.gossip)?.unwrap_or(listen.gossip),
        };
        // A back end that registers tells its slots itself.
        let slots = match (self.backend.slots, listen.registry) {
            (Some(slots), _) => slots,
            (None, Some(_)) => 1,
            (None, None) => {
                return Err(SettingsError::Missing { key: "backend.slots", flag: "--slots" });
            }
        };
        in_range("backend.slots", slots as usize, 1..=MAX_SLOTS as usize, "a number from 1 to 10000")?;
        let traffic_threads = self.threads.traffic.unwrap_or(2);
        in_range("threads.traffic", traffic_threads, 1..=MAX_THREADS, "a number from 1 to 64")?;
        let seeds: Result<Vec<Address>, SettingsError> =
            self.membership.seeds.into_iter().map(|seed| parse_address("membership.seeds", seed)).collect();
        Ok(Settings {
            cluster: name("cluster", "--cluster", self.cluster)?,
            region: name("region", "--region", self.region)?,
            zone: name("zone", "--zone", self.zone)?,
            service: name("service", "--service", self.service)?,
            listen,
            advertise,
            backend: address("backend.address", "--backend", self.backend.address)?,
            slots,
            store: address("platform.store", "--store", self.platform.store)?,
            machines: optional_address("platform.machines", self.platform.machines)?,
            seeds: seeds?,
            first_start: self.membership.first_start,
            grace: self.stop.check()?,
            retries: self.retries.check()?,
            log: self.log.check()?,
            traffic_threads,
        })
    }
}

impl StopFile {
    fn check(self) -> Result<Option<Duration>, SettingsError> {
        let Some(grace) = self.grace_s else { return Ok(None) };
        number_in("stop.grace_s", grace, 1.0..=3600.0, "a number from 1 to 3600")?;
        Ok(Some(Duration::from_secs_f64(grace)))
    }
}

impl RetriesFile {
    fn check(self) -> Result<Option<RetryBound>, SettingsError> {
        let Some(ratio) = self.ratio else { return Ok(None) };
        let bound = RetryBound { ratio, slack: self.slack.unwrap_or_default() };
        number_in("retries.ratio", bound.ratio, 0.0..=1.0, "a number from 0 to 1")?;
        number_in("retries.slack", bound.slack, 0.0..=1e6, "a number from 0 to 1000000")?;
        Ok(Some(bound))
    }
}

impl LogFile {
    fn check(self) -> Result<LogSettings, SettingsError> {
        let level = self.level.unwrap_or_else(|| "info".to_owned());
        let format = self.format.unwrap_or_else(|| "text".to_owned());
        let level_filter = level.parse().map_err(|_| SettingsError::Invalid {
            key: "log.level".to_owned(),
            value: level.clone(),
            wanted: "error, warn, info, debug or trace",
        })?;
        let format = match format.as_str() {
            "text" => LogFormat::Text,
            "json" => LogFormat::Json,
            _ => {
                let key = "log.format".to_owned();
                return Err(SettingsError::Invalid { key, value: format, wanted: "text or json" });
            }
        };
        Ok(LogSettings { level: level_filter, format })
    }
}

fn name(key: &'static str, flag: &'static str, value: Option<String>) -> Result<String, SettingsError> {
    let value = value.ok_or(SettingsError::Missing { key, flag })?;
    let allowed = |character: char| character.is_ascii_alphanumeric() || "-_.".contains(character);
    if value.is_empty() || value.len() > LONGEST_NAME || !value.chars().all(allowed) {
        let wanted = "1 to 40 letters, digits, '-', '_' or '.'";
        return Err(SettingsError::Invalid { key: key.to_owned(), value, wanted });
    }
    Ok(value)
}

fn address(key: &'static str, flag: &'static str, value: Option<String>) -> Result<Address, SettingsError> {
    parse_address(key, value.ok_or(SettingsError::Missing { key, flag })?)
}

fn optional_address(key: &str, value: Option<String>) -> Result<Option<Address>, SettingsError> {
    value.map(|text| parse_address(key, text)).transpose()
}

fn parse_address(key: &str, value: String) -> Result<Address, SettingsError> {
    value.parse().map_err(|_| SettingsError::Invalid {
        key: key.to_owned(),
        value,
        wanted: "an IP address and port, as in 10.0.0.1:7000",
    })
}

fn in_range(
    key: &str,
    value: usize,
    range: std::ops::RangeInclusive<usize>,
    wanted: &'static str,
) -> Result<(), SettingsError> {
    if range.contains(&value) {
        return Ok(());
    }
    Err(SettingsError::Invalid { key: key.to_owned(), value: value.to_string(), wanted })
}

fn number_in(
    key: &str,
    value: f64,
    range: std::ops::RangeInclusive<f64>,
    wanted: &'static str,
) -> Result<(), SettingsError> {
    if range.contains(&value) {
        return Ok(());
    }
    Err(SettingsError::Invalid { key: key.to_owned(), value: value.to_string(), wanted })
}

fn check_listeners(listen: &ListenSettings) -> Result<(), SettingsError> {
    let tcp = [
        ("listen.ingress", Some(listen.ingress)),
        ("listen.egress", listen.egress),
        ("listen.peer", Some(listen.peer)),
        ("listen.admin", Some(listen.admin)),
        ("listen.registry", listen.registry),
    ];
    for (index, (first, address)) in tcp.iter().enumerate() {
        let Some(address) = address else { continue };
        let same = tcp[index + 1..].iter().find(|(_, other)| *other == Some(*address));
        if let Some((second, _)) = same {
            return Err(SettingsError::SameAddress { first, second, address: *address });
        }
    }
    Ok(())
}
