//! Names of hosts in one spelling, so that requests and documents can be compared.

/// A host without port, in lower case, without the dot that may end a full name.
#[must_use]
pub fn host_name(written: &str) -> String {
    let name = without_port(written.trim());
    name.strip_suffix('.').unwrap_or(name).to_ascii_lowercase()
}

/// The colons of an IPv6 address in brackets are part of the host.
fn without_port(written: &str) -> &str {
    match written.find(']') {
        Some(end) if written.starts_with('[') => &written[..=end],
        _ => written.split(':').next().unwrap_or_default(),
    }
}
