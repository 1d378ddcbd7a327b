//! Names of hosts, as requests and documents write them.

/// One spelling of a host for all the ways to write it: without a port, in lower case, without the dot that
/// ends a full name.
#[must_use]
pub fn host_name(written: &str) -> String {
    let name = without_port(written.trim());
    name.strip_suffix('.').unwrap_or(name).to_ascii_lowercase()
}

/// The colons of an address in brackets belong to it.
fn without_port(written: &str) -> &str {
    match written.find(']') {
        Some(end) if written.starts_with('[') => &written[..=end],
        _ => written.split(':').next().unwrap_or_default(),
    }
}
