//! Compares the tables of docs/CONFIGURATION.md and docs/SETTINGS.md with the code. Each table is
//! generated from the schema, or from the defaults, ranges and doc comments of the settings. If a
//! table differs, the failure prints the generated one to put into the page.

use std::collections;
use std::fs;
use std::path;

use dandelionspool::configs;
use dandelionspool::configs::limits;
use dandelionspool::configs::local;
use rstest::rstest;
use serde::Serialize;
use serde_json::Value;

fn read(name: &str) -> String {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR"));
    fs::read_to_string(root.join(name)).unwrap()
}

/// Returns the rows of the table in `page` whose first column has the heading `heading`.
fn table(page: &str, heading: &str) -> String {
    let page = read(page);
    let start = page.find(&format!("| {heading} |")).expect("a table with this heading");
    page[start..]
        .lines()
        .skip(2)
        .take_while(|l| l.starts_with('|'))
        .map(|l| format!("{l}\n"))
        .collect()
}

/// Returns the unit of a field according to the end of its name.
fn unit(name: &str) -> &'static str {
    let units = [
        ("_ms", "ms"),
        ("_s", "s"),
        ("_days", "days"),
        ("_bytes", "bytes"),
        ("_percent", "%"),
        ("_share", "share"),
        ("availability", "share"),
    ];
    units.iter().find(|(end, _)| name.ends_with(end)).map_or("", |(_, unit)| unit)
}

fn row(cells: [&str; 5]) -> String {
    let [name, default, unit, range, meaning] = cells;
    format!("| `{name}` | {default} | {unit} | {range} | {meaning} |\n")
}

fn code(value: &Value) -> String {
    format!("`{value}`")
}

/// Adds the rows for the fields of the object `schema` to `rows`; `prefix` precedes their names.
fn schema_rows(root: &Value, schema: &Value, prefix: &str, rows: &mut String) {
    for (name, field) in schema["properties"].as_object().unwrap() {
        let target = follow(root, field);
        let required =
            schema["required"].as_array().is_some_and(|r| r.contains(&name.as_str().into()));
        let default = match (field.get("default"), required) {
            (Some(default), _) => code(default),
            (None, true) => "required".to_owned(),
            (None, false) => "none".to_owned(),
        };
        let full = format!("{prefix}{name}");
        let meaning = field["description"].as_str().unwrap();
        rows.push_str(&row([&full, &default, unit(name), &schema_range(root, target), meaning]));
        if target["type"] == "object" {
            schema_rows(root, target, &format!("{full}."), rows);
        }
        let items = target.get("items").map(|items| follow(root, items));
        if let Some(items) = items.filter(|items| items["type"] == "object") {
            schema_rows(root, items, &format!("{full}[]."), rows);
        }
    }
}

/// Returns the target of `$ref` in `schema`, or `schema` itself if it has none.
fn follow<'a>(root: &'a Value, schema: &'a Value) -> &'a Value {
    let target = schema.get("$ref").and_then(Value::as_str);
    target.map_or(schema, |t| root.pointer(&t[1..]).unwrap())
}

fn schema_range(root: &Value, schema: &Value) -> String {
    let of = |key: &str| schema.get(key);
    if let (Some(min), Some(max)) = (of("minimum"), of("maximum")) {
        return if min == max { min.to_string() } else { format!("{min} to {max}") };
    }
    if let (Some(min), Some(max)) = (of("exclusiveMinimum"), of("exclusiveMaximum")) {
        return format!("between {min} and {max}");
    }
    if let Some(max) = of("maxItems") {
        let min = of("minItems").map_or("0".to_owned(), Value::to_string);
        let options = follow(root, &schema["items"]).get("enum");
        let options = options.map_or(String::new(), |o| format!(" of `{o}`"));
        return format!("{min} to {max} items{options}");
    }
    match schema["type"].as_str().unwrap() {
        "boolean" => "`true`, `false`".to_owned(),
        "string" => match schema["pattern"].as_str() {
            Some(pattern) => format!("`{}`", pattern.replace('|', "\\|")),
            None => "any text".to_owned(),
        },
        _ => String::new(),
    }
}

#[test]
fn the_configuration_page_shows_the_schema() {
    let root: Value = serde_json::from_str(&read("schema/configuration.json")).unwrap();
    let mut rows = String::new();
    schema_rows(&root, &root, "", &mut rows);
    assert!(table("docs/CONFIGURATION.md", "field") == rows, "the table has to be\n{rows}");
}

/// Returns the doc comments of the public fields of the struct `name` in the file `source`.
fn docs(source: &str, name: &str) -> collections::BTreeMap<String, String> {
    let source = read(source);
    let start = source.find(&format!("pub struct {name} {{")).unwrap();
    let mut docs = collections::BTreeMap::new();
    let mut doc: Vec<&str> = Vec::new();
    for line in source[start..].lines().skip(1).map(str::trim).take_while(|l| *l != "}") {
        if let Some(text) = line.strip_prefix("/// ") {
            doc.push(text);
        } else if let Some((field, _)) = line.strip_prefix("pub ").and_then(|l| l.split_once(':')) {
            docs.insert(field.to_owned(), doc.join(" "));
            doc.clear();
        }
    }
    docs
}

/// Returns the rows for the settings `defaults`, the struct `name` in the file `source`. `prefix`
/// precedes the names of the fields.
fn settings_rows<T: Serialize>(
    defaults: &T,
    (source, name): (&str, &str),
    prefix: &str,
    limits: &[limits::Limit],
) -> String {
    let docs = docs(source, name);
    let tree = serde_json::to_value(defaults).unwrap();
    let fields = tree.as_object().unwrap().iter();
    let fields = fields.filter(|(_, value)| value.as_object().is_none_or(|o| o.is_empty()));
    let line = |(field, value): (&String, &Value)| {
        let full = format!("{prefix}{field}");
        let pointer = format!("/{}", full.replace('.', "/"));
        let limit = limits.iter().find(|l| l.pointer == pointer);
        let range = limit.map_or(String::new(), |l| format!("{} to {}", l.min, l.max));
        row([&full, &code(value), unit(field), &range, &docs[field]])
    };
    fields.map(line).collect()
}

/// Returns the rows for all settings of a node.
fn node_rows() -> String {
    let node = configs::Node::default();
    let mut rows = settings_rows(&node, ("src/configs/mod.rs", "Node"), "", limits::NODE);
    let tree = serde_json::to_value(&node).unwrap();
    for (section, fields) in tree.as_object().unwrap().iter().filter(|(_, v)| v.is_object()) {
        let name = format!("{}{}", section[..1].to_uppercase(), &section[1..]);
        let source = format!("src/configs/{section}.rs");
        let prefix = format!("{section}.");
        rows.push_str(&settings_rows(fields, (&source, &name), &prefix, limits::NODE));
    }
    rows
}

/// Returns the rows for all settings of a small mesh, except those of its nodes.
fn local_rows() -> String {
    let source = "src/configs/local.rs";
    let local = local::Local::default();
    let mut rows = settings_rows(&local, (source, "Local"), "", local::LIMITS);
    rows.push_str(&settings_rows(&local.log, (source, "Log"), "log.", local::LIMITS));
    let group = local::Group::default();
    rows.push_str(&settings_rows(&group, (source, "Group"), "upstreams.CLASS.", &[]));
    rows
}

#[rstest]
#[case::node("setting", node_rows())]
#[case::local("setting of `local`", local_rows())]
fn the_settings_page_shows_the_defaults(#[case] heading: &str, #[case] rows: String) {
    assert!(table("docs/SETTINGS.md", heading) == rows, "the table has to be\n{rows}");
}
