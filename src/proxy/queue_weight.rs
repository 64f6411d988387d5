//! The weight of a call in an owner node's queue, sent from the entry node: encodes the priorities
//! of the call's organisation and kind.

use crate::mesh;
use crate::proxy::organisations;

#[cfg(test)]
mod tests;

/// Bits for the weight within a priority. The maximum weight of a configuration fits.
const WEIGHT_BITS: u32 = 20;

/// Bits for the priority of a kind.
const KIND_BITS: u32 = 8;

/// Weight of a call of `kind` in the owner node's queue: organisations of higher priority (a lower
/// number) come first, then kinds of higher priority, then those of greater weight.
pub fn encode(kind: &mesh::Kind, caller: Option<&organisations::Caller>) -> u32 {
    let priority = caller.map(|caller| caller.priority);
    let organisation = u32::from(mesh::organisation_urgency(priority));
    let urgency = organisation << KIND_BITS | u32::from(u8::MAX - kind.priority);
    (urgency << WEIGHT_BITS) | kind.weight.min((1 << WEIGHT_BITS) - 1)
}

/// Whether `weight` is that of a call of a kind of priority 0, the most urgent one.
pub const fn is_urgent(weight: u32) -> bool {
    const MAX_URGENCY: u32 = (1 << KIND_BITS) - 1;
    (weight >> WEIGHT_BITS) & MAX_URGENCY == MAX_URGENCY
}
