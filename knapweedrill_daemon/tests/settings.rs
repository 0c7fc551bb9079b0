//! Settings are validated as a whole, and every error names the line, section and key.

use std::time::Duration;

use knapweedrill::entry::PlacementPolicy;
use knapweedrill_daemon::settings::{
    LimitSettings, LoggingSettings, RoleSettings, Settings, TimingSettings,
};
use knapweedrill_daemon::telemetry::{LogFormat, LogLevel};
use test_case::test_case;

const ENTRY: &str = "
[process]
role = entry
name = entry-1
worker = worker-1
failure_domain = fd-1
[listen]
http = 127.1.2.3:7000
link = 127.1.2.3:7001
[seeds]
entries = 127.1.2.1:7001, 127.1.2.2:7001
[log]
address = 127.1.2.9:7100
";

const SIDECAR: &str = "
[process]
role = sidecar
name = sidecar-1
worker = worker-1
failure_domain = fd-1
[listen]
http = 127.1.2.3:7000
link = 127.1.2.3:7001
[seeds]
entries = 127.1.2.1:7001
[minion]
service = embossing
";

fn error_message(text: &str) -> String {
    Settings::parse(text, "x.ini").unwrap_err().to_string()
}

#[test]
fn entry_settings_parse_with_defaults() {
    let settings = Settings::parse(ENTRY, "x.ini").unwrap();
    let RoleSettings::Entry(log) = &settings.role else {
        panic!("not an entry: {settings:?}");
    };
    assert_eq!(log.address.to_string(), "127.1.2.9:7100");
    assert_eq!(settings.process.name, "entry-1");
    assert_eq!(settings.process.worker, "worker-1");
    assert_eq!(settings.process.failure_domain, "fd-1");
    assert_eq!(settings.listen.http.to_string(), "127.1.2.3:7000");
    assert_eq!(settings.listen.link.to_string(), "127.1.2.3:7001");
    assert_eq!(settings.seed_addresses.len(), 2);
    assert_eq!(settings.limits, LimitSettings::default());
    assert_eq!(settings.timing, TimingSettings::default());
    assert_eq!(settings.logging, LoggingSettings::default());
    assert_eq!(settings.placement, PlacementPolicy::LateBindingBySpeed);
    assert_eq!(settings.statsd_address, None);
}

#[test]
fn every_optional_setting_is_parsed() {
    let text = format!(
        "{SIDECAR}
[limits]
shutdown_deadline_ms = 1
kept_keys_ms = 3
generation_ms = 2
answer_bytes = 4
event_count = 5
request_bytes = 6
connection_count = 7
prefetch_count = 0
[timing]
heartbeat_ms = 8
ping_ms = 9
silent_ms = 10
[metrics]
statsd = 127.0.0.1:8125
[logging]
level = debug
format = text
[policy]
placement = round-robin
"
    );
    let settings = Settings::parse(&text, "x.ini").unwrap();
    let RoleSettings::Sidecar(minion) = &settings.role else {
        panic!("not a sidecar: {settings:?}");
    };
    assert_eq!(minion.service, "embossing");
    let limits = LimitSettings {
        shutdown_deadline: Duration::from_millis(1),
        key_retention: Duration::from_millis(3),
        token_rotation_interval: Duration::from_millis(2),
        answer_bytes: 4,
        event_count: 5,
        request_bytes: 6,
        connection_count: 7,
        prefetch_count: 0,
    };
    assert_eq!(settings.limits, limits);
    let timing = TimingSettings {
        heartbeat_period: Duration::from_millis(8),
        ping_interval: Duration::from_millis(9),
        silence_timeout: Duration::from_millis(10),
    };
    assert_eq!(settings.timing, timing);
    assert_eq!(settings.statsd_address.unwrap().port(), 8125);
    assert_eq!(settings.logging.level, LogLevel::Debug);
    assert_eq!(settings.logging.format, LogFormat::Text);
    assert_eq!(settings.placement, PlacementPolicy::RoundRobin);
}

