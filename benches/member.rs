//! Processor time of one host's membership in meshes of up to 2,800 hosts.

#![allow(dead_code)]

use std::hint;

use criterion::BenchmarkId;
use criterion::Criterion;
use dandelionspool::view;

#[path = "../tests/member/feed.rs"]
mod feed;
#[path = "../tests/member/net.rs"]
mod net;

const SIZES: [usize; 3] = [100, 700, 2800];

fn second(c: &mut Criterion) {
    let mut group = c.benchmark_group("member/idle second");
    for count in SIZES {
        let mut feed = feed::Feed::new(count);
        group.bench_function(BenchmarkId::from_parameter(count), |b| b.iter(|| feed.second()));
    }
}

fn change(c: &mut Criterion) {
    let mut group = c.benchmark_group("member/change heard 40 times");
    for count in SIZES {
        let mut feed = feed::Feed::new(count);
        let mut incarnation = 0;
        group.bench_function(BenchmarkId::from_parameter(count), |b| {
            b.iter(|| {
                incarnation += 1;
                feed.gossip(9, incarnation, view::Phase::Serving, 40);
            });
        });
    }
}

fn snapshot(c: &mut Criterion) {
    let mut group = c.benchmark_group("member/view");
    for count in SIZES {
        let mut feed = feed::Feed::new(count);
        group.bench_function(BenchmarkId::from_parameter(count), |b| {
            b.iter(|| hint::black_box(feed.member.view()));
        });
    }
}

fn join(c: &mut Criterion) {
    let mut group = c.benchmark_group("member/join");
    group.sample_size(10);
    for count in SIZES {
        group.bench_function(BenchmarkId::from_parameter(count), |b| {
            b.iter(|| hint::black_box(feed::Feed::new(count)));
        });
    }
}

criterion::criterion_group!(benches, second, change, snapshot, join);
criterion::criterion_main!(benches);
