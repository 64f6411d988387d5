//! Faults of a configuration or settings file, each with a JSON pointer and a typed problem.

use std::fmt;

use serde::Serialize;
use smol_str::SmolStr;

/// What is wrong with one value of a file.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, thiserror::Error)]
#[serde(rename_all = "snake_case", tag = "code")]
pub enum Problem {
    /// The file is larger than the format allows.
    #[error("the file has {bytes} bytes, more than the {limit} allowed")]
    TooLarge {
        /// Size of the file.
        bytes: usize,
        /// Largest size allowed.
        limit: usize,
    },
    /// The file is not JSON.
    #[error("not JSON at line {line}, column {column}: {reason}")]
    NotJson {
        /// Line, from 1.
        line: usize,
        /// Column, from 1; 0 when the line is empty.
        column: usize,
        /// What the parser expected.
        reason: String,
    },
    /// The format number is not known to this build.
    #[error("format {found} is not known; this build knows format {known}")]
    WrongFormat {
        /// The number in the file.
        found: String,
        /// The latest number that this build knows.
        known: u32,
    },
    /// An object contains the same key twice.
    #[error("the key stands twice in its object")]
    DuplicateKey,
    /// The object has a field that its type does not have.
    #[error("unknown field")]
    UnknownField,
    /// A required field is missing.
    #[error("the field `{field}` is missing")]
    MissingField {
        /// Name of the field.
        field: SmolStr,
    },
    /// The value has the wrong JSON type.
    #[error("the value must be of type {wanted}")]
    WrongType {
        /// Expected JSON type.
        wanted: SmolStr,
    },
    /// A number is too small or too large.
    #[error("{value} is out of range: it must be {bound} {limit}")]
    OutOfRange {
        /// The value in the file.
        value: String,
        /// Which side of `limit` is allowed.
        bound: Bound,
        /// The limit.
        limit: String,
    },
    /// A list or a text is too short or too long.
    #[error("the length must be {bound} {limit}")]
    WrongLength {
        /// Which side of `limit` is allowed.
        bound: Bound,
        /// The limit, in items or characters.
        limit: u64,
    },
    /// A text does not match the pattern of its field.
    #[error("`{value}` does not match {pattern}")]
    WrongText {
        /// The value in the file.
        value: String,
        /// Regular expression that it must match.
        pattern: String,
    },
    /// A value is not one of the options of its field.
    #[error("{value} is not one of {options}")]
    WrongChoice {
        /// The value in the file.
        value: String,
        /// The allowed values, as a JSON list.
        options: String,
    },
    /// A list that must not contain duplicates repeats an item.
    #[error("the list repeats an item")]
    RepeatedItem,
    /// Two items of a list have the same name.
    #[error("the name `{name}` was given at {first} already")]
    DuplicateName {
        /// The name.
        name: SmolStr,
        /// Pointer to the first item with the name.
        first: String,
    },
    /// A reference names an item that does not exist.
    #[error("{list} has no item named `{name}`")]
    DanglingReference {
        /// Pointer to the list that was searched.
        list: String,
        /// The name.
        name: SmolStr,
    },
    /// A route refers to an upstream of another service than its own.
    #[error("the upstream `{upstream}` belongs to the service `{service}`")]
    ForeignUpstream {
        /// Name of the upstream.
        upstream: SmolStr,
        /// Name of the service it belongs to.
        service: SmolStr,
    },
    /// Two organisations have the same API key, so that its calls could be in the name of either.
    #[error("the organisations `{one}` and `{other}` share an API key")]
    SharedKey {
        /// Name of the earlier organisation.
        one: SmolStr,
        /// Name of the later organisation.
        other: SmolStr,
    },
    /// Two routes match the same host, path and method.
    #[error("the route matches the same host, path and method as {other}")]
    Overlap {
        /// Pointer to the earlier route.
        other: String,
    },
    /// A value is not valid for its field.
    #[error("{reason}")]
    WrongValue {
        /// Why it is not valid.
        reason: String,
    },
    /// An address does not identify a host, such as 0.0.0.0.
    #[error("{address} names no host")]
    UnspecifiedAddress {
        /// The address in the file.
        address: String,
    },
    /// A setting is too large in proportion to another one.
    #[error("{times} times this must be at most {other}, which is {limit}")]
    OutOfProportion {
        /// How many times the value must fit into the other setting.
        times: u64,
        /// Pointer to the other setting.
        other: String,
        /// Value of the other setting.
        limit: u64,
    },
    /// The file violates the schema in another way.
    #[error("{reason}")]
    Shape {
        /// Message of the schema validator.
        reason: String,
    },
}

/// Side of a limit on which values are allowed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Bound {
    /// The limit or more.
    AtLeast,
    /// The limit or less.
    AtMost,
    /// More than the limit.
    MoreThan,
    /// Less than the limit.
    LessThan,
}

impl fmt::Display for Bound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Bound::AtLeast => "at least",
            Bound::AtMost => "at most",
            Bound::MoreThan => "more than",
            Bound::LessThan => "less than",
        })
    }
}

/// One fault of a file.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, thiserror::Error)]
#[error("{}: {problem}", display(.pointer))]
pub struct Fault {
    /// JSON pointer (RFC 6901) to the faulty value; empty for the whole file.
    pub pointer: String,
    /// What is wrong with the value.
    #[serde(flatten)]
    pub problem: Problem,
}

impl Fault {
    /// A fault at `pointer`.
    pub fn new(pointer: impl Into<String>, problem: Problem) -> Self {
        Self { pointer: pointer.into(), problem }
    }
}

/// The `pointer` as it is displayed.
fn display(pointer: &str) -> &str {
    if pointer.is_empty() { "whole file" } else { pointer }
}

/// All faults of one file, in the order of their pointers.
///
/// Invariant: never empty when returned as an error.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Faults(Vec<Fault>);

impl Faults {
    /// Sorts the faults of `list` by pointer, in which list indices compare as numbers.
    pub fn new(mut list: Vec<Fault>) -> Self {
        list.sort_by_cached_key(|f| sort_key(&f.pointer));
        Self(list)
    }

    /// The faults.
    pub fn list(&self) -> &[Fault] {
        &self.0
    }
}

impl std::error::Error for Faults {}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.0.iter().enumerate() {
            let separator = if i == 0 { "" } else { "\n" };
            write!(f, "{separator}{fault}")?;
        }
        Ok(())
    }
}

/// A segment of a pointer: a list index, or a field's name.
#[derive(Eq, Ord, PartialEq, PartialOrd)]
enum Segment {
    Index(u64),
    Field(String),
}

/// The key by which faults are sorted.
fn sort_key(pointer: &str) -> Vec<Segment> {
    let segment = |s: &str| s.parse().map_or_else(|_| Segment::Field(s.to_owned()), Segment::Index);
    pointer.split('/').skip(1).map(segment).collect()
}

/// Appends `key` to `pointer`, escaped as RFC 6901 demands.
pub fn push(pointer: &mut String, key: &str) {
    pointer.push('/');
    for c in key.chars() {
        match c {
            '~' => pointer.push_str("~0"),
            '/' => pointer.push_str("~1"),
            c => pointer.push(c),
        }
    }
}

/// Returns `pointer` with `key` appended, escaped as RFC 6901 demands.
pub fn join(pointer: &str, key: &str) -> String {
    let mut joined = pointer.to_owned();
    push(&mut joined, key);
    joined
}
