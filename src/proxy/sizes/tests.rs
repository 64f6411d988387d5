use smol_str::SmolStr;

use crate::proxy::sizes;

#[test]
fn the_mean_follows_the_answers() {
    let (mut sizes, kind) = (sizes::Sizes::default(), SmolStr::new("page"));
    assert_eq!(sizes.expected(&kind), 0);
    sizes.record(&kind, 8000);
    assert_eq!(sizes.expected(&kind), 8000);
    (0..40).for_each(|_| sizes.record(&kind, 800));
    assert!((700..900).contains(&sizes.expected(&kind)), "{}", sizes.expected(&kind));
    sizes.retain(|known| *known != kind);
    assert_eq!(sizes.expected(&kind), 0);
}
