//! Processor time of claims in the writer, and their size in the log: `cargo bench --bench claim`.

use std::hint;
use std::net;
use std::time;

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use dandelionspool::claim::event::{Action, Event, Limits, Token};
use dandelionspool::claim::record::{Entry, Op, decode, encode};
use dandelionspool::claim::{Attempt, Key, fold, writer};
use dandelionspool::clock;
use dandelionspool::host;
use dandelionspool::logs;

/// Claims in one append.
const CLAIMS: u64 = 200;

fn entry(n: u64) -> Entry {
    let host = net::SocketAddr::from(([10, 0, (n % 11) as u8, (n % 251) as u8], 7100));
    let attempt = Attempt { host: host::HostId::new(host), incarnation: 3, number: 1_000_000 + n };
    Entry { key: Key::new("POST", "/gifts", &n.to_le_bytes()), attempt, op: Op::Claim }
}

/// Runs [`CLAIMS`] claims from request to answer, with a log that answers at once. Returns the
/// number of answers.
fn run_claims(
    writer: &mut writer::Writer,
    first: u64,
    offset: &mut u64,
    now: clock::Instant,
) -> usize {
    let deadline = now + time::Duration::from_secs(5);
    let mut actions = Vec::new();
    for n in first..first + CLAIMS {
        let request = Event::Request { token: Token(n), entry: entry(n), deadline };
        actions.extend(writer.handle(request, now));
    }
    let later = now + time::Duration::from_millis(20);
    actions.extend(writer.handle(Event::Tick, later));
    let mut answers = 0;
    while let Some(action) = actions.pop() {
        match action {
            Action::Append(_, body) => {
                let unix_millis = 1_000_000 + now.as_micros() / 1000;
                let record = logs::Record { offset: *offset, unix_millis, body };
                *offset += 1;
                let batch =
                    logs::Batch { epoch: 0, first: 0, next: *offset, records: vec![record] };
                actions.extend(writer.handle(Event::Read(Some(batch)), later));
            }
            Action::Answer(..) => answers += 1,
            Action::Read(_) => {}
        }
    }
    answers
}

fn claims(criterion: &mut Criterion) {
    let entries: Vec<Entry> = (0..CLAIMS).map(entry).collect();
    let body = encode(&entries);
    println!("bytes in the log for {CLAIMS} claims: {}", body.len());
    criterion.bench_function("encode 200 claims", |b| b.iter(|| encode(hint::black_box(&entries))));
    criterion.bench_function("decode 200 claims", |b| b.iter(|| decode(hint::black_box(&body))));
    criterion.bench_function("fold 200 claims", |b| {
        let empty = || fold::Fold::new(time::Duration::from_secs(600));
        b.iter_batched_ref(
            empty,
            |fold| entries.iter().for_each(|entry| fold.apply(1000, entry)),
            BatchSize::SmallInput,
        );
    });
    criterion.bench_function("write 200 claims, question to answer", |b| {
        let limits = Limits {
            append_interval: time::Duration::from_millis(20),
            window: time::Duration::from_secs(600),
            append_timeout: time::Duration::from_secs(1),
            max_waiting: 20_000,
        };
        let mut writer = writer::Writer::new(limits);
        let (mut first, mut offset, mut now) = (0, 0, clock::Instant::from_millis(1000));
        writer.handle(Event::Tick, now);
        for _ in 0..2 {
            writer.handle(Event::Read(Some(logs::Batch::default())), now);
        }
        b.iter(|| {
            now = now + time::Duration::from_millis(50);
            first += CLAIMS;
            run_claims(&mut writer, first, &mut offset, now)
        });
    });
}

criterion_group!(benches, claims);
criterion_main!(benches);
