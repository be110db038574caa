//! Revisions, and their encoding between nodes.

use hickory_store::store::{Era, Revision};

fn revision(era: u32, number: u64) -> Revision {
    Revision::in_era(Era::new(era).unwrap(), number)
}

/// Guards against numbers that the era cuts off, which makes a node reject all that the store says.
#[test]
fn every_number_of_the_store_is_a_revision() {
    for number in [0, 1, (1 << 40) - 1, 1 << 40, 1 << 63, u64::MAX] {
        for era in [0, 1, Era::MAX.number()] {
            let revision = revision(era, number);
            assert_eq!((revision.era().number(), revision.number()), (era, number));
            assert_eq!(Revision::try_from(u128::from(revision)), Ok(revision));
        }
    }
    assert!(revision(0, u64::MAX) < revision(1, 0));
    assert!(revision(0, (1 << 40) - 1) < revision(0, 1 << 40));
    assert!(revision(Era::MAX.number(), u64::MAX) == Revision::MAX);
}

/// Guards against an encoding that nodes of older versions read differently.
#[test]
fn small_numbers_keep_the_encoding_of_older_versions() {
    let rows = [(0, 7, 7), (1, 7, (1 << 40) + 7), (Era::MAX.number(), (1 << 40) - 1, u64::MAX)];
    for (era, number, encoded) in rows {
        assert_eq!(u128::from(revision(era, number)), u128::from(encoded));
        assert_eq!(Revision::from(encoded), revision(era, number));
        let bytes = serde_json::to_vec(&revision(era, number)).unwrap();
        assert_eq!(bytes, encoded.to_string().into_bytes());
        assert_eq!(serde_json::from_slice::<Revision>(&bytes).unwrap(), revision(era, number));
    }
}

/// Guards against a revision that compares as newer than all others because it is malformed.
#[test]
fn other_encodings_are_rejected() {
    for encoded in [1 << 64, 1 << 99, (1 << 100) | (1 << 88), u128::MAX] {
        assert!(Revision::try_from(encoded).is_err(), "{encoded:x}");
    }
}
