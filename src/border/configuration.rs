#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "A whole configuration, format 6."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    #[doc = "Number of the format, which fixes the rules of the check."]
    pub format: u32,
    #[doc = "What a caller may send, and how long it may take."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub limits: ::std::option::Option<Limits>,
    #[doc = "Whether callers need no API key on any route."]
    #[serde(default)]
    pub open: bool,
    #[doc = "Organisations: who is charged for the services, and whose keys callers present."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub organisations: ::std::vec::Vec<Organisation>,
    #[doc = "Orders to move services to other versions of their upstreams."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub rollouts: ::std::vec::Vec<Rollout>,
    #[doc = "Routes from requests to services."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub routes: ::std::vec::Vec<Route>,
    #[doc = "Services and their kinds of calls."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub services: ::std::vec::Vec<Service>,
    #[doc = "Classes of upstreams: limits for each upstream that announces itself under the name."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub upstreams: ::std::vec::Vec<Upstream>,
}
#[doc = "A host name without port; its case does not matter."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
#[serde(transparent)]
pub struct Host(pub ::std::string::String);
impl ::std::ops::Deref for Host {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<Host> for ::std::string::String {
    fn from(value: Host) -> Self {
        value.0
    }
}
impl ::std::convert::From<::std::string::String> for Host {
    fn from(value: ::std::string::String) -> Self {
        Self(value)
    }
}
impl ::std::fmt::Display for Host {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
impl ::std::str::FromStr for Host {
    type Err = ::std::convert::Infallible;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.to_string()))
    }
}
#[doc = "Digest of an API key, as `dandelionspool key` prints it: 32 hexadecimal digits in lower case."]
#[derive(:: serde :: Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct KeyDigest(::std::string::String);
impl ::std::ops::Deref for KeyDigest {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<KeyDigest> for ::std::string::String {
    fn from(value: KeyDigest) -> Self {
        value.0
    }
}
impl ::std::str::FromStr for KeyDigest {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        static PATTERN: ::std::sync::LazyLock<::regress::Regex> =
            ::std::sync::LazyLock::new(|| ::regress::Regex::new("^[0-9a-f]{32}$").unwrap());
        if PATTERN.find(value).is_none() {
            return Err("doesn't match pattern \"^[0-9a-f]{32}$\"".into());
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for KeyDigest {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for KeyDigest {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for KeyDigest {
    fn deserialize<D>(deserializer: D) -> ::std::result::Result<Self, D::Error>
    where
        D: ::serde::Deserializer<'de>,
    {
        ::std::string::String::deserialize(deserializer)?
            .parse()
            .map_err(|e: self::error::ConversionError| {
                <D::Error as ::serde::de::Error>::custom(e.to_string())
            })
    }
}
#[doc = "A kind of calls of one service."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    #[doc = "Most upstreams one call may be sent to; without it the node's setting counts."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub attempts: ::std::option::Option<::std::num::NonZeroU8>,
    #[doc = "Largest request body accepted, in bytes."]
    #[serde(default = "defaults::default_u64::<u64, 65536>")]
    pub body_bytes: u64,
    #[doc = "Whether running a call twice does no harm."]
    #[serde(default)]
    pub idempotent: bool,
    #[doc = "Time within which an answer has its full worth, in milliseconds; without it the service's objective counts."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub latency_ms: ::std::option::Option<::std::num::NonZeroU64>,
    #[doc = "Name, unique within its service."]
    pub name: Name,
    #[doc = "Rank among the kinds of a service; 0 is the most urgent."]
    #[serde(default)]
    pub priority: u8,
    #[doc = "Longest a call may take, in milliseconds; without it the service's timeout counts."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub timeout_ms: ::std::option::Option<::std::num::NonZeroU64>,
    #[doc = "Worth of one call served whole; a heavier kind is admitted first."]
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU32, 1>")]
    pub weight: ::std::num::NonZeroU32,
}
#[doc = "What a caller may send, and how long it may take."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Default)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    #[doc = "Largest body of a request, in bytes, whatever its kind allows."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub body_bytes: ::std::option::Option<u64>,
    #[doc = "Largest head of a request, in bytes; without it the node's setting counts."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub head_bytes: ::std::option::Option<u64>,
    #[doc = "Longest a head may take to arrive, in milliseconds; without it the node's setting counts."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub head_ms: ::std::option::Option<::std::num::NonZeroU64>,
    #[doc = "Longest a connection may stay idle, in milliseconds."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub idle_ms: ::std::option::Option<::std::num::NonZeroU64>,
}
#[doc = "A request method."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum Method {
    #[serde(rename = "DELETE")]
    Delete,
    #[serde(rename = "GET")]
    Get,
    #[serde(rename = "HEAD")]
    Head,
    #[serde(rename = "OPTIONS")]
    Options,
    #[serde(rename = "PATCH")]
    Patch,
    #[serde(rename = "POST")]
    Post,
    #[serde(rename = "PUT")]
    Put,
}
impl ::std::fmt::Display for Method {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Delete => f.write_str("DELETE"),
            Self::Get => f.write_str("GET"),
            Self::Head => f.write_str("HEAD"),
            Self::Options => f.write_str("OPTIONS"),
            Self::Patch => f.write_str("PATCH"),
            Self::Post => f.write_str("POST"),
            Self::Put => f.write_str("PUT"),
        }
    }
}
impl ::std::str::FromStr for Method {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "DELETE" => Ok(Self::Delete),
            "GET" => Ok(Self::Get),
            "HEAD" => Ok(Self::Head),
            "OPTIONS" => Ok(Self::Options),
            "PATCH" => Ok(Self::Patch),
            "POST" => Ok(Self::Post),
            "PUT" => Ok(Self::Put),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Method {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Method {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "A name."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
#[serde(transparent)]
pub struct Name(pub ::std::string::String);
impl ::std::ops::Deref for Name {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<Name> for ::std::string::String {
    fn from(value: Name) -> Self {
        value.0
    }
}
impl ::std::convert::From<::std::string::String> for Name {
    fn from(value: ::std::string::String) -> Self {
        Self(value)
    }
}
impl ::std::fmt::Display for Name {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
impl ::std::str::FromStr for Name {
    type Err = ::std::convert::Infallible;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.to_string()))
    }
}
#[doc = "Service-level objectives of a service."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Objectives {
    #[doc = "Share of calls to be served whole."]
    #[serde(default = "defaults::objectives_availability")]
    pub availability: f64,
    #[doc = "A call slower than this counts against the latency objective, in milliseconds."]
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU64, 500>")]
    pub latency_ms: ::std::num::NonZeroU64,
    #[doc = "Share of served calls to be no slower than `latency_ms`."]
    #[serde(default = "defaults::objectives_latency_share")]
    pub latency_share: f64,
    #[doc = "Period over which the budget of failures is counted, in days."]
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU16, 28>")]
    pub window_days: ::std::num::NonZeroU16,
}
impl ::std::default::Default for Objectives {
    fn default() -> Self {
        Self {
            availability: defaults::objectives_availability(),
            latency_ms: defaults::default_nzu64::<::std::num::NonZeroU64, 500>(),
            latency_share: defaults::objectives_latency_share(),
            window_days: defaults::default_nzu64::<::std::num::NonZeroU16, 28>(),
        }
    }
}
#[doc = "An organisation: it is charged for the calls that its services serve, and makes calls with its API keys."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    #[doc = "Calls that it may make at once beyond its rate."]
    #[serde(default)]
    pub burst: u32,
    #[doc = "Digests of its API keys; no two organisations share one."]
    #[serde(default = "defaults::organisation_keys")]
    pub keys: ::std::vec::Vec<KeyDigest>,
    #[doc = "Name, unique among organisations."]
    pub name: Name,
    #[doc = "Rank among organisations; 0 is the most urgent. It goes before the rank of a kind."]
    #[serde(default)]
    pub priority: u8,
    #[doc = "Calls per second that it may make over all nodes together; 0 for no limit."]
    #[serde(default = "defaults::organisation_rate_per_s")]
    pub rate_per_s: f64,
}
#[doc = "One part of a split route."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Part {
    #[doc = "Name of the service that serves this part of the calls."]
    pub service: Name,
    #[doc = "Share of the calls, in proportion to the other parts."]
    pub weight: u32,
}
#[doc = "A path of whole segments. With a slash at its end it matches only what lies below it."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
#[serde(transparent)]
pub struct Path(pub ::std::string::String);
impl ::std::ops::Deref for Path {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<Path> for ::std::string::String {
    fn from(value: Path) -> Self {
        value.0
    }
}
impl ::std::convert::From<::std::string::String> for Path {
    fn from(value: ::std::string::String) -> Self {
        Self(value)
    }
}
impl ::std::fmt::Display for Path {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
impl ::std::str::FromStr for Path {
    type Err = ::std::convert::Infallible;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.to_string()))
    }
}
#[doc = "An order to move a service to another version of its upstreams."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    #[doc = "Number of the order; a later one for the same service has a higher one."]
    pub order: ::std::num::NonZeroU64,
    #[doc = "Name of the service."]
    pub service: Name,
    #[doc = "Version that the upstreams announce which are to serve in the end."]
    pub version: ::std::string::String,
    #[doc = "Time within which the move is to end, in milliseconds."]
    pub within_ms: ::std::num::NonZeroU64,
}
#[doc = "A route from requests to a kind of calls of a service."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Route {
    #[doc = "Most upstreams one call may be sent to; without it that of the kind counts."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub attempts: ::std::option::Option<::std::num::NonZeroU8>,
    #[doc = "Host header it matches; without it the route matches every host."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub host: ::std::option::Option<Host>,
    #[doc = "Name of the kind, one of the service's own."]
    pub kind: Name,
    #[doc = "Time within which an answer has its full worth, in milliseconds; without it that of the kind counts."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub latency_ms: ::std::option::Option<::std::num::NonZeroU64>,
    #[doc = "Methods it matches; none means every method."]
    #[serde(default = "defaults::route_methods")]
    pub methods: ::std::vec::Vec<Method>,
    #[doc = "Name, unique among routes."]
    pub name: Name,
    #[doc = "Path prefix it matches, whole segments only."]
    pub path: Path,
    #[doc = "Whether callers need no API key."]
    #[serde(default)]
    pub public: bool,
    #[doc = "Name of the service that serves the calls."]
    pub service: Name,
    #[doc = "Services that share the calls by weight, in place of `service`; `service` still names whose kind it is."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub split: ::std::vec::Vec<Part>,
    #[doc = "Longest a call may take, in milliseconds; without it that of the kind counts."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub timeout_ms: ::std::option::Option<::std::num::NonZeroU64>,
    #[doc = "Name of the class of upstreams that run the calls; without it every upstream of the service does."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub upstream: ::std::option::Option<Name>,
}
#[doc = "A service."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Service {
    #[doc = "Kinds of calls."]
    pub kinds: ::std::vec::Vec<Kind>,
    #[doc = "Name, unique among services."]
    pub name: Name,
    #[doc = "Service-level objectives."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub objectives: ::std::option::Option<Objectives>,
    #[doc = "Name of the organisation that is charged."]
    pub organisation: Name,
    #[doc = "Calls that may wait for a slot at the node of each upstream."]
    #[serde(default = "defaults::default_u64::<u16, 16>")]
    pub queue: u16,
    #[doc = "Extra attempts allowed for each hundred calls."]
    #[serde(default = "defaults::default_u64::<u8, 10>")]
    pub retry_percent: u8,
    #[doc = "Longest a call may take when its caller names no deadline, in milliseconds."]
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU64, 2000>")]
    pub timeout_ms: ::std::num::NonZeroU64,
}
#[doc = "A class of upstreams: limits that hold for each upstream that announces itself under its name."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    #[doc = "Most connections one upstream accepts."]
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU16, 128>")]
    pub connections: ::std::num::NonZeroU16,
    #[doc = "Name, unique among upstreams."]
    pub name: Name,
    #[doc = "Name of the service the upstreams serve."]
    pub service: Name,
    #[doc = "Most calls one upstream runs at once."]
    pub slots: ::std::num::NonZeroU16,
    #[doc = "Time over which a new upstream's share of calls grows to its full size, in milliseconds."]
    #[serde(default = "defaults::default_u64::<u64, 10000>")]
    pub warmup_ms: u64,
}
#[doc = " Generation of default values for serde."]
pub mod defaults {
    pub(super) fn default_i64<T, const V: i64>() -> T
    where
        T: ::std::convert::TryFrom<i64>,
        <T as ::std::convert::TryFrom<i64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(V).unwrap()
    }
    pub(super) fn default_u64<T, const V: u64>() -> T
    where
        T: ::std::convert::TryFrom<u64>,
        <T as ::std::convert::TryFrom<u64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(V).unwrap()
    }
    pub(super) fn default_nzu64<T, const V: u64>() -> T
    where
        T: ::std::convert::TryFrom<::std::num::NonZeroU64>,
        <T as ::std::convert::TryFrom<::std::num::NonZeroU64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(::std::num::NonZeroU64::try_from(V).unwrap()).unwrap()
    }
    pub(super) fn objectives_availability() -> f64 {
        0.999_f64
    }
    pub(super) fn objectives_latency_share() -> f64 {
        0.99_f64
    }
    pub(super) fn organisation_keys() -> ::std::vec::Vec<super::KeyDigest> {
        vec![]
    }
    pub(super) fn organisation_rate_per_s() -> f64 {
        0_f64
    }
    pub(super) fn route_methods() -> ::std::vec::Vec<super::Method> {
        vec![]
    }
}
#[doc = " Error types."]
pub mod error {
    #[doc = r" Error from a `TryFrom` or `FromStr` implementation."]
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
