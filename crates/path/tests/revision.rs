//! Revisions in datagrams.

use hickory_store::store::{Era, Revision};

/// Guards against datagrams that nodes of older versions can't read: they have a number of 64 bits in
/// the place of a revision.
#[test]
fn revisions_have_the_bytes_of_older_versions() {
    for (era, number) in [(0, 0), (0, 300), (3, (1 << 40) - 1)] {
        let revision = Revision::in_era(Era::new(era).unwrap(), number);
        let older = u64::from(era) << 40 | number;
        assert_eq!(postcard::to_stdvec(&revision), postcard::to_stdvec(&older));
    }
    let large = Revision::in_era(Era::new(3).unwrap(), u64::MAX);
    let bytes = postcard::to_stdvec(&large).unwrap();
    assert_eq!(postcard::from_bytes(&bytes), Ok(large));
}
