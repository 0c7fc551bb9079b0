//! Owner tokens have one canonical text form, and job identifiers do not collide.

use knapweedrill::contract::{OwnerToken, roster_digest};
use test_case::test_case;

fn token() -> OwnerToken {
    OwnerToken {
        incarnation: 0xab,
        generation: 7,
        roster: 1,
    }
}

#[test]
fn text_form_round_trips() {
    assert_eq!(token().to_string().parse(), Ok(token()));
}

#[test_case(""; "empty")]
#[test_case("00000000000000AB-7-0000000000000001"; "upper case")]
#[test_case("ab-7-1"; "no leading zeros")]
#[test_case("00000000000000ab-07-0000000000000001"; "leading zero in the generation")]
#[test_case("00000000000000ab-7-0000000000000001-"; "a fourth part")]
fn non_canonical_text_is_rejected(text: &str) {
    assert!(text.parse::<OwnerToken>().is_err());
}

#[test]
fn job_id_separates_team_from_key() {
    assert_ne!(token().job_id("ab", "c"), token().job_id("a", "bc"));
}

#[test]
fn roster_digest_ignores_order_and_duplicates() {
    assert_eq!(roster_digest([1, 2, 3]), roster_digest([3, 1, 2, 2]));
    assert_ne!(roster_digest([1, 2, 3]), roster_digest([1, 2]));
}
