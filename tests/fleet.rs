//! Tests of the fleet of real processes: it starts, signals and ends what it says.

use std::path;

use dandelionspool::bench::fleet;
use rstest::rstest;

fn programs() -> fleet::Programs {
    fleet::Programs {
        node: path::PathBuf::from(env!("CARGO_BIN_EXE_dandelionspool")),
        bench: path::PathBuf::from(env!("CARGO_BIN_EXE_dandelionspool-bench")),
    }
}

/// Two upstreams without nodes.
fn plan() -> fleet::Plan {
    let group = fleet::Group::new("shop", 2).mean_ms(1.0).grace_ms(50);
    fleet::Plan::new(programs()).nodes(false).group(group)
}

#[rstest]
#[case::most(209, true)]
#[case::one_more(210, false)]
fn a_plan_is_bounded(#[case] hosts: usize, #[case] fits: bool) {
    let plan = fleet::Plan::new(programs()).group(fleet::Group::new("shop", hosts));
    assert_eq!(plan.process_count() <= fleet::MOST, fits);
}

#[tokio::test]
async fn too_many_processes_are_refused() {
    let plan = plan().hosts(1).group(fleet::Group::new("desk", fleet::MOST));
    let error = fleet::Fleet::start(plan).await.unwrap_err();
    assert!(matches!(error, fleet::Error::TooMany(_)), "{error}");
}
