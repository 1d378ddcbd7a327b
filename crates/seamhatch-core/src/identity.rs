//! Identifiers of requests, calls and processes.

use crate::wire_number::wire_number;
use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};
use std::fmt;
use std::net::{AddrParseError, IpAddr, SocketAddr};
use std::str::FromStr;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

wire_number! {
    /// Identifies one external request, across its whole chain of calls.
    pub struct RootId(pub u128);
}

impl fmt::Display for RootId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

wire_number! {
    /// Identifies one dispatch of a call, unique within the sending daemon's incarnation.
    pub struct CallId(pub u64);
}

wire_number! {
    /// Identifies one run of a daemon process; a restart gives a larger number.
    #[derive(Default)]
    pub struct Incarnation(pub u64);
}

impl fmt::Display for Incarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

wire_number! {
    /// A 64-bit digest of call content, used to recognise a repeat of the same call.
    pub struct Fingerprint(pub u64);
}

impl Fingerprint {
    /// Digests the parts in order, each with its length.
    #[must_use]
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut buffer = Vec::with_capacity(parts.iter().map(|part| part.len() + 8).sum());
        for part in parts {
            buffer.extend_from_slice(&(part.len() as u64).to_le_bytes());
            buffer.extend_from_slice(part);
        }
        Self(xxh3_64(&buffer))
    }
}

wire_number! {
    /// Digest of what is requested, the same at every daemon: equal for two requests with the same caller, target and
    /// body.
    pub struct RequestDigest(pub u64);
}

impl RequestDigest {
    /// Digests the parts in order, each with its length, without allocating.
    #[must_use]
    pub fn of(parts: &[&[u8]]) -> Self {
        let digest = parts.iter().fold(0, |digest: u64, part| {
            xxh3_64_with_seed(part, digest.rotate_left(1).wrapping_add(part.len() as u64))
        });
        Self(digest)
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl FromStr for RequestDigest {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// An IP address and port, as sent between daemons; written `ip:port` in text.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct Address {
    /// IPv4 or IPv6 address.
    pub ip: IpAddr,
    /// TCP or UDP port.
    pub port: u16,
}

impl From<SocketAddr> for Address {
    fn from(address: SocketAddr) -> Self {
        Self { ip: address.ip(), port: address.port() }
    }
}

impl From<Address> for SocketAddr {
    fn from(address: Address) -> Self {
        Self::new(address.ip, address.port)
    }
}

impl fmt::Display for Address {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        SocketAddr::from(*self).fmt(formatter)
    }
}

impl FromStr for Address {
    type Err = AddrParseError;

    fn from_str(text: &str) -> Result<Self, AddrParseError> {
        text.parse::<SocketAddr>().map(Self::from)
    }
}

impl TryFrom<String> for Address {
    type Error = AddrParseError;

    fn try_from(text: String) -> Result<Self, AddrParseError> {
        text.parse()
    }
}

impl From<Address> for String {
    fn from(address: Address) -> Self {
        address.to_string()
    }
}
