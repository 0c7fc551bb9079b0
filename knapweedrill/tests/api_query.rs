//! Query parameters of a call are percent-decoded, and an error names the invalid parameter.

use std::time::Duration;

use knapweedrill::api::ApiCall;
use test_case::test_case;

#[test]
fn escaped_characters_are_decoded() {
    let call = ApiCall::parse("GET", "/v1/jobs/k?team=tin%2Da&wait_ms=%350").unwrap();

    let expected = ApiCall::Status {
        key: "k".to_owned(),
        team: "tin-a".to_owned(),
        wait: Duration::from_millis(50),
    };
    assert_eq!(call, expected);
}

#[test_case("team=%zz", "team"; "invalid escape")]
#[test_case("team=%2", "team"; "truncated escape")]
#[test_case("team=%ff", "team"; "not UTF-8")]
#[test_case("team=x%20y", "team"; "space in a name")]
#[test_case("team=a&team=a", "team"; "duplicate")]
#[test_case("team", "team"; "no value")]
#[test_case("team=a&a=%zz", "a"; "unknown")]
#[test_case("team=a&wait_ms=soon", "wait_ms"; "not a number")]
#[test_case("team=a&parent=1", "parent"; "parameter of another call")]
fn error_names_the_invalid_parameter(query: &str, name: &str) {
    let error = ApiCall::parse("GET", &format!("/v1/jobs/k?{query}")).unwrap_err();

    assert_eq!(error.http_status(), 400);
    let message = error.to_string();
    assert!(
        message.starts_with(&format!("'{name}' in the query")),
        "{message}"
    );
}
