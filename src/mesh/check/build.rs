//! Converts border types into domain types.

use std::collections;
use std::str;
use std::time;

use http::header;
use serde::Deserialize;
use serde_json::Value;
use smol_str::SmolStr;

use crate::border::configuration;
use crate::mesh;
use crate::mesh::check;
use crate::mesh::fault;
use crate::mesh::find;
use crate::quota;
use crate::rollout;

const DAY: time::Duration = time::Duration::from_secs(24 * 60 * 60);

/// Converts a tree that has passed every check.
///
/// # Errors
///
/// Fails only when the schema, the checks and the border types disagree, which tests rule out.
pub fn build(mut root: Value, format: u32) -> Result<mesh::Mesh, fault::Problem> {
    if format == check::FORMAT_1 {
        rename_teams(&mut root);
    }
    let file = configuration::Configuration::deserialize(root)
        .map_err(|e| fault::Problem::Shape { reason: e.to_string() })?;
    Builder::default().build(&file)
}

/// Renames the teams of a file of the first format to organisations, as the border types call them.
fn rename_teams(root: &mut Value) {
    rename(root, "teams", "organisations");
    let services = root.get_mut("services").and_then(Value::as_array_mut);
    for service in services.into_iter().flatten() {
        rename(service, "team", "organisation");
    }
}

fn rename(item: &mut Value, old: &str, new: &str) {
    let Some(fields) = item.as_object_mut() else { return };
    if let Some(value) = fields.remove(old) {
        fields.insert(new.to_owned(), value);
    }
}

/// The mesh under construction, and the keys of its items by name.
#[derive(Default)]
struct Builder {
    mesh: mesh::Mesh,
    services: collections::HashMap<SmolStr, mesh::ServiceKey>,
    kinds: collections::HashMap<(mesh::ServiceKey, SmolStr), mesh::KindKey>,
    classes: collections::HashMap<SmolStr, mesh::ClassKey>,
}

impl Builder {
    fn build(mut self, file: &configuration::Configuration) -> Result<mesh::Mesh, fault::Problem> {
        file.organisations.iter().try_for_each(|t| self.organisation(t))?;
        file.services.iter().try_for_each(|s| self.service(s))?;
        file.upstreams.iter().try_for_each(|u| self.class(u))?;
        file.routes.iter().try_for_each(|r| self.route(r))?;
        self.mesh.rollouts = file.rollouts.iter().map(rollout).collect();
        self.mesh.format = file.format;
        self.mesh.open = file.open;
        self.mesh.limits = file.limits.as_ref().map(limits).unwrap_or_default();
        self.mesh.index = find::Index::new(&self.mesh.routes);
        Ok(self.mesh)
    }

    fn organisation(
        &mut self,
        organisation: &configuration::Organisation,
    ) -> Result<(), fault::Problem> {
        let name = SmolStr::new(&*organisation.name);
        let key = mesh::OrganisationKey(next(&self.mesh.organisations)?);
        self.mesh.names.insert(name.clone(), key);
        for digest in &organisation.keys {
            self.mesh.keys.insert(parse(digest.as_str())?, key);
        }
        self.mesh.organisations.push(mesh::Organisation {
            header: header_value(&name),
            id: quota::OrganisationId::of(&name),
            limit: quota::Limit::new(organisation.rate_per_s, organisation.burst),
            priority: organisation.priority,
            name,
        });
        Ok(())
    }

    fn service(&mut self, service: &configuration::Service) -> Result<(), fault::Problem> {
        let name = SmolStr::new(&*service.name);
        let key = mesh::ServiceKey(next(&self.mesh.services)?);
        self.services.insert(name.clone(), key);
        self.mesh.services.push(mesh::Service {
            name,
            organisation: look_up(&self.mesh.names, service.organisation.as_str())?,
            timeout: time::Duration::from_millis(service.timeout_ms.get()),
            queue: service.queue,
            retries: service.retry_percent,
            objectives: objectives(&service.objectives.clone().unwrap_or_default()),
        });
        service.kinds.iter().try_for_each(|k| self.kind(key, k))
    }

    fn kind(
        &mut self,
        service: mesh::ServiceKey,
        kind: &configuration::Kind,
    ) -> Result<(), fault::Problem> {
        let name = SmolStr::new(&*kind.name);
        let key = mesh::KindKey(next(&self.mesh.kinds)?);
        self.kinds.insert((service, name.clone()), key);
        self.mesh.kinds.push(mesh::Kind {
            name,
            service,
            weight: kind.weight.get(),
            idempotent: kind.idempotent,
            body: kind.body_bytes,
            priority: kind.priority,
            timeout: kind.timeout_ms.map(|ms| time::Duration::from_millis(ms.get())),
            latency: kind.latency_ms.map(|ms| time::Duration::from_millis(ms.get())),
            attempts: kind.attempts.map(std::num::NonZeroU8::get),
        });
        Ok(())
    }

