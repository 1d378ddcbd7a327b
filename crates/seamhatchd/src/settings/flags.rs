//! Command-line flags, which override the settings file, and the help text.

use super::SettingsError;
use super::file::SettingsFile;
use pico_args::Arguments;

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
  --metrics IP:PORT  HTTP for collectors of metrics, besides --admin
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

/// The value of a flag, if the flag is given.
///
/// # Errors
/// The flag has no value.
pub(super) fn optional(
    arguments: &mut Arguments,
    flag: &'static str,
) -> Result<Option<String>, SettingsError> {
    arguments.opt_value_from_str(flag).map_err(|error| SettingsError::Flag { detail: error.to_string() })
}

fn number<T: std::str::FromStr>(
    arguments: &mut Arguments,
    flag: &'static str,
) -> Result<Option<T>, SettingsError> {
    let Some(text) = optional(arguments, flag)? else { return Ok(None) };
    let number = text.parse();
    number.map(Some).map_err(|_| SettingsError::Invalid {
        key: flag.to_owned(),
        value: text,
        wanted: "a whole number",
    })
}

/// Replaces values of the settings file with the values of flags.
///
/// # Errors
/// The value of a flag can't be parsed.
pub(super) fn apply_flags(file: &mut SettingsFile, arguments: &mut Arguments) -> Result<(), SettingsError> {
    let texts: [(&'static str, &mut Option<String>); 18] = [
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
        ("--metrics", &mut file.listen.metrics),
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
