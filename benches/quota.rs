//! The stages of a call that depend on its organisation: finding it by its API key, and taking a
//! credit, with 4,096 organisations of five keys each.

use std::hint;
use std::net;
use std::sync::Arc;
use std::time;

use criterion::{Criterion, criterion_group, criterion_main};
use dandelionspool::api_key;
use dandelionspool::configs;
use dandelionspool::context;
use dandelionspool::host;
use dandelionspool::mesh;
use dandelionspool::proxy::quotas;
use dandelionspool::quota;
use dandelionspool::seal;
use dandelionspool::version;
use dandelionspool::view;
use futures_util::FutureExt as _;
use serde_json::json;

const ORGANISATIONS: usize = 4096;

/// Keys of each organisation; more of them would not fit into a configuration.
const KEYS: usize = 5;

/// Calls per second of each organisation, and its burst, so high that no call is refused.
const RATE: u32 = 1_000_000;

fn key(organisation: usize, number: usize) -> String {
    format!("dsk_{organisation:036x}{number:04x}")
}

fn mesh() -> mesh::Mesh {
    let organisation = |index: usize| {
        let digest = |number| api_key::Digest::of(key(index, number).as_bytes()).to_string();
        let keys: Vec<String> = (0..KEYS).map(digest).collect();
        json!({"name": format!("o{index}"), "keys": keys, "rate_per_s": RATE, "burst": RATE})
    };
    let organisations: Vec<_> = (0..ORGANISATIONS).map(organisation).collect();
    let file = json!({"format": 5, "organisations": organisations}).to_string();
    mesh::check::check(file.as_bytes()).expect("the file has no fault")
}

fn quotas(applied: &mesh::Applied) -> quotas::Quotas {
    let me = host::HostId::new((net::Ipv4Addr::LOCALHOST, 7100).into());
    let locality = Arc::new(view::Locality { region: "r".into(), zone: "z".into() });
    let own = view::Host {
        id: me,
        locality,
        incarnation: 1,
        health: view::Health::Alive,
        upstream: None,
    };
    let seal = seal::Seal::new("mesh", "key");
    let settings = configs::quota::Quota::default();
    let counts = quota::Counts::default();
    let quotas = quotas::Quotas::new(context::Context::system(), me, seal, &settings, counts);
    quotas.update(applied, &view::View::new(vec![own]));
    std::thread::sleep(quota::HANDOVER + time::Duration::from_millis(100));
    quotas
}

fn bench(c: &mut Criterion) {
    let version_id = version::VersionId { version: version::Version::new(1), ..Default::default() };
    let applied = mesh::Applied { version_id, mesh: Arc::new(mesh()) };
    let mesh = &applied.mesh;
    let quotas = quotas(&applied);
    let keys: Vec<String> = (0..ORGANISATIONS).map(|index| key(index, index % KEYS)).collect();
    let mut next = 0;
    c.bench_function("key and credit", |b| {
        b.iter(|| {
            next = (next + 1) % 64;
            let digest = api_key::Digest::of(hint::black_box(keys[next * 64].as_bytes()));
            let organisation = mesh.organisation_of_key(digest).expect("a known key");
            let taken = quotas.take(mesh.organisation(organisation)).now_or_never();
            assert!(matches!(taken, Some(Ok(Some(_)))));
        });
    });
}

criterion_group!(benches, bench);
criterion_main!(benches);
