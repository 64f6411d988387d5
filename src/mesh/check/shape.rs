//! Validates a JSON tree against the schema of its format.

use std::sync::LazyLock;

use jsonschema::error;
use serde_json::Value;

use crate::mesh::check;
use crate::mesh::fault;

const LATEST_SCHEMA: &str = include_str!("../../../schema/configuration.json");
const FORMAT_5_SCHEMA: &str = include_str!("../../../schema/format5.json");
const FORMAT_4_SCHEMA: &str = include_str!("../../../schema/format4.json");
const FIRST_SCHEMA: &str = include_str!("../../../schema/format1.json");

/// Stands for a value that must not be printed.
const HIDDEN: &str = "(hidden)";

/// A compiled schema, or the error of its compilation.
type Validator = Result<jsonschema::Validator, String>;

static LATEST_VALIDATOR: LazyLock<Validator> = LazyLock::new(|| validator(LATEST_SCHEMA));
static FORMAT_5_VALIDATOR: LazyLock<Validator> = LazyLock::new(|| validator(FORMAT_5_SCHEMA));
static FORMAT_4_VALIDATOR: LazyLock<Validator> = LazyLock::new(|| validator(FORMAT_4_SCHEMA));
static FIRST_VALIDATOR: LazyLock<Validator> = LazyLock::new(|| validator(FIRST_SCHEMA));

fn validator(schema: &str) -> Validator {
    let schema: Value = serde_json::from_str(schema).map_err(|e| e.to_string())?;
    jsonschema::draft7::new(&schema).map_err(|e| e.to_string())
}

/// The format of a tree: [`check::LATEST_FORMAT`] or one of the frozen formats.
///
/// A missing or non-numeric format number is left to the schema to reject: to that of format 3 if
/// the file has organisations, else to that of the first format. The verdicts of both on such files
/// are frozen.
///
/// # Errors
///
/// Returns a fault for any other number.
pub fn format(root: &Value) -> Result<u32, fault::Fault> {
    let Some(Value::Number(found)) = root.get("format") else {
        let latest = root.get("organisations").is_some();
        return Ok(if latest { check::FORMAT_3 } else { check::FORMAT_1 });
    };
    let known =
        [check::FORMAT_1, check::FORMAT_3, check::FORMAT_4, check::FORMAT_5, check::LATEST_FORMAT];
    let format = known.into_iter().find(|&known| found.as_u64() == Some(u64::from(known)));
    format.ok_or_else(|| {
        let problem =
            fault::Problem::WrongFormat { found: found.to_string(), known: check::LATEST_FORMAT };
        fault::Fault::new("/format", problem)
    })
}

/// Adds every violation of the schema of `format` in `root` to `faults`.
pub fn check(root: &Value, format: u32, faults: &mut Vec<fault::Fault>) {
    let validator = match format {
        check::FORMAT_1 => &*FIRST_VALIDATOR,
        check::FORMAT_3 | check::FORMAT_4 => &*FORMAT_4_VALIDATOR,
        check::FORMAT_5 => &*FORMAT_5_VALIDATOR,
        _ => &*LATEST_VALIDATOR,
    };
    match validator {
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
        Kind::Type { kind } => fault::Problem::WrongType { wanted: type_name(kind) },
        Kind::Minimum { limit } => range(value, Bound::AtLeast, limit),
        Kind::Maximum { limit } => range(value, Bound::AtMost, limit),
        Kind::ExclusiveMinimum { limit } => range(value, Bound::MoreThan, limit),
        Kind::ExclusiveMaximum { limit } => range(value, Bound::LessThan, limit),
        Kind::MinItems { limit } => length(Bound::AtLeast, *limit),
        Kind::MaxItems { limit } | Kind::MaxLength { limit } => length(Bound::AtMost, *limit),
        Kind::Pattern { pattern } => {
            let value = value.as_str().unwrap_or_default();
            // In place of a digest, the file may contain the key itself.
            let value = if is_key(error.instance_path().as_str()) { HIDDEN } else { value };
            fault::Problem::WrongText { value: value.to_owned(), pattern: pattern.clone() }
        }
        Kind::Enum { options } => {
            fault::Problem::WrongChoice { value: value.to_string(), options: options.to_string() }
        }
        Kind::UniqueItems => fault::Problem::RepeatedItem,
        _ => fault::Problem::Shape { reason: error.to_string() },
    }
}

/// Whether `pointer` refers to the digest of an API key.
fn is_key(pointer: &str) -> bool {
    let mut segments = pointer.rsplit('/').skip(1);
    segments.next() == Some("keys") && pointer.starts_with("/organisations/")
}

fn range(value: &Value, bound: fault::Bound, limit: &Value) -> fault::Problem {
    fault::Problem::OutOfRange { value: value.to_string(), bound, limit: limit.to_string() }
}

fn length(bound: fault::Bound, limit: u64) -> fault::Problem {
    fault::Problem::WrongLength { bound, limit }
}

fn type_name(kind: &error::TypeKind) -> smol_str::SmolStr {
    match kind {
        error::TypeKind::Single(kind) => smol_str::format_smolstr!("{kind}"),
        error::TypeKind::Multiple(kinds) => smol_str::format_smolstr!("{kinds:?}"),
    }
}
