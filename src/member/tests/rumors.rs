use std::net;

use rstest::rstest;

use crate::host;
use crate::member::rumors;

const LIMITS: rumors::Limits = rumors::Limits { urgent: 5, plain: 3 };

fn topic(port: u16) -> rumors::Topic {
    let address = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, port));
    rumors::Topic::Record(host::HostId::new(address))
}

fn take(queue: &mut rumors::Rumors, rank: rumors::Rank, room: usize) -> Vec<rumors::Topic> {
    let mut taken = Vec::new();
    queue.take(rank, LIMITS, |topic| {
        if taken.len() == room {
            return rumors::Fit::Full;
        }
        taken.push(topic.clone());
        rumors::Fit::Packed
    });
    taken
}

#[rstest]
#[case(rumors::Rank::Urgent, 5)]
#[case(rumors::Rank::Plain, 3)]
fn news_are_sent_a_bounded_number_of_times(#[case] rank: rumors::Rank, #[case] times: usize) {
    let mut queue = rumors::Rumors::default();
    queue.add(topic(1), rank, 0);
    let sent = (0..20).map(|_| take(&mut queue, rumors::Rank::Plain, 9).len()).sum::<usize>();
    assert_eq!(sent, times);
}

#[rstest]
fn urgent_and_least_sent_go_first() {
    let mut queue = rumors::Rumors::default();
    queue.add(topic(1), rumors::Rank::Plain, 1);
    queue.add(topic(2), rumors::Rank::Plain, 0);
    queue.add(topic(3), rumors::Rank::Urgent, 2);
    assert_eq!(take(&mut queue, rumors::Rank::Urgent, 9), [topic(3)]);
    assert_eq!(take(&mut queue, rumors::Rank::Plain, 2), [topic(3), topic(2)]);
}

#[rstest]
fn newer_news_replace_older_ones() {
    let mut queue = rumors::Rumors::default();
    queue.add(topic(1), rumors::Rank::Urgent, 0);
    queue.add(topic(1), rumors::Rank::Plain, 0);
    assert!(!queue.has_urgent());
    assert_eq!(take(&mut queue, rumors::Rank::Plain, 9).len(), 1);
}
