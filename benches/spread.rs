//! Time to build the push tree and to choose the readers of a zone, at the sizes to design for.

use std::hint;
use std::net;

use criterion::BenchmarkId;
use criterion::Criterion;
use dandelionspool::host;
use dandelionspool::spread::tree;
use dandelionspool::version;

fn hosts(count: u16) -> Vec<host::HostId> {
    let ip = |n: u16| net::Ipv4Addr::new(127, 9, (n >> 8) as u8, (n & 255) as u8);
    (0..count).map(|n| host::HostId::new((ip(n), 7100).into())).collect()
}

fn trees(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("spread");
    // One of five zones, and a single zone with all hosts of the mesh.
    for count in [560, 2800] {
        let zone = hosts(count);
        group.bench_with_input(BenchmarkId::new("children", count), &zone, |b, zone| {
            b.iter(|| {
                let tree = tree::Tree::new(hint::black_box(zone), version::Version::new(7), 4);
                tree.children(zone[3]).len()
            });
        });
        group.bench_with_input(BenchmarkId::new("readers", count), &zone, |b, zone| {
            b.iter(|| tree::readers(hint::black_box(zone)).first().copied());
        });
    }
    group.finish();
}

criterion::criterion_group!(benches, trees);
criterion::criterion_main!(benches);
