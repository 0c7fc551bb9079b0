//! Parsing of the declarative file: all problems are reported, each with its line, section and key.

use std::time::Duration;

use knapweedrill::contract::{Class, Configuration, Kind, Limits, Service, Team};
use test_case::test_case;

const FILE: &str = "[service embossing]
ejected_max_percent = 30
[kind proof]
service = embossing
class = urgent
idempotent = true
deadline_ms = 30000
[kind release]
service = embossing
deadline_ms = 1000
[team tin-a]
share_percent = 60
cap_percent = 80
[team tin-b]
share_percent = 40
[limits]
tasks_per_job = 1
queued_tasks = 2
queued_bytes = 3
payload_bytes = 4
deadline_max_ms = 30000
";

#[test]
fn all_values_are_parsed() {
    let configuration = Configuration::parse(FILE, "c.ini").unwrap();
    let expected = Configuration {
        services: vec![Service {
            name: "embossing".to_owned(),
            ejected_max_percent: 30,
        }],
        kinds: vec![
            Kind {
                name: "proof".to_owned(),
                service: "embossing".to_owned(),
                class: Class::Urgent,
                idempotent: true,
                deadline: Duration::from_secs(30),
            },
            Kind {
                name: "release".to_owned(),
                service: "embossing".to_owned(),
                class: Class::Normal,
                idempotent: false,
                deadline: Duration::from_secs(1),
            },
        ],
        teams: vec![
            Team {
                name: "tin-a".to_owned(),
                share_percent: 60,
                cap_percent: 80,
            },
            Team {
                name: "tin-b".to_owned(),
                share_percent: 40,
                cap_percent: 100,
            },
        ],
        limits: Limits {
            tasks_per_job: 1,
            queued_tasks: 2,
            queued_bytes: 3,
            payload_bytes: 4,
            deadline_max: Duration::from_secs(30),
        },
    };
    assert_eq!(configuration, expected);
}

#[test]
fn limits_section_is_optional() {
    let (text, _) = FILE.split_once("[limits]").unwrap();
    let configuration = Configuration::parse(text, "c.ini").unwrap();
    assert_eq!(configuration.limits, Limits::default());
}

#[test_case("service = embossing\nclass", "service = engraving\nclass", "line 4: [kind proof] service: 'engraving' is not valid; allowed: a service of this file: embossing"; "unknown service")]
#[test_case("share_percent = 40", "share_percent = 41", "line 15: [team tin-b] share_percent: '41' is not valid; allowed: shares that add up to at most 100; they add up to 101"; "shares over 100")]
#[test_case("cap_percent = 80", "cap_percent = 59", "line 13: [team tin-a] cap_percent: '59' is not valid; allowed: not less than share_percent, which is 60"; "cap below share")]
#[test_case("deadline_ms = 1000", "deadline_ms = 0", "line 10: [kind release] deadline_ms: '0'"; "zero deadline")]
#[test_case("deadline_ms = 1000", "deadline_ms = 30001", "up to deadline_max_ms, which is 30000"; "deadline over the limit")]
#[test_case("deadline_ms = 1000", "", "line 8: [kind release] deadline_ms: the value is missing"; "missing deadline")]
#[test_case("share_percent = 60", "", "[team tin-a] share_percent: the value is missing"; "missing share")]
#[test_case("[kind release]", "[kind Release]", "line 8: [kind Release] 'Release' is not valid; allowed: a name"; "bad name")]
#[test_case("[kind release]", "[kind press release]", "'press release' is not valid"; "space in a name")]
#[test_case("[kind release]", "[kind proof]", "the section was given in line 3 already"; "duplicate kind")]
#[test_case("[limits]", "[limit]", "line 16: [limit] the section is unknown; allowed: [service NAME]"; "unknown section")]
#[test_case("[limits]", "[limits]\nspeed = 1", "line 17: [limits] speed: the key is unknown; allowed: tasks_per_job"; "unknown key")]
#[test_case("class = urgent", "class = high", "allowed: urgent, normal, bulk"; "unknown class")]
#[test_case("idempotent = true", "idempotent = yes", "allowed: true, false"; "bad boolean")]
fn problem_is_reported_with_its_place(from: &str, to: &str, expected: &str) {
    let text = FILE.replacen(from, to, 1);
    assert_ne!(text, FILE);
    let message = Configuration::parse(&text, "c.ini")
        .unwrap_err()
        .to_string();
    assert!(message.contains(expected), "{message}");
}

#[test]
fn name_of_more_than_63_characters_is_rejected() {
    let with_name = |length: usize| FILE.replace("tin-b", &"b".repeat(length));
    assert!(Configuration::parse(&with_name(63), "c.ini").is_ok());
    assert!(Configuration::parse(&with_name(64), "c.ini").is_err());
}

#[test]
fn empty_file_is_rejected() {
    let error = Configuration::parse("", "c.ini").unwrap_err();
    assert_eq!(error.problems().len(), 3);
}

#[test]
fn all_problems_are_reported_together() {
    let text = FILE
        .replace("= 30\n", "= 300\n")
        .replace("class = urgent", "class = high")
        .replace("cap_percent = 80", "cap_percent = 8 # little");
    let error = Configuration::parse(&text, "c.ini").unwrap_err();
    let lines: Vec<_> = error
        .problems()
        .iter()
        .map(|problem| problem.line)
        .collect();
    assert_eq!(lines[..3], [Some(2), Some(5), Some(13)]);
}
