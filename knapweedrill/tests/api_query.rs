//! The query of a call is decoded, and what is malformed in it is named.

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

#[test_case("team=%zz", "team"; "bad escape")]
#[test_case("team=%2", "team"; "escape cut off")]
#[test_case("team=%ff", "team"; "not UTF-8")]
#[test_case("team=x%20y", "team"; "blank in a name")]
#[test_case("team=a&team=a", "team"; "doubled")]
#[test_case("team", "team"; "no value")]
#[test_case("team=a&a=%zz", "a"; "unknown")]
#[test_case("team=a&wait_ms=soon", "wait_ms"; "not a number")]
#[test_case("team=a&parent=1", "parent"; "not of this call")]
fn a_malformed_query_is_refused_by_name(query: &str, named: &str) {
    let error = ApiCall::parse("GET", &format!("/v1/jobs/k?{query}")).unwrap_err();

    assert_eq!(error.http_status(), 400);
    let message = error.to_string();
    assert!(
        message.starts_with(&format!("'{named}' in the query")),
        "{message}"
    );
}
