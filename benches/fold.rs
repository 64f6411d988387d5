//! Time to apply log records whose configuration file has 370 services.

#[path = "../tests/fixture/mod.rs"]
mod fixture;

use bytes::Bytes;
use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use dandelionspool::fold::{Fold, id, record, rules};
use dandelionspool::version::Version;

fn publish(base: u64, id: u8) -> Bytes {
    let body = fixture::file(Some(usize::from(id))).into();
    let (base, id) = (Version::new(base), id::PublishId::new([id; 16]));
    let publish = record::Publish { format: rules::NEWEST_FORMAT, base, id, body };
    record::encode(&record::Record::Publish(publish)).unwrap_or_default()
}

fn verdicts(criterion: &mut Criterion) {
    let mut fold = Fold::starting_at(rules::Builtin, 0);
    fold.apply(0, 0, &publish(0, 1));
    let snapshot = fold.encode().ok().flatten().unwrap_or_default();
    let joiner = Fold::starting_at(rules::Builtin, 1);
    let cases = [
        ("accept a publish", &fold, publish(1, 2)),
        ("refuse a conflict", &fold, publish(0, 3)),
        ("adopt a snapshot", &joiner, snapshot),
    ];
    for (name, fold, body) in cases {
        criterion.bench_function(name, |b| {
            b.iter_batched_ref(|| fold.clone(), |f| f.apply(1, 0, &body), BatchSize::SmallInput);
        });
    }
}

criterion_group!(benches, verdicts);
criterion_main!(benches);
