use std::time;

use rand::SeedableRng as _;
use rand::rngs;
use rstest::rstest;

use crate::clock;
use crate::configs;
use crate::spread::read_schedule;
use crate::spread::read_schedule::{ReadResult, Role};

const POLL_WAIT: time::Duration = time::Duration::from_secs(2);

/// Reads of a host from its start to `seconds`. The log gets its first record after three seconds,
/// and no other host is known.
fn reads(role: Role, seconds: u64) -> usize {
    let settings = configs::spread::Spread::default();
    let mut schedule = read_schedule::ReadSchedule::new(&settings, POLL_WAIT);
    let mut rng = rngs::StdRng::seed_from_u64(1);
    let (mut now, end) = (clock::Instant::ZERO, clock::Instant::from_millis(seconds * 1000));
    let first = clock::Instant::from_millis(3000);
    let mut count = 0;
    while now < end {
        if schedule.poll(role, now).is_none() {
            now = now + time::Duration::from_millis(10);
            continue;
        }
        count += 1;
        // The first read does not wait: the host does not know where the log ends.
        let wait = if count == 1 { time::Duration::ZERO } else { schedule.wait(role) };
        let answered = if now < first { first.min(now + wait) } else { now + wait };
        let new = now < first && answered == first;
        now = answered.max(now + time::Duration::from_millis(4));
        let result = if new { ReadResult::ReachedEnd } else { ReadResult::Empty };
        schedule.done(role, result, now, &mut rng);
    }
    count
}

/// When all hosts of a mesh start for the first time, none knows the others until their upstreams
/// have announced themselves, some time after the first configuration. Each read the log as if it
/// were the only one: four calls a host.
#[rstest]
#[case::lone(Role::Lone, 2)]
#[case::follower(Role::Follow, 4)]
fn a_host_that_knows_no_other_reads_little(#[case] role: Role, #[case] expected: usize) {
    assert_eq!(reads(role, 4), expected);
}
