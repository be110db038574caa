//! Tests that the configuration fits into one value of the platform's key-value service.

use hickory_release::configuration::{
    Account, Configuration, MAX_SIZE, Model, Partner, Weight, digest_token,
};
use hickory_release::note::{Entries, Note, apply_note};
use hickory_unit::size::Bytes;
use std::collections::BTreeSet;

fn build_note(accounts: usize, models: usize) -> Note {
    let mut added = Entries::default();
    for partner in 0..8 {
        added.partners.insert(format!("partner-{partner}").as_str().into(), Partner { share: 1.0 });
    }
    for model in 0..models {
        let versions = ["2026-10", "2026-11"].map(|v| (v.into(), Weight { bytes: Bytes(7 << 30) }));
        let adapters =
            (0..4).map(|a| (format!("adapter-{a}").as_str().into(), Weight { bytes: Bytes(1) }));
        let model_entry = Model {
            current: "2026-11".into(),
            versions: versions.into(),
            adapters: adapters.collect(),
        };
        added.models.insert(format!("model-{model}").as_str().into(), model_entry);
    }
    for account in 0..accounts {
        let entry = Account {
            partner: format!("partner-{}", account % 8).as_str().into(),
            token_digest: digest_token(&format!("token-{account}")),
            weight: 1.0,
            models: added.models.keys().cloned().collect(),
            services: BTreeSet::new(),
        };
        added.accounts.insert(format!("account-{account}").as_str().into(), entry);
    }
    Note { operation: "op".to_owned(), added, ..Note::default() }
}

// The required size within two years is 680 accounts that may each use all of 12 models.
#[test]
fn the_required_size_is_below_a_quarter_of_the_limit() {
    let next = apply_note(&Configuration::default(), &build_note(680, 12)).unwrap();
    let bytes = next.json_size();
    insta::assert_snapshot!(bytes, @"193215");
    assert!(bytes.0 * 4 < MAX_SIZE.0, "{bytes}");
}

#[test]
fn an_oversized_configuration_is_rejected() {
    let findings = apply_note(&Configuration::default(), &build_note(4_000, 12)).unwrap_err();
    assert_eq!(findings.len(), 1);
    assert_eq!(findings[0].field, "document");
    assert!(findings[0].message.contains("at most 1048576"), "{}", findings[0]);
}

#[test]
fn the_limit_equals_that_of_the_platform() {
    assert_eq!(MAX_SIZE, hickory_store::store::MAX_VALUE_SIZE);
}
