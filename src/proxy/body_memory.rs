//! A bound on the memory for buffered bodies of requests, for the whole process.

use std::cell::Cell;
use std::rc::Rc;

#[cfg(test)]
mod tests;

/// The memory that bodies may still take up.
#[derive(Debug)]
pub struct BodyMemory {
    free: Cell<u64>,
}

/// Reserved bytes, which are free again when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    memory: Rc<BodyMemory>,
    bytes: u64,
}

impl BodyMemory {
    /// Memory of which `bytes` are free.
    pub const fn new(bytes: u64) -> Self {
        Self { free: Cell::new(bytes) }
    }

    /// Reserves `bytes`; `None` when fewer are free.
    pub fn reserve(self: &Rc<Self>, bytes: u64) -> Option<Reservation> {
        let free = self.free.get().checked_sub(bytes)?;
        self.free.set(free);
        Some(Reservation { memory: Rc::clone(self), bytes })
    }
}

impl Reservation {
    /// Frees all but `bytes`.
    pub fn shrink(&mut self, bytes: u64) {
        let spare = self.bytes.saturating_sub(bytes);
        self.bytes -= spare;
        self.memory.free.set(self.memory.free.get() + spare);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.free.set(self.memory.free.get() + self.bytes);
    }
}
