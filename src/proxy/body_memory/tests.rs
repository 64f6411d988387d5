use std::rc::Rc;

use crate::proxy::body_memory;

#[test]
fn no_more_than_the_total_is_reserved_and_freed_bytes_can_be_reserved_again() {
    let memory = Rc::new(body_memory::BodyMemory::new(100));
    let first = memory.reserve(60);
    assert!(first.is_some());
    assert!(memory.reserve(41).is_none());
    let mut second = memory.reserve(40).expect("40 bytes are free");
    assert!(memory.reserve(1).is_none());
    second.shrink(10);
    assert!(memory.reserve(30).is_some(), "freed at once");
    drop(first);
    assert!(memory.reserve(90).is_some());
    assert!(memory.reserve(91).is_none());
}