#[test_case("role = entry", "role = both", "line 3: [process] role: 'both' is not valid; allowed: entry, sidecar"; "role")]
#[test_case("name = entry-1", "name = Entry_1", "line 4: [process] name: 'Entry_1' is not valid"; "name")]
#[test_case("name = entry-1", "", "[process] name: the value is missing"; "missing name")]
#[test_case("http = 127.1.2.3:7000", "http = localhost:7000", "line 8: [listen] http: 'localhost:7000'"; "host name")]
#[test_case("http = 127.1.2.3:7000", "http = 127.1.2.3", "[listen] http: '127.1.2.3'"; "no port")]
#[test_case("http = 127.1.2.3:7000", "http = 127.1.2.3:0", "[listen] http: '127.1.2.3:0'"; "port zero")]
#[test_case("link = 127.1.2.3:7001", "link = 0.0.0.0:7001", "[listen] link: '0.0.0.0:7001'"; "unspecified address")]
#[test_case("link = 127.1.2.3:7001", "link = 127.1.2.3:7000", "other than that of http"; "link address equal to http address")]
#[test_case("127.1.2.1:7001, ", "127.1.2.1:7001,, ", "line 11: [seeds] entries"; "empty seed")]
#[test_case("[log]", "[minion]\nservice = a\n[log]", "[minion] the section is unknown"; "minion section of an entry")]
#[test_case("address = ", "host = ", "[log] host: the key is unknown; allowed: address"; "unknown key")]
#[test_case("[log]", "[limits]\nrequest_bytes = 1M\n[log]", "[limits] request_bytes: '1M'"; "unit suffix")]
#[test_case("[log]", "[limits]\nkept_keys_ms = 1\n[log]", "not less than generation_ms, which is 60000"; "key retention below token rotation")]
#[test_case("[log]", "[timing]\nsilent_ms = 249\n[log]", "not less than ping_ms, which is 250"; "silence timeout below ping interval")]
#[test_case("[log]", "[policy]\nplacement = best\n[log]", "allowed: late-binding-by-speed, late-binding, fewest-outstanding, round-robin, random"; "placement")]
#[test_case("[log]", "[process]\n[log]", "was given in line 2 already"; "duplicate section")]
#[test_case("name = entry-1", "name = entry-1 ; first", "has a comment after the value"; "comment after a value")]
fn invalid_setting_is_reported(from: &str, to: &str, expected: &str) {
    let text = ENTRY.replacen(from, to, 1);
    assert_ne!(text, ENTRY);
    let message = error_message(&text);
    assert!(message.contains(expected), "{message}");
    assert!(message.lines().all(|line| line.starts_with("x.ini: ")));
}

#[test]
fn all_problems_are_reported_at_once() {
    let text = ENTRY
        .replace("entry-1", "Entry")
        .replace("http = 127.1.2.3:7000", "")
        .replace("127.1.2.9:7100", "nowhere");
    assert_eq!(error_message(&text).lines().count(), 3);
}

#[test]
fn empty_file_reports_every_required_key() {
    let message = error_message("");
    for key in [
        "role",
        "name",
        "worker",
        "failure_domain",
        "http",
        "link",
        "entries",
    ] {
        assert!(
            message.contains(&format!("] {key}: the value is missing")),
            "{message}"
        );
    }
}

#[test]
fn advertised_address_overrides_listen_address() {
    let advertised = "link = 127.1.2.3:7001\nlink_advertised = 127.9.9.9:17001";
    let text = ENTRY.replace("link = 127.1.2.3:7001", advertised);
    let listen = Settings::parse(&text, "x.ini").unwrap().listen;
    assert_eq!(listen.link.to_string(), "127.1.2.3:7001");
    assert_eq!(listen.reachable_link().to_string(), "127.9.9.9:17001");
    assert_eq!(listen.reachable_http(), listen.http);
}
