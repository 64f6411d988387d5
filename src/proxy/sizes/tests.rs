use smol_str::SmolStr;

use crate::proxy::sizes;

#[test]
fn the_mean_follows_the_answers() {
    let (mut sizes, kind) = (sizes::Sizes::default(), SmolStr::new("page"));
    assert_eq!(sizes.expect(&kind), 0);
    sizes.note(&kind, 8000);
    assert_eq!(sizes.expect(&kind), 8000);
    (0..40).for_each(|_| sizes.note(&kind, 800));
    assert!((700..900).contains(&sizes.expect(&kind)), "{}", sizes.expect(&kind));
    sizes.retain(|known| *known != kind);
    assert_eq!(sizes.expect(&kind), 0);
}
