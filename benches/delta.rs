//! Time to compute and to apply the patch for one changed route in a file of 370 services.

#[path = "../tests/fixture/mod.rs"]
mod fixture;

use criterion::{Criterion, criterion_group, criterion_main};
use dandelionspool::delta;
use dandelionspool::version::Digest;

fn patches(criterion: &mut Criterion) {
    let (base, next) = (fixture::file(None), fixture::file(Some(185)));
    let digest = Digest::of(&next);
    for (name, base) in [("delta", Some(&base[..])), ("whole", None)] {
        let patch = delta::diff(base, &next);
        criterion.bench_function(&format!("make {name}"), |b| b.iter(|| delta::diff(base, &next)));
        criterion.bench_function(&format!("restore {name}"), |b| {
            b.iter(|| delta::apply(base, &patch, digest));
        });
    }
}

criterion_group!(benches, patches);
criterion_main!(benches);
