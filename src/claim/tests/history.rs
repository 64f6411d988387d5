//! Checks under random faults of writers and log that a key has one holder at a time.

use proptest::prelude::*;

use super::sim::{Faults, Sim};

fn faults() -> impl Strategy<Value = Faults> {
    (0u32..40, 0u32..40, 0u32..20, 0u32..20, 0u32..60, 0u32..30).prop_map(
        |(lost, refused, late, read_failed, pause, restart)| Faults {
            lost,
            refused,
            late,
            read_failed,
            pause,
            restart,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { max_shrink_iters: 64, ..ProptestConfig::with_cases(200) })]

    #[test]
    fn keys_have_one_holder_at_a_time_and_final_verdicts_agree(
        seed in any::<u64>(),
        faults in faults(),
    ) {
        let mut sim = Sim::new(seed, faults);
        sim.run(60);
        prop_assert_eq!(&sim.concurrent, &Vec::new());
        prop_assert_eq!(sim.check(), Vec::<String>::new());
        prop_assert_eq!(&sim.concurrent, &Vec::new());
    }
}

#[test]
fn without_faults_each_key_is_granted() {
    let none = Faults { lost: 0, refused: 0, late: 0, read_failed: 0, pause: 0, restart: 0 };
    let mut sim = Sim::new(1, none);
    sim.run(60);
    assert_eq!(sim.granted(), 3);
    assert_eq!(sim.check(), Vec::<String>::new());
}
