//! Tests of the encoding of records.

use proptest::collection;
use proptest::prelude::*;

use super::{attempt, key};
use crate::claim::record::{Entry, Error, Op, decode, encode};

fn entries() -> impl Strategy<Value = Vec<Entry>> {
    let one = (any::<u8>(), any::<u8>(), any::<u64>(), any::<bool>());
    let one = one.prop_map(|(k, host, number, release)| Entry {
        key: key(k),
        attempt: attempt(host, number),
        op: if release { Op::Release } else { Op::Claim },
    });
    collection::vec(one, 0..50)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(500))]

    #[test]
    fn decoding_gives_the_encoded_entries(entries in entries()) {
        prop_assert_eq!(decode(&encode(&entries)), Ok(entries));
    }

    #[test]
    fn any_bytes_decode_or_are_refused(bytes in collection::vec(any::<u8>(), 0..300)) {
        let _ = decode(&bytes);
        let mut formatted = vec![1];
        formatted.extend(bytes);
        let _ = decode(&formatted);
    }

    #[test]
    fn a_truncated_record_is_refused(entries in entries(), cut in any::<prop::sample::Index>()) {
        let complete = encode(&entries);
        let cut = cut.index(complete.len());
        prop_assert!(decode(&complete[..cut]).is_err());
    }
}

#[test]
fn another_format_is_distinguished_from_a_malformed_record() {
    assert_eq!(decode(&[2, 0, 0]), Err(Error::Format));
    assert_eq!(decode(&[]), Err(Error::Malformed));
}

#[test]
fn a_claim_takes_few_bytes() {
    let many: Vec<Entry> = (0..1000)
        .map(|n| Entry {
            key: key(1),
            attempt: attempt(n as u8 % 10, 1_000_000 + n),
            op: Op::Claim,
        })
        .collect();
    let bytes = encode(&many).len();
    assert!(bytes < 1000 * 24, "{bytes} bytes for 1000 claims");
}
