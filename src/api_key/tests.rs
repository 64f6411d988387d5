use rstest::rstest;

use crate::api_key;

#[test]
fn a_digest_is_read_back_from_its_text() {
    let digest = api_key::Digest::of(b"dsk_0123");
    assert_eq!(digest.to_string().parse(), Ok(digest));
}

#[rstest]
#[case::empty("")]
#[case::short("0123")]
#[case::long("0123456789abcdef0123456789abcdef00")]
#[case::no_digit("0123456789abcdef0123456789abcdeg")]
#[case::not_ascii("0123456789abcdef0123456789abcdé")]
fn a_text_that_is_no_digest_is_rejected(#[case] text: &str) {
    assert_eq!(text.parse::<api_key::Digest>(), Err(api_key::NotADigest));
}

#[test]
fn new_keys_differ_and_are_found_by_their_digests() {
    let (one, other) = (api_key::ApiKey::new(), api_key::ApiKey::new());
    assert_ne!(one.as_str(), other.as_str());
    assert_ne!(one.digest(), other.digest());
    assert_eq!(one.digest(), api_key::Digest::of(one.as_str().as_bytes()));
}
