//! Finds the organisation in whose name a request is made.

use http::header;

use crate::api_key;
use crate::mesh;
use crate::proxy::headers;
use crate::proxy::refuse;
use crate::proxy::request_head;
use crate::proxy::running_calls;
use crate::retry;

/// The organisation that makes a call.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Its name, as it is sent to the upstream.
    pub name: header::HeaderValue,
    /// Its rank; 0 is the most urgent.
    pub priority: u8,
    /// Its key in the configuration, if the call counts against its limit. Nested calls don't: the
    /// call that makes them has been counted.
    pub charged: Option<mesh::OrganisationKey>,
}

/// Identifies the caller of the request `head` on `route`, and removes the credentials and whatever
/// the caller states about its organisation. `None` if the route needs no API key and the request
/// has no valid one, or if the configuration has no keys.
///
/// `parent` is the call for which the request is made, if it is nested. Without credentials, such a
/// request is made in the parent's name, even if the parent's key or organisation has been removed
/// since.
///
/// # Errors
///
/// [`retry::Reason::Unauthenticated`] without a valid API key.
pub fn identify(
    mesh: &mesh::Mesh,
    route: &mesh::Route,
    parent: Option<&running_calls::Parent>,
    head: &mut request_head::RequestHead,
) -> Result<Option<Caller>, refuse::Cause> {
    if !mesh.requires_keys() {
        return Ok(None);
    }
    let credentials = Credentials::take(&mut head.headers);
    if let Credentials::Key(digest) = credentials
        && let Some(key) = mesh.organisation_of_key(digest)
    {
        return Ok(Some(caller(mesh, key)));
    }
    if matches!(credentials, Credentials::None)
        && let Some(parent) = parent
    {
        return Ok(parent.organisation.as_ref().map(|name| nested_caller(mesh, name)));
    }
    if route.public {
        return Ok(None);
    }
    Err(refuse::Cause::new(retry::Reason::Unauthenticated))
}

fn caller(mesh: &mesh::Mesh, key: mesh::OrganisationKey) -> Caller {
    let organisation = mesh.organisation(key);
    Caller {
        name: organisation.header.clone(),
        priority: organisation.priority,
        charged: Some(key),
    }
}

fn nested_caller(mesh: &mesh::Mesh, name: &header::HeaderValue) -> Caller {
    let key = name.to_str().ok().and_then(|name| mesh.organisation_named(name));
    let priority = key.map_or(0, |key| mesh.organisation(key).priority);
    Caller { name: name.clone(), priority, charged: None }
}

/// What a request presents to identify its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Credentials {
    /// Nothing.
    None,
    /// An API key.
    Key(api_key::Digest),
    /// Something else, or more than one thing.
    Other,
}

impl Credentials {
    /// Removes the credentials from `map`.
    fn take(map: &mut header::HeaderMap) -> Self {
        let mut values = map.get_all(header::AUTHORIZATION).iter();
        let credentials = match (values.next(), values.next()) {
            (None, _) => return Self::None,
            (Some(value), None) => bearer(value.as_bytes()).map_or(Self::Other, Self::Key),
            (Some(_), Some(_)) => Self::Other,
        };
        map.remove(header::AUTHORIZATION);
        credentials
    }
}

/// The digest of the API key in the value of an `Authorization` header.
fn bearer(value: &[u8]) -> Option<api_key::Digest> {
    let value = value.trim_ascii();
    let (scheme, rest) = value.split_at_checked(headers::BEARER.len())?;
    let separated = rest.first().is_some_and(u8::is_ascii_whitespace);
    let known = scheme.eq_ignore_ascii_case(headers::BEARER.as_bytes());
    (known && separated).then(|| api_key::Digest::of(rest.trim_ascii()))
}
