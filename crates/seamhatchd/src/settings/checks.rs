//! Checks of the settings, each with an error that names key, value and remedy.

use super::file::{LogFile, QuotasFile, RetriesFile, SettingsFile, StopFile, TenantsFile};
use super::{AdvertiseSettings, ListenSettings, LogFormat, LogSettings, RetryBound, Settings, SettingsError};
use seamhatch_core::clock::Microseconds;
use seamhatch_core::identity::Address;
use seamhatch_core::quota::QuotaPolicy;
use std::time::Duration;

/// Most threads of one kind.
const MAX_THREADS: usize = 64;
/// Span in which a tenant's limit is judged, in seconds, and the part by which it may be exceeded.
const DEFAULT_QUOTA_WINDOW_S: f64 = 5.0;
const DEFAULT_QUOTA_OVERAGE: f64 = 0.1;
/// Parts of each limit: the loss of one holder costs an eighth, and an eighth of some tens of requests a second still
/// is some requests a second.
const DEFAULT_QUOTA_SHARDS: u32 = 8;
/// Most parts of a limit: a bit each in what members tell.
const MOST_QUOTA_SHARDS: usize = 64;
/// Most slots of a back end.
const MAX_SLOTS: u32 = 10_000;
/// Longest name of a cluster, region, zone or service.
const LONGEST_NAME: usize = 40;

impl SettingsFile {
    /// Checks all values.
    ///
    /// # Errors
    /// The first value that can't be used.
    pub(super) fn check(self) -> Result<Settings, SettingsError> {
        let listen = ListenSettings {
            ingress: address("listen.ingress", "--ingress", self.listen.ingress)?,
            egress: optional_address("listen.egress", self.listen.egress)?,
            peer: address("listen.peer", "--peer", self.listen.peer)?,
            gossip: address("listen.gossip", "--gossip", self.listen.gossip)?,
            admin: address("listen.admin", "--admin", self.listen.admin)?,
            registry: optional_address("listen.registry", self.listen.registry)?,
            metrics: optional_address("listen.metrics", self.listen.metrics)?,
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
            revocation: self.tenants.check()?,
            quota: self.quotas.check()?,
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

impl TenantsFile {
    fn check(self) -> Result<Option<Duration>, SettingsError> {
        let Some(milliseconds) = self.revocation_ms else { return Ok(None) };
        // Less leaves no time to ask the store again after an answer that was lost.
        number_in("tenants.revocation_ms", milliseconds, 2e3..=36e5, "a number from 2000 to 3600000")?;
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
        in_range("quotas.shards", shards as usize, 1..=MOST_QUOTA_SHARDS, "a number from 1 to 64")?;
        let window = Duration::from_secs_f64(window).as_micros() as Microseconds;
        Ok(QuotaPolicy { window, overage, slack, shards })
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
