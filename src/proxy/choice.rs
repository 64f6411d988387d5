//! Picks the upstream for an attempt of a call.

use std::sync::Arc;

use crate::admit;
use crate::claim;
use crate::host;
use crate::mesh;
use crate::pick;
use crate::proxy::call;
use crate::proxy::inbound_link;
use crate::proxy::refuse;
use crate::proxy::state;
use crate::retry;
use crate::rollout;

/// Bytes that the heads of a call and of its answer take between two nodes: path, ids, names and
/// times. Nested calls consist of little else.
const HEAD_BYTES: u64 = 400;

/// Picks the upstream for an attempt, among the versions that the roll-out selects for this call.
///
/// # Errors
///
/// There is no upstream, or all of them have used up the limits that they name.
pub fn choose<C: claim::Claims>(
    state: &state::State<C>,
    call: &call::Call,
    avoid: &[host::HostId],
) -> Result<pick::Choice, refuse::Cause> {
    let (now, service) = (state.ctx.now(), &call.service().name);
    let current = state.applied();
    let transfer_cost = transfer_cost(state, call);
    let pick = |group| {
        let target = call.target(&current, group)?;
        state.picker.borrow_mut().pick_with_cost(target, transfer_cost, now, avoid)
    };
    let group = state.rollouts.next_group(service, &call.route().name, now);
    let choice = pick(group).or_else(|| pick(state.rollouts.fallback(service, group)?));
    choice.ok_or_else(|| no_upstream(state, call, &current))
}

/// Why there is no upstream for a call.
fn no_upstream<C: claim::Claims>(
    state: &state::State<C>,
    call: &call::Call,
    current: &Arc<mesh::Applied>,
) -> refuse::Cause {
    let (now, rank) = (state.ctx.now(), call.spec().rank());
    let target = call.target(current, rollout::VersionGroup::Any);
    let room_at = target.and_then(|target| state.picker.borrow().room_at(target, rank, now));
    room_at.map_or(refuse::Cause::new(retry::Reason::NoUpstream), |room_at| {
        let retry_after = admit::stagger(room_at.since(now), admit::Ticket(state.next_number()));
        refuse::Cause::new(retry::Reason::Limited).retry_in(retry_after)
    })
}

/// The cost of transferring the call's body and answer.
fn transfer_cost<C: claim::Claims>(
    state: &state::State<C>,
    call: &call::Call,
) -> pick::TransferCost {
    let unit = u64::from(state.settings.call.cross_bytes);
    let heads = if state.settings.call.zone_overflow { HEAD_BYTES } else { 0 };
    let bytes = heads + call.body.bytes() + state.sizes.borrow().expected(&call.kind().name);
    let cross = if unit == 0 { 0.0 } else { bytes as f32 / unit as f32 };
    let link = inbound_link::link_time(&state.settings.proxy, bytes);
    pick::TransferCost {
        cross_zone: cross,
        link_us: link,
        rank: call.spec().rank(),
        idempotent: call.kind().idempotent,
        urgency: urgency(state, call),
    }
}

/// The urgency of a call of a kind of priority 0; `None` before the first answer of its kind.
fn urgency<C: claim::Claims>(state: &state::State<C>, call: &call::Call) -> Option<pick::Urgency> {
    let kind = call.kind();
    if !state.settings.call.urgent_room || kind.priority != 0 {
        return None;
    }
    let spread = state.run_times.borrow().spread(&kind.name)?;
    let left = call.target.since(state.ctx.now());
    Some(pick::Urgency { mean: spread.mean, deviation: spread.deviation, left })
}
