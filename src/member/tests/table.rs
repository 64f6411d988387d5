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

/// An account of a host, as it may arrive from anyone.
#[derive(Clone, Debug)]
enum Account {
    Claim(u16, u64, wire::Claim),
    Record(u16, u64, u32),
}

fn host(port: u16) -> host::HostId {
    host::HostId::new(net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 7000 + port)))
}

/// The record that a host makes with this incarnation and serial; the same each time.
fn record(incarnation: u64, serial: u32) -> table::Record {
    let place = view::Locality { region: "region".into(), zone: "zone".into() };
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
    table::Record { incarnation, serial, locality: place.into(), upstream: Some(upstream.into()) }
}

fn apply(table: &mut table::Table, account: &Account) {
    let now = clock::Instant::ZERO;
    match *account {
        Account::Claim(id, incarnation, claim) => table.claim(host(id), incarnation, claim, now),
        Account::Record(id, incarnation, serial) => {
            table.merge(host(id), record(incarnation, serial), now)
        }
    };
}

fn account() -> impl Strategy<Value = Account> {
    let claim =
        prop_oneof![Just(wire::Claim::Suspect), Just(wire::Claim::Dead), Just(wire::Claim::Left),];
    prop_oneof![
        (0u16..4, 1u64..5, claim).prop_map(|(h, i, c)| Account::Claim(h, i, c)),
        (0u16..4, 1u64..5, 1u32..5).prop_map(|(h, i, s)| Account::Record(h, i, s)),
    ]
}

/// A table that knows each host's first record.
fn first() -> table::Table {
    let mut table = table::Table::default();
    (0..4).for_each(|h| apply(&mut table, &Account::Record(h, 1, 1)));
    table
}

/// What a table holds of each host. The upstream counts only with a record of the incarnation.
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
    fn order_and_doubling_change_nothing(
        accounts in proptest::collection::vec(account(), 0..24),
        order in any::<u64>(),
    ) {
        let mut shuffled: Vec<_> = accounts.iter().chain(&accounts).enumerate().collect();
        shuffled.sort_by_key(|(i, _)| (*i as u64 + 1).wrapping_mul(order | 1));
        let (mut one, mut other) = (first(), first());
        accounts.iter().for_each(|a| apply(&mut one, a));
        shuffled.iter().for_each(|(_, a)| apply(&mut other, a));
        prop_assert_eq!(content(&one), content(&other));
        prop_assert_eq!(one.root(), other.root());
        prop_assert_eq!(one.present(), other.present());
    }

    #[test]
    fn nothing_goes_back(accounts in proptest::collection::vec(account(), 0..24)) {
        let mut table = first();
        let mut last = content(&table);
        for account in &accounts {
            apply(&mut table, account);
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
    fn digests_cover_exactly_the_present(
        accounts in proptest::collection::vec(account(), 0..24),
    ) {
        let mut table = first();
        accounts.iter().for_each(|a| apply(&mut table, a));
        let parts = table.digests(wire::Prefix::default());
        let count: usize = parts.iter().map(|(_, count)| count).sum();
        let root = parts.iter().fold(0, |acc, (d, _)| acc ^ u32::from_le_bytes(*d));
        prop_assert_eq!(count, table.present());
        prop_assert_eq!(root.to_le_bytes(), table.root());
        for (index, (_, count)) in (0u32..).zip(parts) {
            prop_assert_eq!(table.within(wire::Prefix { bits: 4, index }).count(), count);
        }
    }
}

#[test]
fn forgets_only_the_dead_and_only_late() {
    let mut table = first();
    apply(&mut table, &Account::Claim(0, 1, wire::Claim::Dead));
    apply(&mut table, &Account::Claim(1, 1, wire::Claim::Suspect));
    let age = time::Duration::from_secs(10);
    table.forget(age, clock::Instant::from_millis(10_000));
    assert!(table.get(host(0)).is_some());
    table.forget(age, clock::Instant::from_millis(10_001));
    assert!(table.get(host(0)).is_none());
    assert_eq!(table.present(), 3);
}

#[test]
fn places_are_held_once() {
    let table = first();
    let places: Vec<_> = table.iter().map(|(_, e)| Arc::as_ptr(&e.record.locality)).collect();
    assert!(places.iter().all(|p| *p == places[0]));
}
