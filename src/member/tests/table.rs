use std::net;
use std::sync::Arc;
use std::time;

use proptest::prelude::*;
use proptest::test_runner;

use crate::clock;
use crate::host;
use crate::member::table;
use crate::member::wire;
use crate::view;

/// A claim or record, as it may arrive from any peer.
#[derive(Clone, Debug)]
enum Update {
    /// Number of the host, incarnation, and the claim.
    Claim(u16, u64, wire::Claim),
    /// Number of the host, incarnation, and serial.
    Record(u16, u64, u32),
}

fn host(port: u16) -> host::HostId {
    host::HostId::new(net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 7000 + port)))
}

/// The record of a host with this incarnation and serial; always the same for the same pair.
fn record(incarnation: u64, serial: u32) -> table::Record {
    let locality = view::Locality { region: "region".into(), zone: "zone".into() };
    let upstream = view::Upstream {
        service: "service".into(),
        class: "class".into(),
        phase: view::Phase::Serving,
        slots: serial as u16,
        connections: incarnation as u16,
        incarnation: 0,
        version: Default::default(),
        trial: Default::default(),
    };
    table::Record {
        incarnation,
        serial,
        locality: locality.into(),
        upstream: Some(upstream.into()),
    }
}

fn apply(table: &mut table::Table, update: &Update) {
    let now = clock::Instant::ZERO;
    match *update {
        Update::Claim(id, incarnation, claim) => table.claim(host(id), incarnation, claim, now),
        Update::Record(id, incarnation, serial) => {
            table.merge(host(id), record(incarnation, serial), now)
        }
    };
}

fn update() -> impl Strategy<Value = Update> {
    let claim =
        prop_oneof![Just(wire::Claim::Suspect), Just(wire::Claim::Dead), Just(wire::Claim::Left),];
    prop_oneof![
        (0u16..4, 1u64..5, claim).prop_map(|(h, i, c)| Update::Claim(h, i, c)),
        (0u16..4, 1u64..5, 1u32..5).prop_map(|(h, i, s)| Update::Record(h, i, s)),
    ]
}

/// A table with the first record of each host.
fn first_records() -> table::Table {
    let mut table = table::Table::default();
    (0..4).for_each(|h| apply(&mut table, &Update::Record(h, 1, 1)));
    table
}

/// Incarnation, serial, claim and slots of each host in a table. The slots count only with a record
/// of the incarnation.
fn content(table: &table::Table) -> Vec<(u64, u32, Option<wire::Claim>, Option<u16>)> {
    let entries = (0..4).filter_map(|h| table.get(host(h)));
    entries
        .map(|e| {
            let record = &e.record;
            let slots = record.upstream.as_ref().map(|u| u.slots);
            let known = (record.serial > 0).then_some(slots).flatten();
            (record.incarnation, record.serial, e.claim, known)
        })
        .collect()
}

fn config() -> ProptestConfig {
    let rng_seed = test_runner::RngSeed::Fixed(4);
    ProptestConfig { rng_seed, ..ProptestConfig::with_cases(256) }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn order_and_duplicates_change_nothing(
        updates in proptest::collection::vec(update(), 0..24),
        order in any::<u64>(),
    ) {
        let mut shuffled: Vec<_> = updates.iter().chain(&updates).enumerate().collect();
        shuffled.sort_by_key(|(i, _)| (*i as u64 + 1).wrapping_mul(order | 1));
        let (mut one, mut other) = (first_records(), first_records());
        updates.iter().for_each(|u| apply(&mut one, u));
        shuffled.iter().for_each(|(_, u)| apply(&mut other, u));
        prop_assert_eq!(content(&one), content(&other));
        prop_assert_eq!(one.root(), other.root());
        prop_assert_eq!(one.present_count(), other.present_count());
    }

    #[test]
    fn incarnation_serial_and_claim_never_decrease(
        updates in proptest::collection::vec(update(), 0..24),
    ) {
        let mut table = first_records();
        let mut last = content(&table);
        for update in &updates {
            apply(&mut table, update);
            let next = content(&table);
            for (old, new) in last.iter().zip(&next) {
                prop_assert!((old.0, old.1) <= (new.0, new.1), "{old:?} became {new:?}");
                let revived = old.0 == new.0 && old.2 > new.2;
                prop_assert!(!revived, "{old:?} became {new:?}");
            }
            last = next;
        }
    }

    #[test]
    fn digests_cover_exactly_the_present_hosts(
        updates in proptest::collection::vec(update(), 0..24),
    ) {
        let mut table = first_records();
        updates.iter().for_each(|u| apply(&mut table, u));
        let parts = table.digests(wire::Prefix::default());
        let count: usize = parts.iter().map(|(_, count)| count).sum();
        let root = parts.iter().fold(0, |acc, (d, _)| acc ^ u32::from_le_bytes(*d));
        prop_assert_eq!(count, table.present_count());
        prop_assert_eq!(root.to_le_bytes(), table.root());
        for (index, (_, count)) in (0u32..).zip(parts) {
            prop_assert_eq!(table.within(wire::Prefix { bits: 4, index }).count(), count);
        }
    }
}

#[test]
fn dead_hosts_are_removed_after_the_retention_time() {
    let mut table = first_records();
    apply(&mut table, &Update::Claim(0, 1, wire::Claim::Dead));
    apply(&mut table, &Update::Claim(1, 1, wire::Claim::Suspect));
    let age = time::Duration::from_secs(10);
    table.expire(age, clock::Instant::from_millis(10_000));
    assert!(table.get(host(0)).is_some());
    table.expire(age, clock::Instant::from_millis(10_001));
    assert!(table.get(host(0)).is_none());
    assert_eq!(table.present_count(), 3);
}

#[test]
fn localities_are_interned() {
    let table = first_records();
    let localities: Vec<_> = table.iter().map(|(_, e)| Arc::as_ptr(&e.record.locality)).collect();
    assert!(localities.iter().all(|p| *p == localities[0]));
}
