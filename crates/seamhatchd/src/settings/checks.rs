//! Validation of the settings. Each error names the key, the value and the remedy.
//!
//! There is one function per table of the settings file. The first invalid value in the order of the checks is reported. Only
//! [`super::from_arguments`] calls this module, at the start and when the settings are reloaded.

use super::file::{
    AdvertiseFile, BackendFile, ListenFile, LogFile, MembershipFile, QuotasFile, RetriesFile, SettingsFile,
    StopFile, TenantsFile, ThreadsFile,
};
use super::{AdvertiseSettings, ListenSettings, LogFormat, LogSettings, RetryBound, Settings, SettingsError};
use seamhatch_core::clock::Microseconds;
use seamhatch_core::identity::Address;
use seamhatch_core::quota::QuotaPolicy;
use std::time::Duration;

/// Maximum number of traffic threads; more than the number of cores of a machine that runs one back end.
const MAX_THREADS: usize = 64;
/// Default number of traffic threads.
const DEFAULT_TRAFFIC_THREADS: usize = 2;
/// Default window in seconds over which a tenant's limit is evaluated.
const DEFAULT_QUOTA_WINDOW_S: f64 = 5.0;
/// Default fraction by which a tenant's limit may be exceeded in that window.
const DEFAULT_QUOTA_OVERAGE: f64 = 0.1;
/// Default number of shards of each limit. The loss of one holder costs an eighth of the limit, and an eighth of some tens of
/// requests per second is still some requests per second.
const DEFAULT_QUOTA_SHARDS: u32 = 8;
/// Maximum number of shards of a limit: members report the shards that they hold as a 64-bit mask.
const MAX_QUOTA_SHARDS: usize = u64::BITS as usize;
/// Maximum number of slots of a back end; catches mistyped numbers.
const MAX_SLOTS: u32 = 10_000;
/// Maximum length of the name of a cluster, region, zone or service, in bytes; each member's record contains these names.
const MAX_NAME_BYTES: usize = 40;
/// Minimum bound on the time for which a removed key may still be accepted, in milliseconds. A smaller value leaves no time to ask
/// the store again after a lost answer.
const MIN_REVOCATION_MS: f64 = 2_000.0;

impl SettingsFile {
    /// Checks all values.
    ///
    /// # Errors
    /// The first invalid value.
    pub(super) fn check(self) -> Result<Settings, SettingsError> {
        let listen = self.listen.check()?;
        let advertise = self.advertise.check(&listen)?;
        let slots = self.backend.check_slots(&listen)?;
        let traffic_threads = self.threads.check()?;
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
            first_start: self.membership.first_start,
            seeds: self.membership.check_seeds()?,
            grace: self.stop.check()?,
            retries: self.retries.check()?,
            revocation: self.tenants.check()?,
            quota: self.quotas.check()?,
            log: self.log.check()?,
            traffic_threads,
        })
    }
}

impl ListenFile {
    fn check(&self) -> Result<ListenSettings, SettingsError> {
        let listen = ListenSettings {
            ingress: address("listen.ingress", "--ingress", self.ingress.clone())?,
            egress: optional_address("listen.egress", self.egress.clone())?,
            peer: address("listen.peer", "--peer", self.peer.clone())?,
            gossip: address("listen.gossip", "--gossip", self.gossip.clone())?,
            admin: address("listen.admin", "--admin", self.admin.clone())?,
            registry: optional_address("listen.registry", self.registry.clone())?,
            metrics: optional_address("listen.metrics", self.metrics.clone())?,
        };
        check_listeners(&listen)?;
        Ok(listen)
    }
}

impl AdvertiseFile {
    /// Addresses that aren't set default to those of the listeners.
    fn check(&self, listen: &ListenSettings) -> Result<AdvertiseSettings, SettingsError> {
        Ok(AdvertiseSettings {
            peer: optional_address("advertise.peer", self.peer.clone())?.unwrap_or(listen.peer),
            gossip: optional_address("advertise.gossip", self.gossip.clone())?.unwrap_or(listen.gossip),
        })
    }
}

impl BackendFile {
    /// A back end that registers reports its own slots; until then it counts as having one.
    fn check_slots(&self, listen: &ListenSettings) -> Result<u32, SettingsError> {
        let slots = match (self.slots, listen.registry) {
            (Some(slots), _) => slots,
            (None, Some(_)) => 1,
            (None, None) => {
                return Err(SettingsError::Missing { key: "backend.slots", flag: "--slots" });
            }
        };
        in_range("backend.slots", slots as usize, 1..=MAX_SLOTS as usize, "a number from 1 to 10000")?;
        Ok(slots)
    }
}

impl ThreadsFile {
    fn check(&self) -> Result<usize, SettingsError> {
        let threads = self.traffic.unwrap_or(DEFAULT_TRAFFIC_THREADS);
        in_range("threads.traffic", threads, 1..=MAX_THREADS, "a number from 1 to 64")?;
        Ok(threads)
    }
}

impl MembershipFile {
    fn check_seeds(self) -> Result<Vec<Address>, SettingsError> {
        self.seeds.into_iter().map(|seed| parse_address("membership.seeds", seed)).collect()
    }
}

impl StopFile {
    fn check(self) -> Result<Option<Duration>, SettingsError> {
        let Some(grace) = self.grace_s else { return Ok(None) };
        number_in("stop.grace_s", grace, 1.0..=3600.0, "a number from 1 to 3600")?;
        Ok(Some(Duration::from_secs_f64(grace)))
    }
}

impl TenantsFile {
    fn check(self) -> Result<Option<Duration>, SettingsError> {
        let Some(milliseconds) = self.revocation_ms else { return Ok(None) };
        let range = MIN_REVOCATION_MS..=3_600_000.0;
        number_in("tenants.revocation_ms", milliseconds, range, "a number from 2000 to 3600000")?;
        Ok(Some(Duration::from_secs_f64(milliseconds / 1e3)))
    }
}

impl QuotasFile {
    fn check(self) -> Result<QuotaPolicy, SettingsError> {
        let window = self.window_s.unwrap_or(DEFAULT_QUOTA_WINDOW_S);
        let overage = self.overage.unwrap_or(DEFAULT_QUOTA_OVERAGE);
        let slack = self.slack.unwrap_or_default();
        let shards = self.shards.unwrap_or(DEFAULT_QUOTA_SHARDS);
        number_in("quotas.window_s", window, 1.0..=3600.0, "a number from 1 to 3600")?;
        number_in("quotas.overage", overage, 0.01..=1.0, "a number from 0.01 to 1")?;
        number_in("quotas.slack", slack, 0.0..=1e6, "a number from 0 to 1000000")?;
        in_range("quotas.shards", shards as usize, 1..=MAX_QUOTA_SHARDS, "a number from 1 to 64")?;
        let window = Duration::from_secs_f64(window).as_micros() as Microseconds;
        Ok(QuotaPolicy { window, overage, slack, shards })
    }
}

impl RetriesFile {
    fn check(self) -> Result<Option<RetryBound>, SettingsError> {
        let Some(ratio) = self.ratio else { return Ok(None) };
        let slack = self.slack.unwrap_or_default();
        number_in("retries.ratio", ratio, 0.0..=1.0, "a number from 0 to 1")?;
        // Accepted but unused: daemons keep within the ratio without it.
        number_in("retries.slack", slack, 0.0..=1e6, "a number from 0 to 1000000")?;
        Ok(Some(RetryBound { ratio }))
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
    if value.is_empty() || value.len() > MAX_NAME_BYTES || !value.chars().all(allowed) {
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