    fn class(&mut self, upstream: &configuration::Upstream) -> Result<(), fault::Problem> {
        let name = SmolStr::new(&*upstream.name);
        let key = mesh::ClassKey(next(&self.mesh.classes)?);
        self.classes.insert(name.clone(), key);
        self.mesh.classes.push(mesh::Class {
            name,
            service: look_up(&self.services, upstream.service.as_str())?,
            slots: upstream.slots.get(),
            connections: upstream.connections.get(),
            warmup: time::Duration::from_millis(upstream.warmup_ms),
        });
        Ok(())
    }

    fn route(&mut self, route: &configuration::Route) -> Result<(), fault::Problem> {
        next(&self.mesh.routes)?;
        let service = look_up(&self.services, route.service.as_str())?;
        let kind = look_up(&self.kinds, &(service, SmolStr::new(&*route.kind)))?;
        let class = match &route.upstream {
            Some(name) => Some(look_up(&self.classes, name.as_str())?),
            None => None,
        };
        self.mesh.routes.push(mesh::Route {
            name: SmolStr::new(&*route.name),
            host: route.host.as_ref().map(|host| host_name(host)),
            path: SmolStr::new(&*route.path),
            methods: route.methods.iter().map(method).collect(),
            service,
            kind,
            timeout: route.timeout_ms.map(|ms| time::Duration::from_millis(ms.get())),
            latency: route.latency_ms.map(|ms| time::Duration::from_millis(ms.get())),
            attempts: route.attempts.map(std::num::NonZeroU8::get),
            class,
            split: route.split.iter().map(|p| self.part(p)).collect::<Result<_, _>>()?,
            public: route.public,
        });
        Ok(())
    }

    fn part(&self, part: &configuration::Part) -> Result<mesh::Part, fault::Problem> {
        let service = look_up(&self.services, part.service.as_str())?;
        Ok(mesh::Part { service, weight: part.weight })
    }
}

/// The value of a header with `name`. Characters that a header can't have are escaped.
fn header_value(name: &str) -> header::HeaderValue {
    let value = header::HeaderValue::from_bytes(name.as_bytes());
    let escaped = || header::HeaderValue::from_str(&name.escape_default().to_string());
    value.or_else(|_| escaped()).unwrap_or(header::HeaderValue::from_static(""))
}

/// A host as the index has it: a request's host matches without regard to case.
fn host_name(host: &str) -> SmolStr {
    SmolStr::new(host.to_ascii_lowercase())
}

fn rollout(file: &configuration::Rollout) -> mesh::Rollout {
    let order = rollout::Order {
        number: file.order.get(),
        version: SmolStr::new(&file.version),
        within: time::Duration::from_millis(file.within_ms.get()),
    };
    mesh::Rollout { service: SmolStr::new(&*file.service), order }
}

fn objectives(file: &configuration::Objectives) -> mesh::Objectives {
    mesh::Objectives {
        availability: file.availability,
        latency: time::Duration::from_millis(file.latency_ms.get()),
        share: file.latency_share,
        window: DAY * u32::from(file.window_days.get()),
    }
}

fn limits(file: &configuration::Limits) -> mesh::Limits {
    let millis = |ms: std::num::NonZeroU64| time::Duration::from_millis(ms.get());
    mesh::Limits {
        head: file.head_bytes.and_then(|bytes| usize::try_from(bytes).ok()),
        body: file.body_bytes,
        arrival: file.head_ms.map(millis),
        idle: file.idle_ms.map(millis),
    }
}

fn method(method: &configuration::Method) -> http::Method {
    match method {
        configuration::Method::Delete => http::Method::DELETE,
        configuration::Method::Get => http::Method::GET,
        configuration::Method::Head => http::Method::HEAD,
        configuration::Method::Options => http::Method::OPTIONS,
        configuration::Method::Patch => http::Method::PATCH,
        configuration::Method::Post => http::Method::POST,
        configuration::Method::Put => http::Method::PUT,
    }
}

/// Parses a text that the schema has checked.
fn parse<T: str::FromStr>(text: &str) -> Result<T, fault::Problem> {
    let wrong = |_| fault::Problem::Shape { reason: "a text has an unknown form".to_owned() };
    text.parse().map_err(wrong)
}

/// The key that the next item of `arena` gets.
fn next<T>(arena: &[T]) -> Result<u16, fault::Problem> {
    u16::try_from(arena.len()).map_err(|_| fault::Problem::WrongLength {
        bound: fault::Bound::AtMost,
        limit: u64::from(u16::MAX),
    })
}

/// The key of the item named `name`.
fn look_up<K, Q, V: Copy>(keys: &collections::HashMap<K, V>, name: &Q) -> Result<V, fault::Problem>
where
    K: std::borrow::Borrow<Q> + Eq + std::hash::Hash,
    Q: Eq + std::fmt::Debug + std::hash::Hash + ?Sized,
{
    let missing = || fault::Problem::Shape { reason: format!("{name:?} is not known") };
    keys.get(name).copied().ok_or_else(missing)
}
