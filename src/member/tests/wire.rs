use std::net;

use proptest::prelude::*;
use proptest::test_runner;
use rstest::rstest;

use crate::host;
use crate::member::wire;
use crate::seal;
use crate::view;

fn host(port: u16) -> host::HostId {
    host::HostId::new(net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, port)))
}

fn datagram(body: wire::Body, items: Vec<wire::Item>) -> wire::Datagram {
    wire::Datagram { from: host(7100), body, names: vec!["zone".into()], items }
}

fn claim(port: u16) -> wire::Item {
    wire::Item::Claim { host: host(port), incarnation: 1, claim: wire::Claim::Dead }
}

fn record(zone: u8) -> wire::Item {
    let record = wire::Record {
        host: host(7100),
        incarnation: 1,
        serial: 1,
        region: 0,
        zone,
        upstream: None,
    };
    wire::Item::Record(record)
}

#[rstest]
#[case::good(claim(65_529), None)]
#[case::port_too_high(claim(65_530), Some(wire::Error::Port))]
#[case::no_port(claim(0), Some(wire::Error::Port))]
#[case::good_name(record(0), None)]
#[case::no_such_name(record(1), Some(wire::Error::Name))]
#[case::no_such_zone(wire::Item::Unreachable { zone: 1 }, Some(wire::Error::Name))]
fn items_are_checked(#[case] item: wire::Item, #[case] error: Option<wire::Error>) {
    let bytes = wire::encode(&datagram(wire::Body::Gossip, vec![item])).unwrap();
    assert_eq!(wire::decode(&bytes).err(), error);
}

#[rstest]
#[case::good(28, (1 << 28) - 1, true)]
#[case::full(0, 0, true)]
#[case::index_too_large(4, 16, false)]
#[case::odd_bits(3, 0, false)]
#[case::too_narrow(32, 0, false)]
fn ranges_are_checked(#[case] bits: u8, #[case] index: u32, #[case] good: bool) {
    let prefix = wire::Prefix { bits, index };
    let body = wire::Body::Digest { prefix, children: [[0; 4]; wire::FANOUT] };
    let bytes = wire::encode(&datagram(body, Vec::new())).unwrap();
    assert_eq!(wire::decode(&bytes).is_ok(), good);
}

#[rstest]
#[case::excess(&[0], wire::Error::Excess)]
fn excess_bytes_are_refused(#[case] rest: &[u8], #[case] error: wire::Error) {
    let mut bytes = wire::encode(&datagram(wire::Body::Gossip, vec![claim(7100)])).unwrap();
    bytes.extend_from_slice(rest);
    assert_eq!(wire::decode(&bytes).err(), Some(error));
}

#[rstest]
fn ping_takes_few_bytes() {
    let running = wire::Running::default();
    let packer = wire::Packer::new(host(7100), wire::Body::Ping { sequence: 1, running });
    let bytes = wire::encode(&packer.finish()).unwrap().len() + seal::TAG_BYTES;
    assert!(bytes <= 30, "{bytes} bytes");
}

/// Guards against datagrams that no host can decode: a claim that did not fit removed the names to
/// which records added before it refer.
#[test]
fn an_item_that_does_not_fit_leaves_the_others_intact() {
    let locality = view::Locality { region: "region".into(), zone: "zone".into() };
    let mut packer = wire::Packer::new(host(7100), wire::Body::Gossip);
    let mut records = 0;
    while packer.record(host(7000 + records), (1, 1), &locality, None) {
        records += 1;
    }
    while packer.claim(host(7000), 1, wire::Claim::Dead) {}
    let datagram = packer.finish();
    assert_eq!(datagram.names, ["region", "zone"]);
    let bytes = wire::encode(&datagram).unwrap();
    assert_eq!(wire::decode(&bytes), Ok(datagram));
}

fn config() -> ProptestConfig {
    let rng_seed = test_runner::RngSeed::Fixed(4);
    ProptestConfig { rng_seed, ..ProptestConfig::with_cases(512) }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn decoding_any_bytes_does_not_panic(
        bytes in proptest::collection::vec(any::<u8>(), 0..wire::MAX_BYTES),
    ) {
        let _ = wire::decode(&bytes);
    }

    #[test]
    fn decoding_a_changed_datagram_does_not_panic(
        at in any::<proptest::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let full = datagram(wire::Body::Gossip, vec![claim(7100), record(0)]);
        let mut bytes = wire::encode(&full).unwrap();
        let at = at.index(bytes.len());
        bytes[at] = byte;
        let _ = wire::decode(&bytes);
    }

    #[test]
    fn packed_datagrams_fit_and_decode_to_the_same(
        names in proptest::collection::vec("[a-z]{1,40}", 1..8),
        count in 1usize..200,
    ) {
        let body = wire::Body::Bucket { prefix: wire::Prefix::default(), reply: true };
        let mut packer = wire::Packer::new(host(7100), body);
        let mut packed = 0;
        for i in 0..count {
            let name = |n: usize| names[(i + n) % names.len()].as_str().into();
            let locality = view::Locality { region: name(0), zone: name(1) };
            let upstream = view::Upstream {
                service: name(2),
                class: name(3),
                phase: view::Phase::Serving,
                slots: 9,
                connections: 130, incarnation: 0, version: Default::default(), trial: Default::default() };
            let record_version = (1_700_000_000_000 + i as u64, i as u32);
            packed += usize::from(packer.record(
                host(7000 + i as u16),
                record_version,
                &locality,
                Some(&upstream.into()),
            ));
        }
        let datagram = packer.finish();
        prop_assert_eq!(datagram.items.len(), packed);
        let bytes = wire::encode(&datagram).unwrap();
        prop_assert!(bytes.len() + seal::TAG_BYTES <= wire::MAX_BYTES);
        prop_assert_eq!(wire::decode(&bytes), Ok(datagram));
    }
}
