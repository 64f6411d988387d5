//! Border types into domain types.

use std::collections;
use std::time;

use serde::Deserialize;
use serde_json::Value;
use smol_str::SmolStr;

use crate::border::configuration;
use crate::mesh;
use crate::mesh::fault;
use crate::mesh::find;

const DAY: time::Duration = time::Duration::from_secs(24 * 60 * 60);

/// Converts a tree that has passed every check.
///
/// # Errors
///
/// Only when schema, checks and border types disagree, which tests rule out.
pub fn build(root: Value) -> Result<mesh::Mesh, fault::Problem> {
    let file = configuration::Configuration::deserialize(root)
        .map_err(|e| fault::Problem::Shape { reason: e.to_string() })?;
    Builder::default().build(&file)
}

/// The mesh so far, and the keys of its items by name.
#[derive(Default)]
struct Builder {
    mesh: mesh::Mesh,
    teams: collections::HashMap<SmolStr, mesh::TeamKey>,
    services: collections::HashMap<SmolStr, mesh::ServiceKey>,
    kinds: collections::HashMap<(mesh::ServiceKey, SmolStr), mesh::KindKey>,
    classes: collections::HashMap<SmolStr, mesh::ClassKey>,
}

impl Builder {
    fn build(mut self, file: &configuration::Configuration) -> Result<mesh::Mesh, fault::Problem> {
        file.teams.iter().try_for_each(|t| self.team(t))?;
        file.services.iter().try_for_each(|s| self.service(s))?;
        file.upstreams.iter().try_for_each(|u| self.class(u))?;
        file.routes.iter().try_for_each(|r| self.route(r))?;
        self.mesh.index = find::Index::new(&self.mesh.routes);
        Ok(self.mesh)
    }

    fn team(&mut self, team: &configuration::Team) -> Result<(), fault::Problem> {
        let name = SmolStr::new(&*team.name);
        let key = mesh::TeamKey(next(&self.mesh.teams)?);
        self.teams.insert(name.clone(), key);
        self.mesh.teams.push(mesh::Team { name });
        Ok(())
    }

    fn service(&mut self, service: &configuration::Service) -> Result<(), fault::Problem> {
        let name = SmolStr::new(&*service.name);
        let key = mesh::ServiceKey(next(&self.mesh.services)?);
        self.services.insert(name.clone(), key);
        self.mesh.services.push(mesh::Service {
            name,
            team: look(&self.teams, service.team.as_str())?,
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
        });
        Ok(())
    }

    fn class(&mut self, upstream: &configuration::Upstream) -> Result<(), fault::Problem> {
        let name = SmolStr::new(&*upstream.name);
        let key = mesh::ClassKey(next(&self.mesh.classes)?);
        self.classes.insert(name.clone(), key);
        self.mesh.classes.push(mesh::Class {
            name,
            service: look(&self.services, upstream.service.as_str())?,
            slots: upstream.slots.get(),
            connections: upstream.connections.get(),
            warmup: time::Duration::from_millis(upstream.warmup_ms),
        });
        Ok(())
    }

    fn route(&mut self, route: &configuration::Route) -> Result<(), fault::Problem> {
        next(&self.mesh.routes)?;
        let service = look(&self.services, route.service.as_str())?;
        let kind = look(&self.kinds, &(service, SmolStr::new(&*route.kind)))?;
        let class = match &route.upstream {
            Some(name) => Some(look(&self.classes, name.as_str())?),
            None => None,
        };
        self.mesh.routes.push(mesh::Route {
            name: SmolStr::new(&*route.name),
            host: route.host.as_ref().map(|h| SmolStr::new(&**h)),
            path: SmolStr::new(&*route.path),
            methods: route.methods.iter().map(method).collect(),
            service,
            kind,
            class,
        });
        Ok(())
    }
}

fn objectives(file: &configuration::Objectives) -> mesh::Objectives {
    mesh::Objectives {
        availability: file.availability,
        latency: time::Duration::from_millis(file.latency_ms.get()),
        share: file.latency_share,
        window: DAY * u32::from(file.window_days.get()),
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

/// The key that the next item of `arena` gets.
fn next<T>(arena: &[T]) -> Result<u16, fault::Problem> {
    u16::try_from(arena.len()).map_err(|_| fault::Problem::WrongLength {
        bound: fault::Bound::AtMost,
        limit: u64::from(u16::MAX),
    })
}

fn look<K, Q, V: Copy>(keys: &collections::HashMap<K, V>, name: &Q) -> Result<V, fault::Problem>
where
    K: std::borrow::Borrow<Q> + Eq + std::hash::Hash,
    Q: Eq + std::fmt::Debug + std::hash::Hash + ?Sized,
{
    let missing = || fault::Problem::Shape { reason: format!("{name:?} is not known") };
    keys.get(name).copied().ok_or_else(missing)
}
