use std::net;

use rstest::rstest;

use crate::host;
use crate::member::updates;

const LIMITS: updates::Limits = updates::Limits { urgent: 5, plain: 3 };

fn topic(port: u16) -> updates::Topic {
    let address = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, port));
    updates::Topic::Record(host::HostId::new(address))
}

fn take(
    queue: &mut updates::Queue,
    priority: updates::Priority,
    room: usize,
) -> Vec<updates::Topic> {
    let mut taken = Vec::new();
    queue.offer(priority, LIMITS, |topic| {
        if taken.len() == room {
            return updates::Fit::Full;
        }
        taken.push(topic.clone());
        updates::Fit::Packed
    });
    taken
}

#[rstest]
#[case(updates::Priority::Urgent, 5)]
#[case(updates::Priority::Plain, 3)]
fn an_update_is_sent_a_bounded_number_of_times(
    #[case] priority: updates::Priority,
    #[case] times: usize,
) {
    let mut queue = updates::Queue::default();
    queue.add(topic(1), priority, 0);
    let sent = (0..20).map(|_| take(&mut queue, updates::Priority::Plain, 9).len()).sum::<usize>();
    assert_eq!(sent, times);
}

#[rstest]
fn urgent_and_least_sent_updates_go_first() {
    let mut queue = updates::Queue::default();
    queue.add(topic(1), updates::Priority::Plain, 1);
    queue.add(topic(2), updates::Priority::Plain, 0);
    queue.add(topic(3), updates::Priority::Urgent, 2);
    assert_eq!(take(&mut queue, updates::Priority::Urgent, 9), [topic(3)]);
    assert_eq!(take(&mut queue, updates::Priority::Plain, 2), [topic(3), topic(2)]);
}

#[rstest]
fn a_newer_update_replaces_the_older_one() {
    let mut queue = updates::Queue::default();
    queue.add(topic(1), updates::Priority::Urgent, 0);
    queue.add(topic(1), updates::Priority::Plain, 0);
    assert!(!queue.has_urgent());
    assert_eq!(take(&mut queue, updates::Priority::Plain, 9).len(), 1);
}
