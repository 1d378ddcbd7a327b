//! Settings: flags override the file, and each error names the key, the value and the remedy.

use seamhatch_core::clock::SECOND;
use seamhatch_core::quota::QuotaPolicy;
use seamhatchd::settings::{Invocation, from_arguments};
use std::ffi::OsString;
use std::time::Duration;

const MINIMAL: &str = "\
cluster = \"c\"
region = \"r\"
zone = \"z\"
service = \"s\"
[listen]
ingress = \"127.0.0.1:1\"
egress = \"127.0.0.1:2\"
peer = \"127.0.0.1:3\"
gossip = \"127.0.0.1:3\"
admin = \"127.0.0.1:4\"
[backend]
address = \"127.0.0.1:5\"
slots = 6
[platform]
store = \"127.0.0.1:7\"
";

fn load(text: &str, flags: &[&str]) -> Result<Invocation, String> {
    let file = tempfile::NamedTempFile::new().expect("creates");
    std::fs::write(file.path(), text).expect("writes");
    let path = file.path().to_string_lossy().into_owned();
    let mut arguments: Vec<OsString> = vec!["--config".into(), path.clone().into()];
    arguments.extend(flags.iter().map(OsString::from));
    from_arguments(arguments).map_err(|error| error.to_string().replace(&path, "FILE"))
}

#[test]
fn flags_override_the_file() {
    let flags = ["--zone", "other", "--slots", "9", "--seed", "127.0.0.2:3", "--seed", "127.0.0.3:3"];
    let Ok(Invocation::Run(settings)) = load(MINIMAL, &flags) else { panic!("valid") };
    assert_eq!((settings.zone.as_str(), settings.slots, settings.seeds.len()), ("other", 9, 2));
    assert_eq!(settings.advertise.peer, settings.listen.peer);
    assert!(matches!(load(MINIMAL, &["--check"]), Ok(Invocation::Check(_))));
}

#[test]
fn tenant_and_quota_settings_are_read() {
    let more = "[tenants]\nrevocation_ms = 4000\n[quotas]\nwindow_s = 2\noverage = 0.2\nslack = 3\nshards = 16\n[backend]";
    let Ok(Invocation::Run(settings)) = load(&MINIMAL.replace("[backend]", more), &[]) else {
        panic!("valid")
    };
    assert_eq!(settings.revocation, Some(Duration::from_secs(4)));
    assert_eq!(settings.quota, QuotaPolicy { window: 2 * SECOND, overage: 0.2, slack: 3.0, shards: 16 });
    let Ok(Invocation::Run(settings)) = load(MINIMAL, &[]) else { panic!("valid") };
    assert_eq!((settings.revocation, settings.quota.shards), (None, 8));
}

#[test]
fn errors_name_key_value_and_remedy() {
    let with = |from: &str, to: &str| MINIMAL.replace(from, to);
    let cases = [
        ("unknown key", with("[backend]", "[backend]\nslot = 3"), vec![]),
        ("missing", with("zone = \"z\"\n", ""), vec![]),
        ("bad address", with("127.0.0.1:5", "localhost"), vec![]),
        ("bad name", with("\"c\"", "\"two words\""), vec![]),
        ("no slots", with("slots = 6", "slots = 0"), vec![]),
        ("same address", with("127.0.0.1:2", "127.0.0.1:1"), vec![]),
        ("bad level", MINIMAL.into(), vec!["--log-level", "loud"]),
        ("bad number", MINIMAL.into(), vec!["--slots", "many"]),
        ("unknown flag", MINIMAL.into(), vec!["--verbose"]),
        ("flag without value", MINIMAL.into(), vec!["--zone"]),
        ("not TOML", "cluster = ".into(), vec![]),
        ("short revocation", with("[backend]", "[tenants]\nrevocation_ms = 100\n[backend]"), vec![]),
        ("no overage", with("[backend]", "[quotas]\noverage = 0\n[backend]"), vec![]),
        ("no shards", with("[backend]", "[quotas]\nshards = 0\n[backend]"), vec![]),
    ];
    let mut report = String::new();
    for (name, text, flags) in cases {
        let error = load(&text, &flags).expect_err("refused");
        report.push_str(&format!("{name}: {error}\n"));
    }
    insta::assert_snapshot!(report);
}
