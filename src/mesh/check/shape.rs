//! A tree held against the schema of its format.

use std::sync::LazyLock;

use jsonschema::error;
use serde_json::Value;

use crate::mesh::check;
use crate::mesh::fault;

const SCHEMA: &str = include_str!("../../../schema/configuration.json");

static VALIDATOR: LazyLock<Result<jsonschema::Validator, String>> = LazyLock::new(|| {
    let schema: Value = serde_json::from_str(SCHEMA).map_err(|e| e.to_string())?;
    jsonschema::draft7::new(&schema).map_err(|e| e.to_string())
});

/// Refuses a tree whose format number is another than [`check::FORMAT`].
///
/// A missing or non-numeric format is left to the schema.
pub fn format(root: &Value) -> Result<(), fault::Fault> {
    match root.get("format") {
        Some(Value::Number(found)) if found.as_u64() != Some(u64::from(check::FORMAT)) => {
            let found = found.to_string();
            let problem = fault::Problem::WrongFormat { found, known: check::FORMAT };
            Err(fault::Fault::new("/format", problem))
        }
        _ => Ok(()),
    }
}

/// Adds every way in which `root` breaks the schema to `faults`.
pub fn check(root: &Value, faults: &mut Vec<fault::Fault>) {
    match &*VALIDATOR {
        Ok(validator) => validator.iter_errors(root).for_each(|e| add(&e, faults)),
        Err(reason) => {
            let problem = fault::Problem::Shape { reason: reason.clone() };
            faults.push(fault::Fault::new("", problem));
        }
    }
}

fn add(error: &jsonschema::ValidationError<'_>, faults: &mut Vec<fault::Fault>) {
    let pointer = error.instance_path().as_str();
    if let error::ValidationErrorKind::AdditionalProperties { unexpected } = error.kind() {
        let unknown = |field: &String| {
            fault::Fault::new(fault::join(pointer, field), fault::Problem::UnknownField)
        };
        faults.extend(unexpected.iter().map(unknown));
        return;
    }
    faults.push(fault::Fault::new(pointer, problem(error)));
}

fn problem(error: &jsonschema::ValidationError<'_>) -> fault::Problem {
    use error::ValidationErrorKind as Kind;
    use fault::Bound;
    let value = error.instance();
    match error.kind() {
        Kind::Required { property } => {
            fault::Problem::MissingField { field: property.as_str().unwrap_or_default().into() }
        }
        Kind::Type { kind } => fault::Problem::WrongType { wanted: wanted(kind) },
        Kind::Minimum { limit } => range(value, Bound::AtLeast, limit),
        Kind::Maximum { limit } => range(value, Bound::AtMost, limit),
        Kind::ExclusiveMinimum { limit } => range(value, Bound::MoreThan, limit),
        Kind::ExclusiveMaximum { limit } => range(value, Bound::LessThan, limit),
        Kind::MinItems { limit } => length(Bound::AtLeast, *limit),
        Kind::MaxItems { limit } | Kind::MaxLength { limit } => length(Bound::AtMost, *limit),
        Kind::Pattern { pattern } => fault::Problem::WrongText {
            value: value.as_str().unwrap_or_default().to_owned(),
            pattern: pattern.clone(),
        },
        Kind::Enum { options } => {
            fault::Problem::WrongChoice { value: value.to_string(), options: options.to_string() }
        }
        Kind::UniqueItems => fault::Problem::RepeatedItem,
        _ => fault::Problem::Shape { reason: error.to_string() },
    }
}

fn range(value: &Value, bound: fault::Bound, limit: &Value) -> fault::Problem {
    fault::Problem::OutOfRange { value: value.to_string(), bound, limit: limit.to_string() }
}

fn length(bound: fault::Bound, limit: u64) -> fault::Problem {
    fault::Problem::WrongLength { bound, limit }
}

fn wanted(kind: &error::TypeKind) -> smol_str::SmolStr {
    match kind {
        error::TypeKind::Single(kind) => smol_str::format_smolstr!("{kind}"),
        error::TypeKind::Multiple(kinds) => smol_str::format_smolstr!("{kinds:?}"),
    }
}
