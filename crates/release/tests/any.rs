//! Property tests with arbitrary notes: parsing never panics, every finding has a line within the
//! text, and a valid note is unchanged by serializing and parsing it.

use hickory_release::accept::{Acceptance, accept_note};
use hickory_release::configuration::Configuration;
use hickory_release::note::{apply_note, parse_draft, parse_note};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const NOTE: &str = include_str!("data/present.jsonc");

/// Text fragments that are significant for a parser of notes.
const FRAGMENTS: &[&str] = &[
    "{",
    "}",
    "[",
    "]",
    ",",
    ":",
    "\"",
    "//",
    "/*",
    "*/",
    "\n",
    "null",
    "true",
    "-1",
    "1e999",
    "0",
    "\"share\"",
    "\"out\"",
    "\"mawe\"",
    "{}",
    "[]",
    "\\u0000",
    "\\",
    "ü",
    "🎨",
];

fn check_parsing(text: &str) -> Result<(), TestCaseError> {
    let lines = text.lines().count().max(1) + 1;
    match parse_draft(text) {
        Ok(draft) => {
            let reparsed = parse_note(&serde_json::to_string(&draft.note).unwrap());
            prop_assert_eq!(reparsed.as_ref(), Ok(&draft.note));
            if let Err(mut findings) = apply_note(&Configuration::default(), &draft.note) {
                draft.locations.locate(&mut findings);
                prop_assert!(
                    findings.iter().all(|f| (1..=lines).contains(&f.line)),
                    "{findings:?}"
                );
            }
        }
        Err(findings) => {
            prop_assert!(!findings.is_empty());
            prop_assert!(findings.iter().all(|f| (1..=lines).contains(&f.line)), "{findings:?}");
        }
    }
    Ok(())
}

/// Returns the greatest char boundary that is not after `index`.
fn floor_char_boundary(text: &str, index: usize) -> usize {
    (0..=index.min(text.len())).rev().find(|i| text.is_char_boundary(*i)).unwrap_or(0)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        // A fixed seed makes the test deterministic.
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_text(text in ".{0,200}") {
        check_parsing(&text)?;
    }

    #[test]
    fn any_pieces(pieces in prop::collection::vec(prop::sample::select(FRAGMENTS), 0..40)) {
        check_parsing(&pieces.concat())?;
    }

    #[test]
    fn a_valid_note_with_a_part_replaced(
        start in 0..NOTE.len(),
        length in 0..60_usize,
        pieces in prop::collection::vec(prop::sample::select(FRAGMENTS), 0..6),
    ) {
        let start = floor_char_boundary(NOTE, start);
        let end = floor_char_boundary(NOTE, start + length);
        let text = [&NOTE[..start], &pieces.concat(), &NOTE[end..]].concat();
        check_parsing(&text)?;
    }

    // Guards against wrong versions in operation lookups. For any sequence of notes, stale or not,
    // each accepted one increments the version by one, and every kept operation maps to the version
    // that it created.
    #[test]
    fn versions_count_accepted_notes(against in prop::collection::vec(0..12_u64, 0..40)) {
        let mut present = Configuration::default();
        let mut accepted = Vec::new();
        for (index, against) in against.into_iter().enumerate() {
            let text = format!(r#"{{ "against": {against}, "operation": "op-{index}" }}"#);
            let before = present.version.0;
            match accept_note(&present, &parse_note(&text).unwrap()) {
                Ok(Acceptance::NewConfiguration(next)) => {
                    prop_assert_eq!(against, before);
                    prop_assert_eq!(next.version.0, before + 1);
                    present = *next;
                    accepted.push((format!("op-{index}"), present.version));
                }
                Ok(Acceptance::Repeated(version)) => prop_assert!(false, "repeated as {version}"),
                Err(_) => prop_assert_ne!(against, before),
            }
        }
        for (operation, version) in accepted {
            prop_assert_eq!(present.find_operation(&operation), Some(version));
        }
    }
}
