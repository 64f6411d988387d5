//! Deltas restore files to the byte, and nothing else.

mod fixture;

use bytes::Bytes;
use dandelionspool::delta::{self, Patch};
use dandelionspool::version::Digest;
use proptest::prelude::*;
use rstest::rstest;

/// Most bytes of a delta of one route in a file of 370 services; 61 were measured.
const ROUTE_BYTES: usize = 64;

/// Most bytes of a delta that adds a route to it; 98 were measured.
const ADDED_BYTES: usize = 104;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    #[test]
    fn a_patch_restores_the_next_file(
        base in proptest::option::of(proptest::collection::vec(any::<u8>(), 0..2000)),
        next in proptest::collection::vec(any::<u8>(), 0..2000),
    ) {
        let patch = delta::diff(base.as_deref(), &next);
        let restored = delta::apply(base.as_deref(), &patch, Digest::of(&next)).unwrap();
        prop_assert_eq!(restored, Bytes::from(next));
    }

    #[test]
    fn arbitrary_bytes_restore_nothing(
        base in proptest::collection::vec(any::<u8>(), 0..200),
        bytes in proptest::collection::vec(any::<u8>(), 0..200),
    ) {
        let expect = Digest::of(b"what was meant");
        let bytes = Bytes::from(bytes);
        for patch in [Patch::Delta(bytes.clone()), Patch::Compressed(bytes.clone()), Patch::Uncompressed(bytes)] {
            prop_assert!(delta::apply(Some(&base), &patch, expect).is_err());
        }
    }
}

#[test]
fn a_delta_against_another_base_is_refused() {
    let base: Vec<u8> = (0..4000u32).flat_map(|n| n.to_le_bytes()).collect();
    let mut next = base.clone();
    next[8000] ^= 1;
    let patch = delta::diff(Some(&base), &next);
    assert!(matches!(patch, Patch::Delta(_)));
    let expect = Digest::of(&next);
    assert!(delta::apply(None, &patch, expect).is_err());
    let mut other = base.clone();
    other[9000] ^= 1;
    assert!(delta::apply(Some(&other), &patch, expect).is_err());
}

#[test]
fn a_frame_that_grows_beyond_the_limit_is_refused() {
    let large = vec![0; delta::MAX_FILE_BYTES + 1];
    let patch = delta::diff(None, &large);
    assert!(patch.size() < 1000);
    let error = delta::apply(None, &patch, Digest::of(&large)).unwrap_err();
    assert!(matches!(error, delta::Error::Frame(_)), "{error:?}");
}

fn delta_size(base: &[u8], next: &[u8]) -> usize {
    let patch = delta::diff(Some(base), next);
    assert!(matches!(patch, Patch::Delta(_)));
    assert_eq!(delta::apply(Some(base), &patch, Digest::of(next)).unwrap(), next);
    patch.size()
}

#[rstest]
#[case(0)]
#[case(185)]
#[case(369)]
fn a_change_of_one_route_takes_few_bytes(#[case] service: usize) {
    let (base, next) = (fixture::file(None), fixture::file(Some(service)));
    dandelionspool::mesh::check::check(&next).unwrap();
    let (delta, whole) = (delta_size(&base, &next), delta::diff(None, &next).size());
    assert!(delta <= ROUTE_BYTES, "{delta} bytes");
    assert!(100 * delta <= whole, "{delta} bytes of {whole}");
}

#[test]
fn a_route_added_in_the_middle_takes_few_bytes() {
    let base = String::from_utf8(fixture::file(None)).unwrap();
    let name = base.find("\"browse-200\"").unwrap();
    let place = base[..name].rfind("    {").unwrap();
    let route = "    {\n      \"name\": \"extra\",\n      \"path\": \"/v1/extra\",\n      \
                 \"service\": \"service-7\",\n      \"kind\": \"browse\"\n    },\n";
    let next = format!("{}{route}{}", &base[..place], &base[place..]);
    let delta = delta_size(base.as_bytes(), next.as_bytes());
    assert!(delta <= ADDED_BYTES, "{delta} bytes");
}
