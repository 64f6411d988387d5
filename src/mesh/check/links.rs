//! References between items: each must lead to an item, a route's also within its own service.

use std::collections;

use crate::mesh::check;
use crate::mesh::check::items;
use crate::mesh::fault;

/// Adds every reference of `draft` that leads nowhere to `faults`.
pub fn check(draft: &items::Draft<'_>, faults: &mut Vec<fault::Fault>) {
    let organisation = if draft.format == check::FORMAT_1 { "team" } else { "organisation" };
    for service in draft.services.iter() {
        follow(&service, organisation, &draft.organisations, faults);
    }
    for upstream in draft.upstreams.iter() {
        follow(&upstream, "service", &draft.services, faults);
    }
    for route in draft.routes.iter() {
        check_route(draft, &route, faults);
    }
    check_rollouts(draft, faults);
}

/// An order must name a service, each at most once, and a version; older formats know of none.
fn check_rollouts(draft: &items::Draft<'_>, faults: &mut Vec<fault::Fault>) {
    let rollouts = &draft.rollouts;
    if draft.format < check::LATEST_FORMAT {
        if !rollouts.is_empty() {
            faults.push(fault::Fault::new(&rollouts.pointer, fault::Problem::UnknownField));
        }
        return;
    }
    let mut seen = collections::HashSet::new();
    for rollout in rollouts.iter() {
        follow(&rollout, "service", &draft.services, faults);
        let mut wrong = |field: &str, reason: &str| {
            let problem = fault::Problem::WrongValue { reason: reason.to_owned() };
            faults.push(fault::Fault::new(rollout.field(field), problem));
        };
        if rollout.text("version") == Some("") {
            wrong("version", "a version has a name");
        }
        if rollout.text("service").is_some_and(|service| !seen.insert(service)) {
            wrong("service", "the service has an order already");
        }
    }
}

fn check_route(
    draft: &items::Draft<'_>,
    route: &items::Item<'_, '_>,
    faults: &mut Vec<fault::Fault>,
) {
    let service = follow(route, "service", &draft.services, faults);
    if let Some(kinds) = service.and_then(|s| draft.kinds.get(s.index)) {
        follow(route, "kind", kinds, faults);
    }
    check_split(draft, route, faults);
    let upstream = follow(route, "upstream", &draft.upstreams, faults);
    if let (Some(service), Some(upstream)) = (service, upstream) {
        check_owner(route, &service, &upstream, faults);
    }
}

/// The parts of a split route must lead to services, and one of them must have a weight.
fn check_split(
    draft: &items::Draft<'_>,
    route: &items::Item<'_, '_>,
    faults: &mut Vec<fault::Fault>,
) {
    let split = items::List::read_unnamed(route.value, &route.pointer(), "split");
    for part in split.iter() {
        follow(&part, "service", &draft.services, faults);
    }
    let weightless = |part: &items::Item<'_, '_>| part.value.get("weight") == Some(&0.into());
    if !split.is_empty() && split.iter().all(|part| weightless(&part)) {
        let reason = "no part of the split has a weight".to_owned();
        let fault = fault::Fault::new(&split.pointer, fault::Problem::WrongValue { reason });
        faults.push(fault);
    }
}

/// The upstream a route names must be one of the route's own service.
fn check_owner(
    route: &items::Item<'_, '_>,
    service: &items::Item<'_, '_>,
    upstream: &items::Item<'_, '_>,
    faults: &mut Vec<fault::Fault>,
) {
    let Some(owner) = upstream.text("service") else { return };
    if service.text("name") == Some(owner) {
        return;
    }
    let problem = fault::Problem::ForeignUpstream {
        upstream: upstream.text("name").unwrap_or_default().into(),
        service: owner.into(),
    };
    faults.push(fault::Fault::new(route.field("upstream"), problem));
}

/// The item of `list` that `field` of `item` names; a fault when there is none.
fn follow<'l, 'a>(
    item: &items::Item<'_, '_>,
    field: &str,
    list: &'l items::List<'a>,
    faults: &mut Vec<fault::Fault>,
) -> Option<items::Item<'l, 'a>> {
    let name = item.text(field)?;
    let found = list.named(name);
    if found.is_none() {
        let problem =
            fault::Problem::DanglingReference { list: list.pointer.clone(), name: name.into() };
        faults.push(fault::Fault::new(item.field(field), problem));
    }
    found
}
