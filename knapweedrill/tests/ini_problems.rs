//! Problems that the INI reader reports, with their line, section and key.

use knapweedrill::ini::{IniDocument, IniProblem, IniProblemKind, IniReader};
use test_case::test_case;

fn problems_of(text: &str) -> Vec<IniProblem> {
    let mut problems = Vec::new();
    IniDocument::parse(text, &mut problems);
    problems
}

#[test]
fn sections_keys_and_lines_are_read() {
    let mut problems = Vec::new();
    let text = "\u{feff}; comment\n\n[a  b]\r\n  k = v w = x \n# comment\nempty =\n[c]\n";
    let document = IniDocument::parse(text, &mut problems);
    assert_eq!(problems, []);
    assert_eq!(document.sections.len(), 2);
    let section = document.section("a b").unwrap();
    assert_eq!(section.line, 3);
    let entry = section.entry("k").unwrap();
    assert_eq!((entry.value.as_str(), entry.line), ("v w = x", 4));
    assert_eq!(section.entry("empty").unwrap().value, "");
}

#[test]
fn quotes_and_backslashes_stay_in_the_value() {
    let document = IniDocument::parse("[a]\nk = \"a\\n'b\"\n", &mut Vec::new());
    assert_eq!(document.sections[0].entries[0].value, "\"a\\n'b\"");
}

#[test]
fn indented_line_is_not_a_continuation() {
    let document = IniDocument::parse("[a]\nk = v\n  l = w\n", &mut Vec::new());
    assert_eq!(document.sections[0].entries.len(), 2);
}

#[test_case("[a]\nk = 1 ; comment"; "semicolon")]
#[test_case("[a]\nk = 1 # comment"; "hash")]
#[test_case("[a]\nk = 1\t#comment"; "after a tab")]
#[test_case("[a]\nk = # comment"; "in place of the value")]
fn comment_after_a_value_is_rejected(text: &str) {
    let problems = problems_of(text);
    assert_eq!(problems.len(), 1);
    assert_eq!(problems[0].line, Some(2));
    assert_eq!(problems[0].key.as_deref(), Some("k"));
    assert!(matches!(
        problems[0].kind,
        IniProblemKind::InlineComment { .. }
    ));
}

#[test]
fn a_semicolon_or_hash_inside_a_word_is_part_of_the_value() {
    assert_eq!(problems_of("[a]\nk = a;b#c\n"), []);
}

#[test]
fn duplicate_keys_and_sections_are_reported() {
    let problems = problems_of("[a]\nk = 1\nk = 1\n[b]\nk = 1\n[ a ]\nk = 1\n");
    let kinds: Vec<_> = problems.iter().map(|p| (p.line, &p.kind)).collect();
    assert_eq!(
        kinds,
        [
            (Some(3), &IniProblemKind::DuplicateKey { first_line: 2 }),
            (Some(6), &IniProblemKind::DuplicateSection { first_line: 1 }),
        ]
    );
}

#[test_case("[a"; "open bracket")]
#[test_case("[]"; "section without a name")]
#[test_case("[a] k = 1"; "key after a section header")]
#[test_case("[a] ; comment"; "comment after a section header")]
#[test_case("word"; "word alone")]
#[test_case("= 1"; "value without a key")]
fn malformed_line_is_reported(text: &str) {
    let problems = problems_of(text);
    assert_eq!(problems.len(), 1, "{problems:?}");
    assert_eq!(problems[0].line, Some(1));
    let kind = IniProblemKind::Malformed {
        text: text.to_owned(),
    };
    assert_eq!(problems[0].kind, kind);
}

#[test]
fn key_before_the_first_section_is_reported() {
    assert_eq!(
        problems_of("k = 1\n")[0].kind,
        IniProblemKind::OutsideSection
    );
}

#[test]
fn all_problems_are_reported_ordered_by_line() {
    let mut reader = IniReader::new("[b]\nx = 1\n[a]\nn = ten\nm = 1\n");
    let mut section = reader.section("a");
    let number = section.number("n", 1..=9);
    let missing = section.name("name");
    section.finish();
    assert_eq!((number, &missing), (None, &None));
    let error = reader.finish("f.ini", "[a]", missing).unwrap_err();
    assert_eq!(
        error.to_string(),
        "f.ini: line 1: [b] the section is unknown; allowed: [a]\n\
         f.ini: line 3: [a] name: the value is missing; allowed: \
         a name of 1 to 63 characters of a-z, 0-9 and -\n\
         f.ini: line 4: [a] n: 'ten' is not valid; allowed: a whole number from 1 to 9\n\
         f.ini: line 5: [a] m: the key is unknown; allowed: n, name"
    );
}

#[test_case("-1"; "negative")]
#[test_case("+1"; "plus sign")]
#[test_case("1s"; "unit")]
#[test_case("1.5"; "fraction")]
#[test_case(""; "empty")]
#[test_case("99999999999999999999999"; "overflow")]
fn invalid_number_is_rejected(value: &str) {
    let mut reader = IniReader::new(&format!("[a]\nn = {value}\n"));
    assert_eq!(reader.section("a").number("n", 0..=u64::MAX), None);
}
