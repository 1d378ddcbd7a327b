//! Tenants: who may send requests, with which keys, and at which rate.
//!
//! [`TenantTable`] is built once per configuration and never changed. Keys are in it as digests only; neither errors
//! nor `Debug` output show one.

use crate::error::ConfigurationError;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::sync::Arc;

/// Longest name of a tenant, in bytes. It goes into a header field of each of its requests. Chosen, not measured.
const LONGEST_NAME: usize = 128;
/// Longest key, in bytes. Chosen, not measured.
const LONGEST_KEY: usize = 512;
/// Highest rate and burst, in requests a second and requests: no limit in practice. Chosen, not measured.
const HIGHEST_RATE: f64 = 1e9;

/// A tenant's key as the document spells it. It is shown nowhere.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ApiKey(pub String);

impl fmt::Debug for ApiKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ApiKey(..)")
    }
}

/// SHA-256 of a key. Looking keys up by digest takes the same time whatever the key is, and keeps the keys themselves
/// out of memory.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Reads 64 hexadecimal digits.
    fn parse(text: &str) -> Option<Self> {
        if text.len() != 64 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return None;
        }
        let mut digest = [0; 32];
        for (index, byte) in digest.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
        }
        Some(Self(digest))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

/// A tenant as the document describes it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TenantSettings {
    /// Its name, which back ends see.
    pub name: String,
    /// Keys that it may use.
    pub keys: Vec<ApiKey>,
    /// Keys that it may use, each as the SHA-256 of the key in hexadecimal digits.
    pub key_digests: Vec<String>,
    /// Order of importance of its requests, 0 first; that of their route when left out.
    pub rank: Option<u8>,
    /// Requests a second over all daemons; no limit when 0 or left out.
    pub rate: Option<f64>,
    /// Requests on top of the rate that may come at once.
    pub burst: Option<f64>,
}

/// How many requests a tenant may make, over all daemons.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimit {
    /// Requests a second.
    pub rate: f64,
    /// Requests on top of these, in any span.
    pub burst: f64,
}

/// A tenant as daemons decide with it.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Order of importance of its requests; that of their route where there is none.
    pub rank: Option<u8>,
    /// How many requests it may make; any number where there is none.
    pub limit: Option<RateLimit>,
}

/// The tenants of a configuration.
#[derive(Debug, Default)]
pub struct TenantTable {
    by_key: HashMap<KeyDigest, Arc<Tenant>>,
    by_name: BTreeMap<String, Arc<Tenant>>,
}

impl TenantTable {
    /// Checks the tenants of a document.
    ///
    /// # Errors
    /// The first [`ConfigurationError`] found. None shows a key.
    pub fn new(settings: &[TenantSettings]) -> Result<Self, ConfigurationError> {
        let mut table = Self::default();
        for tenant in settings {
            table.add(tenant)?;
        }
        Ok(table)
    }

    fn add(&mut self, settings: &TenantSettings) -> Result<(), ConfigurationError> {
        let name = &settings.name;
        if name.is_empty() || name.len() > LONGEST_NAME || !name.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(ConfigurationError::BadTenantName { name: name.clone() });
        }
        let tenant =
            Arc::new(Tenant { name: name.clone(), rank: settings.rank, limit: settings.checked_limit()? });
        if self.by_name.insert(name.clone(), tenant.clone()).is_some() {
            return Err(ConfigurationError::DuplicateTenant { name: name.clone() });
        }
        for digest in settings.digests()? {
            let holder = self.by_key.insert(digest, tenant.clone());
            if let Some(holder) = holder.filter(|holder| holder.name != *name) {
                let (first, second) = (holder.name.clone(), name.clone());
                return Err(ConfigurationError::SharedKey { first, second });
            }
        }
        Ok(())
    }

    /// Whether there are none, so that requests need no key.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// The tenant that holds a key.
    #[must_use]
    pub fn holder(&self, key: KeyDigest) -> Option<&Arc<Tenant>> {
        self.by_key.get(&key)
    }

    /// The tenant with this name.
    #[must_use]
    pub fn named(&self, name: &str) -> Option<&Arc<Tenant>> {
        self.by_name.get(name)
    }

    /// All tenants, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Tenant>> {
        self.by_name.values()
    }
}

impl TenantSettings {
    fn checked_limit(&self) -> Result<Option<RateLimit>, ConfigurationError> {
        let rate = self.checked_number("rate", self.rate)?;
        let burst = self.checked_number("burst", self.burst)?;
        Ok((rate > 0.0).then_some(RateLimit { rate, burst }))
    }

    /// A rate or a burst; 0 where it is left out, which means no limit.
    fn checked_number(&self, field: &str, value: Option<f64>) -> Result<f64, ConfigurationError> {
        let value = value.unwrap_or_default();
        if (0.0..=HIGHEST_RATE).contains(&value) {
            return Ok(value);
        }
        let key = format!("tenants.{}.{field}", self.name);
        Err(ConfigurationError::OutOfRange { key, value: value.to_string(), range: "0 to 1000000000" })
    }

    fn digests(&self) -> Result<Vec<KeyDigest>, ConfigurationError> {
        let bad_key = || ConfigurationError::BadKey { tenant: self.name.clone() };
        let is_key = |key: &str| {
            (1..=LONGEST_KEY).contains(&key.len()) && key.bytes().all(|byte| byte.is_ascii_graphic())
        };
        let mut digests = Vec::with_capacity(self.keys.len() + self.key_digests.len());
        for ApiKey(key) in &self.keys {
            digests.push(is_key(key).then(|| KeyDigest::of(key.as_bytes())).ok_or_else(bad_key)?);
        }
        for digest in &self.key_digests {
            digests.push(KeyDigest::parse(digest).ok_or_else(bad_key)?);
        }
        Ok(digests)
    }
}
