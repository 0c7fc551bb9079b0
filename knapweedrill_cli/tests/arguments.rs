//! Parsing of command-line arguments: valid ones are parsed completely, invalid ones are rejected.

use std::ffi::OsString;
use std::time::Duration;

use knapweedrill::api::ExpectedParent;
use knapweedrill_cli::command::{Action, Arguments, TimelineFilter};
use test_case::test_case;

const OWNER: &str = "0000000000000001-0-0000000000000001";

fn parse(text: &str) -> Result<Arguments, lexopt::Error> {
    Arguments::parse(text.split_whitespace().map(OsString::from))
}

#[test]
fn submit_parses_the_job() {
    let text = "--entry 127.0.0.1:1,127.0.0.1:2 --json submit --team a --kind b --wait-ms 5 p q";
    let arguments = parse(text).unwrap();
    assert_eq!(arguments.entries.len(), 2);
    assert!(arguments.is_json);
    let Action::Submit { spec, wait, .. } = arguments.action else {
        panic!("not a submission");
    };
    assert_eq!(spec.tasks.len(), 2);
    assert_eq!(wait, Duration::from_millis(5));
}

#[test]
fn apply_parses_file_parent_and_wait() {
    let expected = Action::Apply {
        file: "f.ini".into(),
        parent: ExpectedParent::Version(7),
        waits_until_in_force: true,
    };
    assert_eq!(
        parse("apply f.ini --parent 7 --wait").unwrap().action,
        expected
    );
}

#[test]
fn timeline_parses_a_hexadecimal_job_id() {
    let filter = TimelineFilter::Job(0xff);
    assert_eq!(
        parse("timeline --job ff").unwrap().action,
        Action::Timeline { filter }
    );
}

#[test]
fn status_and_cancel_require_the_owner_token() {
    for command in ["status", "cancel"] {
        assert!(parse(&format!("{command} --team a --key k --owner {OWNER}")).is_ok());
        assert!(parse(&format!("{command} --team a --key k")).is_err());
    }
}

#[test_case(""; "no command")]
#[test_case("start"; "unknown command")]
#[test_case("show x"; "superfluous value")]
#[test_case("show --team a"; "option of another command")]
#[test_case("submit --team a --kind b"; "no payload")]
#[test_case("submit --team a p"; "no kind")]
#[test_case("submit --team a --kind b --key a/b p"; "invalid key")]
#[test_case("submit --team a --kind b --owner x p"; "invalid token")]
#[test_case("submit --file f p"; "file and payload")]
#[test_case("apply"; "no file")]
#[test_case("apply f --parent first"; "invalid parent")]
#[test_case("--entry localhost show"; "invalid entry")]
#[test_case("-x show"; "unknown short option")]
fn invalid_arguments_are_rejected(text: &str) {
    assert!(parse(text).is_err());
}
