//! Decoders of records and messages, with real ones of which some bytes were changed or cut off:
//! whatever other writers leave, a decoder returns an error or a value, and what it returns can be
//! encoded again.

use std::net;

use bytes::Bytes;
use dandelionspool::claim;
use dandelionspool::fold::record;
use dandelionspool::fold::rules;
use dandelionspool::host;
use dandelionspool::logs;
use dandelionspool::quota;
use dandelionspool::rollout;
use dandelionspool::seal;
use dandelionspool::spread::message;
use dandelionspool::spread::wire;
use dandelionspool::usage;
use dandelionspool::usage::sum;
use dandelionspool::version;
use proptest::prelude::*;

/// Bytes to change, by position, and the length to cut to.
type Changes = (Vec<(usize, u8)>, usize);

fn changes() -> impl Strategy<Value = Changes> {
    (prop::collection::vec((0usize..300, any::<u8>()), 0..8), 0usize..300)
}

fn changed(bytes: &[u8], (changes, length): &Changes) -> Vec<u8> {
    let mut bytes = bytes.to_vec();
    for (position, byte) in changes {
        if let Some(old) = bytes.get_mut(*position) {
            *old = *byte;
        }
    }
    bytes.truncate(*length);
    bytes
}

fn host(port: u16) -> host::HostId {
    host::HostId::new((net::Ipv4Addr::LOCALHOST, port).into())
}

fn total() -> usage::record::Total {
    let id = usage::record::TotalId { host: host(7100), incarnation: 5, sequence: 2 };
    let label = usage::Label {
        organisation: "sellers".into(),
        service: "shop".into(),
        kind: "order".into(),
        weight: 20,
    };
    let rows = vec![usage::record::Row { label, served: 300 }];
    usage::record::Total { id, until_unix_ms: 1_700_000_000_000, rows }
}

proptest! {
    #[test]
    fn totals_of_usage(changes in changes()) {
        let bytes = changed(&usage::record::encode(&total()), &changes);
        if let Some(decoded) = usage::record::decode(&bytes) {
            prop_assert_eq!(usage::record::decode(&usage::record::encode(&decoded)), Some(decoded));
        }
    }

    #[test]
    fn records_of_usage(changes in changes()) {
        let record = usage::record::join(&[usage::record::encode(&total())]);
        let bytes = changed(&record, &changes);
        let _ = usage::record::split(&bytes);
    }

    #[test]
    fn frames_of_the_ledger(changes in changes()) {
        let request = claim::wire::Request::Usage { id: 3, total: Bytes::from_static(b"total") };
        let bytes = changed(&claim::wire::encode(&request), &changes);
        if let Some(decoded) = claim::wire::decode::<claim::wire::Request>(&bytes) {
            let again = claim::wire::encode(&decoded);
            prop_assert_eq!(claim::wire::decode::<claim::wire::Request>(&again), Some(decoded));
        }
        let _ = claim::wire::decode::<claim::wire::Response>(&bytes);
        let _ = claim::wire::decode::<claim::wire::Hello>(&bytes);
        let _ = claim::record::decode(&bytes);
    }

    #[test]
    fn messages_of_the_distribution(changes in changes()) {
        let seal = wire::seal("mesh", "a key of sixteen or more");
        let datagram = message::Datagram::QueryReply {
            version_id: version::VersionId::default(),
            highest_run: version::Version::NONE,
        };
        let envelope = message::Envelope { host: Some(host(7100)), datagram };
        let sealed = wire::encode(&seal, &envelope).expect("encodes");
        // A datagram that was changed on its way is not one of the mesh.
        let bytes = changed(&sealed, &changes);
        let decoded = wire::decode::<message::Envelope>(&seal, &bytes);
        prop_assert!(bytes == sealed || decoded.is_err());
        // One that a node made wrongly is sealed.
        let plain = postcard::to_allocvec(&envelope).expect("encodes");
        let bytes = seal.seal(&changed(&plain, &changes));
        let _ = wire::decode::<message::Envelope>(&seal, &bytes);
        let _ = wire::decode::<message::Fetch>(&seal, &bytes);
        let _ = wire::decode::<message::FetchReply>(&seal, &bytes);
    }

    #[test]
    fn messages_of_quotas(changes in changes()) {
        let seal = seal::Seal::new("mesh", "a key of sixteen or more");
        let reply = quota::wire::Reply {
            session: 7,
            number: 9,
            organisation: quota::OrganisationId::of("sellers"),
            verdict: quota::wire::Verdict::Lent { credits: 3, lifetime_ms: 200 },
        };
        let plain = postcard::to_allocvec(&quota::wire::Message::Reply(reply)).expect("encodes");
        let bytes = seal.seal(&changed(&plain, &changes));
        let _ = quota::wire::Message::decode(&bytes, &seal);
    }

    #[test]
    fn records_of_configurations(changes in changes()) {
        let version = version::Version::assigned(3, 8);
        let body = Bytes::from_static(b"{}");
        let accepted = record::Accepted { version, format: 1, body };
        let bytes = record::encode(&record::Record::Accepted(accepted)).expect("encodes");
        let _ = record::decode(&changed(&bytes, &changes), rules::NEWEST_FORMAT);
    }

    #[test]
    fn reports_of_trials(changes in changes()) {
        let one = rollout::counts::RouteReport {
            route: rollout::RouteId::of("r"),
            new: rollout::counts::RouteCounts { answers: 3, bad: 2, failed: 1 },
            old: rollout::counts::RouteCounts { answers: 300, bad: 2, failed: 1 },
        };
        let bytes = postcard::to_allocvec(&vec![one; 4]).expect("encodes");
        let decoded = postcard::from_bytes(&changed(&bytes, &changes));
        let Ok::<rollout::counts::RouteReports, _>(decoded) = decoded else { return Ok(()) };
        let mut routes = rollout::counts::Routes::default();
        (0..3).for_each(|_| routes.add(&decoded));
        // Counts that no node made may give any finding, but one.
        let _ = rollout::judge::examine(&routes);
    }
}

/// Guards against usage that is charged wrongly, or a report that ends, since a total names a
/// number which no node counted.
#[test]
fn numbers_too_large_of_usage_are_added_up() {
    let mut sum = sum::Sum::new(1000);
    for sequence in 1..=3 {
        let mut odd = total();
        odd.id.sequence = sequence;
        odd.until_unix_ms = u64::MAX;
        odd.rows[0].served = u64::MAX;
        let body = usage::record::join(&[usage::record::encode(&odd)]);
        sum.add(&logs::Record { offset: sequence, unix_millis: 0, body });
    }
    let charges = sum.charges();
    assert_eq!(charges.len(), 1);
    assert_eq!((charges[0].served, charges[0].charge), (u64::MAX, u64::MAX));
}
