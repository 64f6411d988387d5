//! Checks references between items: each must name an existing item, and those of a route an item
//! of its own service.

use std::collections;

use crate::mesh::check;
use crate::mesh::check::items;
use crate::mesh::fault;

/// Adds a fault for every wrong reference of `draft` to `faults`.
pub fn check(draft: &items::Draft<'_>, faults: &mut Vec<fault::Fault>) {
    let organisation = if draft.format == check::FORMAT_1 { "team" } else { "organisation" };
    for service in draft.services.iter() {
        resolve(&service, organisation, &draft.organisations, faults);
    }
    for upstream in draft.upstreams.iter() {
        resolve(&upstream, "service", &draft.services, faults);
    }
    for route in draft.routes.iter() {
        check_route(draft, &route, faults);
    }
    check_rollouts(draft, faults);
    check_keys(draft, faults);
}

/// Checks that no two organisations share an API key. Older formats have no keys.
fn check_keys(draft: &items::Draft<'_>, faults: &mut Vec<fault::Fault>) {
    if draft.format < check::FORMAT_5 {
        return;
    }
    let mut owners = collections::HashMap::new();
    for organisation in draft.organisations.iter() {
        let name = organisation.text("name").unwrap_or_default();
        let keys = items::List::read_unnamed(organisation.value, &organisation.pointer(), "keys");
        for key in keys.iter() {
            let Some(digest) = key.value.as_str() else { continue };
            let (index, other) = *owners.entry(digest).or_insert((organisation.index, name));
            if index != organisation.index {
                let problem = fault::Problem::SharedKey { one: other.into(), other: name.into() };
                faults.push(fault::Fault::new(key.pointer(), problem));
            }
        }
    }
}

/// Checks that each roll-out order names a version and a service, and that no service has two
/// orders. Older formats have no orders.
fn check_rollouts(draft: &items::Draft<'_>, faults: &mut Vec<fault::Fault>) {
    let rollouts = &draft.rollouts;
    if draft.format < check::FORMAT_4 {
        if !rollouts.is_empty() {
            faults.push(fault::Fault::new(&rollouts.pointer, fault::Problem::UnknownField));
        }
        return;
    }
    let mut seen = collections::HashSet::new();
    for rollout in rollouts.iter() {
        resolve(&rollout, "service", &draft.services, faults);
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
    let service = resolve(route, "service", &draft.services, faults);
    if let Some(kinds) = service.and_then(|s| draft.kinds.get(s.index)) {
        resolve(route, "kind", kinds, faults);
    }
    check_split(draft, route, faults);
    let upstream = resolve(route, "upstream", &draft.upstreams, faults);
    if let (Some(service), Some(upstream)) = (service, upstream) {
        check_owner(route, &service, &upstream, faults);
    }
}

/// Checks that the parts of a split route name services, and that one of them has a weight above
/// zero.
fn check_split(
    draft: &items::Draft<'_>,
    route: &items::Item<'_, '_>,
    faults: &mut Vec<fault::Fault>,
) {
    let split = items::List::read_unnamed(route.value, &route.pointer(), "split");
    for part in split.iter() {
        resolve(&part, "service", &draft.services, faults);
    }
    let has_no_weight = |part: &items::Item<'_, '_>| part.value.get("weight") == Some(&0.into());
    if !split.is_empty() && split.iter().all(|part| has_no_weight(&part)) {
        let reason = "no part of the split has a weight".to_owned();
        let fault = fault::Fault::new(&split.pointer, fault::Problem::WrongValue { reason });
        faults.push(fault);
    }
}

/// Checks that the upstream of a route belongs to the route's own service.
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

/// The item of `list` that `field` of `item` names. Adds a fault if `list` has no such item; a
/// missing field is a matter of the schema.
fn resolve<'l, 'a>(
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
