//! The guarantees and the cost of membership with the settings of the two presets.

use std::fs;
use std::path;
use std::time::Duration;

use dandelionspool::configs;
use dandelionspool::member;
use dandelionspool::node;
use dandelionspool::view;
use rstest::rstest;

use crate::net;

const N: usize = 100;

/// A converged mesh of 100 hosts with the membership settings of a preset.
fn settled(preset: &str, seed: u64) -> net::Net {
    let file = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("presets");
    let text = fs::read_to_string(file.join(preset).with_extension("json")).unwrap();
    let values: serde_json::Value = serde_json::from_str(&text).unwrap();
    let settings: configs::member::Member =
        serde_json::from_value(values["member"].clone()).unwrap();
    let mut net = net::Net::with(N, seed, |s| s.member = settings.clone());
    net.run(Duration::from_secs(120));
    assert!(net.agrees());
    net
}

#[rstest]
fn drain_is_known_everywhere_in_two_seconds(
    #[values("condor", "cascadia")] preset: &str,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let mut net = settled(preset, seed);
    net.faults.loss = 0.2;
    net.handle(5, member::Event::Stage(node::Stage::Drain));
    let took = net.until(Duration::from_millis(2000), |net| {
        net.seen(5)
            .iter()
            .flatten()
            .all(|h| h.upstream.as_ref().is_none_or(|u| u.phase == view::Phase::Draining))
    });
    assert!(took.is_some(), "the host still gets calls 2 s after its drain");
}

#[rstest]
#[case("condor", 30)]
#[case("cascadia", 15)]
fn dead_host_is_detected_in_time(#[case] preset: &str, #[case] limit: u64) {
    let mut net = settled(preset, 1);
    net.kill(17);
    let took = net.until(Duration::from_secs(limit), |net| {
        net.seen(17).iter().flatten().all(|h| h.health == view::Health::Unreachable)
    });
    assert!(took.is_some(), "not detected by all hosts after {limit} s");
}

#[rstest]
fn loss_declares_no_host_dead(#[values("condor", "cascadia")] preset: &str) {
    let mut net = settled(preset, 1);
    net.faults = net::Faults { loss: 0.2, duplicate: 0.05, delay: (300, 40_000), mute: false };
    for second in 0..120 {
        net.run(Duration::from_secs(1));
        assert_eq!(net.unreachable(), 0, "a host was declared dead after {second} s");
    }
}

#[rstest]
#[case("condor", 41)]
#[case("cascadia", 118)]
fn idle_bytes_are_bounded(#[case] preset: &str, #[case] limit: u64) {
    let mut net = settled(preset, 1);
    let before = net.sent();
    net.run(Duration::from_secs(60));
    let bytes = (net.sent() - before) / 60 / N as u64;
    println!("{preset}: {bytes} B/s");
    assert!(bytes <= limit, "{bytes} B/s");
}
