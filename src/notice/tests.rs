use rstest::rstest;

use crate::admit;
use crate::notice;

fn relayed(limit: Option<u64>, leaving: bool, instance: &str) -> notice::Relayed {
    let limit = limit.map(admit::Rate::from_millis);
    notice::Relayed {
        incarnation: 7,
        identity: notice::Identity::of(&instance.into(), Some(3)),
        notice: notice::Notice { limit, leaving },
    }
}

#[rstest]
#[case::limited(relayed(Some(10_400), false, "i-1"))]
#[case::leaving(relayed(None, true, "i-1"))]
#[case::without_a_name(relayed(Some(0), true, ""))]
fn a_relayed_notice_is_read_back(#[case] relayed: notice::Relayed) {
    assert_eq!(relayed.to_string().parse(), Ok(relayed));
}

#[rstest]
#[case::empty("")]
#[case::short("1/2/3")]
#[case::long("1/2/3/0/0")]
#[case::not_a_number("1/2/x/0")]
#[case::not_a_flag("1/2/3/yes")]
fn bad_text_is_no_notice(#[case] text: &str) {
    assert_eq!(text.parse::<notice::Relayed>(), Err(notice::Malformed));
}

#[test]
fn a_restart_under_the_same_name_is_another_identity() {
    let of = |born| notice::Identity::of(&"i-1".into(), born);
    assert_ne!(of(Some(1)), of(Some(2)));
    assert_ne!(of(Some(1)), notice::Identity::of(&"i-2".into(), Some(1)));
    assert_eq!(notice::Identity::of(&"".into(), Some(1)), None);
}
