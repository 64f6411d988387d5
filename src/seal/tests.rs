use proptest::prelude::*;
use rstest::rstest;

use crate::seal;

#[rstest]
#[case::other_mesh("meshb", "key")]
#[case::other_key("mesh", "yek")]
#[case::shifted_boundary("meshk", "ey")]
fn a_tag_of_another_mesh_or_key_is_rejected(#[case] mesh: &str, #[case] key: &str) {
    let ours = seal::Seal::new("mesh", "key");
    let theirs = seal::Seal::new(mesh, key);
    assert_eq!(ours.open(&theirs.seal(b"body")), Err(seal::Error::Tag));
}

#[rstest]
fn a_short_message_is_rejected() {
    let ours = seal::Seal::new("mesh", "key");
    assert_eq!(ours.open(&[0; seal::TAG_BYTES - 1]), Err(seal::Error::Short));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn a_sealed_message_opens_to_its_body(body in proptest::collection::vec(any::<u8>(), 0..64)) {
        let ours = seal::Seal::new("mesh", "key");
        let message = ours.seal(&body);
        prop_assert_eq!(message.len(), body.len() + seal::TAG_BYTES);
        prop_assert_eq!(ours.open(&message), Ok(body.as_slice()));
    }

    #[test]
    fn a_message_with_a_flipped_bit_is_rejected(
        body in proptest::collection::vec(any::<u8>(), 0..64),
        bit in any::<proptest::sample::Index>(),
    ) {
        let ours = seal::Seal::new("mesh", "key");
        let mut message = ours.seal(&body);
        let bit = bit.index(message.len() * 8);
        message[bit / 8] ^= 1 << (bit % 8);
        prop_assert_eq!(ours.open(&message), Err(seal::Error::Tag));
    }
}
