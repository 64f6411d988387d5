//! Time to pick an upstream and to record the start and end of its call, at the size to design for:
//! 2,800 upstreams in 370 services.

use std::hint;
use std::net;
use std::sync::Arc;
use std::time;

use criterion::{Criterion, criterion_group, criterion_main};
use dandelionspool::admit;
use dandelionspool::clock;
use dandelionspool::configs;
use dandelionspool::host;
use dandelionspool::mesh;
use dandelionspool::pick;
use dandelionspool::retry;
use dandelionspool::rollout;
use dandelionspool::view;
use smol_str::{SmolStr, format_smolstr};

const UPSTREAMS: u16 = 2800;
const SERVICES: u16 = 370;
const ZONES: u16 = 5;

fn locality(number: u16) -> view::Locality {
    let region = format_smolstr!("region-{}", number % 2);
    view::Locality { zone: format_smolstr!("{region}-{}", number / 2 % ZONES), region }
}

fn host(number: u16) -> view::Host {
    let service = format_smolstr!("service-{}", number % SERVICES);
    let [high, low] = number.to_be_bytes();
    let upstream = view::Upstream {
        class: service.clone(),
        service,
        phase: view::Phase::Serving,
        slots: 9,
        connections: 120,
        incarnation: 0,
        version: Default::default(),
        trial: Default::default(),
    };
    view::Host {
        id: host::HostId::new(net::SocketAddr::from(([127, 0, high, low], 7100))),
        locality: Arc::new(locality(number / SERVICES)),
        incarnation: 1,
        health: view::Health::Alive,
        upstream: Some(Arc::new(upstream)),
    }
}

fn service(name: SmolStr) -> mesh::Service {
    let objectives = mesh::Objectives {
        availability: 0.999,
        latency: time::Duration::from_millis(100),
        share: 0.99,
        window: time::Duration::from_secs(3600),
    };
    mesh::Service {
        name,
        organisation: mesh::OrganisationKey(0),
        timeout: time::Duration::from_secs(1),
        queue: 18,
        retries: 10,
        objectives,
    }
}

fn configuration() -> mesh::Mesh {
    let mut mesh = mesh::Mesh::default();
    for number in 0..SERVICES {
        let name = format_smolstr!("service-{number}");
        mesh.services.push(service(name.clone()));
        mesh.classes.push(mesh::Class {
            name,
            service: mesh::ServiceKey(number),
            slots: 9,
            connections: 120,
            warmup: time::Duration::from_secs(10),
        });
    }
    mesh
}

fn call(picker: &mut pick::Picker, number: u64) {
    let now = clock::Instant::from_micros(number * 40);
    let service = mesh::ServiceKey((number % u64::from(SERVICES)) as u16);
    let target = pick::Target { service, class: None, group: rollout::VersionGroup::Any };
    let Some(choice) = picker.pick(hint::black_box(target), now, &[]) else { return };
    picker.started(choice, now);
    let load = admit::Load { running: 5, waiting: 0, slots: 9, service_us: 9000 };
    let latency = time::Duration::from_millis(10);
    let report = pick::Report {
        outcome: retry::Outcome::Ran,
        load: Some(load),
        relative_time: None,
        notice: None,
        retry_after: None,
        latency,
        node_delay: None,
        responded_at: None,
    };
    picker.ended(choice, hint::black_box(&report), now);
}

fn bench(criterion: &mut Criterion) {
    let view = view::View::new((0..UPSTREAMS).map(host).collect());
    let mesh = configuration();
    let settings = configs::call::Call::default();
    let mut picker = pick::Picker::new(locality(0), &settings, 1);
    picker.rebuild(&view, &mesh, clock::Instant::ZERO);
    let mut number = 0;
    criterion.bench_function("pick, start and end one call", |b| {
        b.iter(|| {
            number += 1;
            call(&mut picker, number);
        });
    });
    criterion.bench_function("rebuild from view and mesh", |b| {
        b.iter(|| picker.rebuild(&view, &mesh, clock::Instant::ZERO));
    });
}

criterion_group!(benches, bench);
criterion_main!(benches);
