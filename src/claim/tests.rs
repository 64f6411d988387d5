//! Tests of keys.

use super::Key;

#[test]
fn keys_of_two_services_differ() {
    assert_ne!(Key::new("shop", b"1"), Key::new("desk", b"1"));
    assert_ne!(Key::new("ab", b"c"), Key::new("a", b"bc"));
    assert_eq!(Key::new("shop", b"1"), Key::new("shop", b"1"));
}
