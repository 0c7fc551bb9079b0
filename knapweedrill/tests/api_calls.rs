//! Parsing and formatting of calls: methods, paths and query parameters are validated strictly.

use std::time::Duration;

use knapweedrill::api::{ApiCall, ExpectedParent, WAIT_MAX};
use test_case::test_case;

#[test_case("GET", "/v1/owner"; "owner")]
#[test_case("POST", "/v1/jobs/A.z_9~-"; "submit")]
#[test_case("GET", "/v1/jobs/k?team=tin-a&wait_ms=0"; "status")]
#[test_case("DELETE", "/v1/jobs/k?team=tin-a"; "cancel")]
#[test_case("POST", "/v1/configuration?parent=7&wait_ms=3000"; "apply")]
#[test_case("POST", "/v1/configuration?parent=none&wait_ms=0"; "apply the first")]
#[test_case("GET", "/v1/configuration"; "configuration")]
#[test_case("GET", "/v1/show"; "show")]
#[test_case("GET", "/v1/events"; "events")]
#[test_case("POST", "/v1/drain"; "drain")]
#[test_case("POST", "/v1/minion"; "minion")]
#[test_case("GET", "/healthz"; "health")]
#[test_case("GET", "/readyz"; "ready")]
fn call_round_trips(method: &str, url: &str) {
    let call = ApiCall::parse(method, url).unwrap();
    assert_eq!(call.method().as_str(), method);
    assert_eq!(call.url(), url);
}

#[test]
fn query_parameters_have_defaults_and_bounds() {
    let call = ApiCall::parse("POST", "/v1/configuration").unwrap();
    let default = ApiCall::Apply {
        parent: ExpectedParent::Current,
        wait: Duration::ZERO,
    };
    assert_eq!(call, default);
    let call = ApiCall::parse("GET", "/v1/jobs/k?wait_ms=99999999&team=a").unwrap();
    assert!(matches!(call, ApiCall::Status { wait, .. } if wait == WAIT_MAX));
}

#[test_case("GET", "/", 404; "root path")]
#[test_case("GET", "/v1/owner/", 404; "trailing slash")]
#[test_case("POST", "/v1/owner", 405; "wrong method")]
#[test_case("PUT", "/v1/jobs/k", 405; "wrong method on a job")]
#[test_case("PUT", "/v1/configuration", 405; "wrong method on the configuration")]
#[test_case("POST", "/v1/jobs/", 400; "no key")]
#[test_case("POST", "/v1/jobs/a%20b", 400; "escaped key")]
#[test_case("POST", "/v1/jobs/a/b", 400; "slash in the key")]
#[test_case("GET", "/v1/jobs/k", 400; "no team")]
#[test_case("GET", "/v1/jobs/k?team=Tin", 400; "bad team")]
#[test_case("GET", "/v1/jobs/k?team=a&team=a", 400; "duplicate parameter")]
#[test_case("GET", "/v1/jobs/k?team=a&wait_ms=1s", 400; "bad wait")]
#[test_case("GET", "/v1/jobs/k?team=a&x=1", 400; "unknown parameter")]
#[test_case("DELETE", "/v1/jobs/k?team=a&wait_ms=1", 400; "parameter of another call")]
#[test_case("POST", "/v1/configuration?parent=first", 400; "bad parent")]
#[test_case("GET", "/v1/show?x", 400; "query on a call without parameters")]
fn invalid_call_is_rejected(method: &str, url: &str, status: u16) {
    assert_eq!(
        ApiCall::parse(method, url).unwrap_err().http_status(),
        status
    );
}

#[test]
fn key_of_more_than_128_characters_is_rejected() {
    let url = |length: usize| format!("/v1/jobs/{}", "k".repeat(length));
    assert!(ApiCall::parse("POST", &url(128)).is_ok());
    assert!(ApiCall::parse("POST", &url(129)).is_err());
}
