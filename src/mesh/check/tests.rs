use rstest::rstest;
use serde_json::Value;
use serde_json::json;

use crate::mesh::check;
use crate::mesh::fault;

const CONDOR: &str = include_str!("../../../examples/configurations/condor.json");
const CASCADIA: &str = include_str!("../../../examples/configurations/cascadia.json");

/// Pointers and codes of the faults of `body`.
fn faults(body: &[u8]) -> Vec<(String, String)> {
    let Err(faults) = check::check(body) else { return Vec::new() };
    faults.list().iter().map(|f| (f.pointer.clone(), code(f))).collect()
}

fn code(fault: &fault::Fault) -> String {
    let json = serde_json::to_value(fault).expect("a fault serialises");
    json["code"].as_str().expect("a code").to_owned()
}

/// The faults of Cóndor's configuration with the value at `pointer` replaced by `value`.
fn faults_with(pointer: &str, value: Value) -> Vec<(String, String)> {
    let mut file: Value = serde_json::from_str(CONDOR).expect("an example is JSON");
    let (parent, field) = pointer.rsplit_once('/').expect("a pointer");
    file.pointer_mut(parent).expect("a parent")[field] = value;
    faults(file.to_string().as_bytes())
}

fn expected(list: &[(&str, &str)]) -> Vec<(String, String)> {
    list.iter().map(|(p, c)| ((*p).to_owned(), (*c).to_owned())).collect()
}

#[rstest]
#[case::condor(CONDOR, 2, 5, 5)]
#[case::cascadia(CASCADIA, 2, 6, 6)]
fn an_example_is_accepted(
    #[case] file: &str,
    #[case] services: usize,
    #[case] kinds: usize,
    #[case] routes: usize,
) {
    let mesh = check::check(file.as_bytes()).expect("the example has no fault");
    assert_eq!(
        (mesh.services.len(), mesh.kinds.len(), mesh.routes.len()),
        (services, kinds, routes)
    );
}

#[rstest]
#[case::unknown_field("/organisations/0/colour", json!(1), &[("/organisations/0/colour", "unknown_field")])]
#[case::unknown_root_field("/a~1b", json!(1), &[("/a~01b", "unknown_field")])]
#[case::wrong_type("/services/0/queue", json!("9"), &[("/services/0/queue", "wrong_type")])]
#[case::fraction("/services/0/queue", json!(1.5), &[("/services/0/queue", "wrong_type")])]
#[case::zero("/upstreams/0/slots", json!(0), &[("/upstreams/0/slots", "out_of_range")])]
#[case::too_large("/services/0/timeout_ms", json!(1e12), &[("/services/0/timeout_ms", "out_of_range")])]
#[case::whole_share(
    "/services/0/objectives/availability",
    json!(1.0),
    &[("/services/0/objectives/availability", "out_of_range")]
)]
#[case::format("/format", json!(2), &[("/format", "wrong_format")])]
#[case::format_of_text("/format", json!("1"), &[("/format", "wrong_type")])]
#[case::organisation("/services/1/organisation", json!("nobody"), &[("/services/1/organisation", "dangling_reference")])]
#[case::kind_of_other("/routes/0/kind", json!("isbn"), &[("/routes/0/kind", "dangling_reference")])]
#[case::service("/routes/0/service", json!("x"), &[("/routes/0/service", "dangling_reference")])]
#[case::upstream("/routes/0/upstream", json!("x"), &[("/routes/0/upstream", "dangling_reference")])]
#[case::foreign(
    "/routes/0/upstream",
    json!("manuscript"),
    &[("/routes/0/upstream", "foreign_upstream")]
)]
#[case::owner(
    "/upstreams/0/service",
    json!("nothing"),
    &[("/upstreams/0/service", "dangling_reference")]
)]
#[case::name("/routes/1/name", json!("browse"), &[("/routes/1/name", "duplicate_name")])]
#[case::kind_name(
    "/services/0/kinds/1/name",
    json!("browse"),
    &[("/routes/1/kind", "dangling_reference"), ("/services/0/kinds/1/name", "duplicate_name")]
)]
#[case::overlap("/routes/3/methods", json!(["PUT"]), &[("/routes/3", "overlap")])]
#[case::overlap_every("/routes/2/methods", json!([]), &[("/routes/3", "overlap")])]
#[case::method("/routes/0/methods", json!(["TRACE"]), &[("/routes/0/methods/0", "wrong_choice")])]
#[case::repeated("/routes/0/methods", json!(["GET", "GET"]), &[("/routes/0/methods", "repeated_item")])]
#[case::text("/organisations/0/name", json!("A b"), &[("/organisations/0/name", "wrong_text"), ("/services/0/organisation", "dangling_reference")])]
#[case::two_slashes_at_end("/routes/0/path", json!("/titles//"), &[("/routes/0/path", "wrong_text")])]
#[case::dots("/routes/0/path", json!("/a/../b"), &[("/routes/0/path", "wrong_text")])]
#[case::no_kinds(
    "/services/0/kinds",
    json!([]),
    &[
        ("/routes/0/kind", "dangling_reference"),
        ("/routes/1/kind", "dangling_reference"),
        ("/services/0/kinds", "wrong_length")
    ]
)]
fn each_fault_is_reported_with_its_pointer(
    #[case] pointer: &str,
    #[case] value: Value,
    #[case] wanted: &[(&str, &str)],
) {
    assert_eq!(faults_with(pointer, value), expected(wanted));
}

#[test]
fn all_faults_are_reported_at_once() {
    let file = json!({
        "format": 1,
        "extra": true,
        "teams": [{}, {"name": "t"}],
        "services": [{"name": "s", "team": "gone", "queue": -1, "kinds": [{"name": "k"}]}],
        "upstreams": [{"name": "u", "service": "s", "slots": 0}, {"name": "u", "service": "s", "slots": 1}],
        "routes": [
            {"name": "r", "path": "/a", "service": "s", "kind": "k", "colour": 1, "upstream": "v"},
            {"name": "q", "path": "/a", "service": "s", "kind": "j"},
        ],
    });
    let wanted = expected(&[
        ("/extra", "unknown_field"),
        ("/routes/0/colour", "unknown_field"),
        ("/routes/0/upstream", "dangling_reference"),
        ("/routes/1", "overlap"),
        ("/routes/1/kind", "dangling_reference"),
        ("/services/0/queue", "out_of_range"),
        ("/services/0/team", "dangling_reference"),
        ("/teams/0", "missing_field"),
        ("/upstreams/0/slots", "out_of_range"),
        ("/upstreams/1/name", "duplicate_name"),
    ]);
    assert_eq!(faults(file.to_string().as_bytes()), wanted);
}

#[rstest]
#[case::root(br#"{"format":1,"teams":[],"teams":[]}"#, "/teams")]
#[case::nested(br#"{"format":1,"teams":[{"name":"a","name":"b"}]}"#, "/teams/0/name")]
fn a_duplicate_key_is_reported_with_its_pointer(#[case] body: &[u8], #[case] pointer: &str) {
    assert_eq!(faults(body), expected(&[(pointer, "duplicate_key")]));
}

#[rstest]
#[case::empty(b"", 1, 0)]
#[case::cut(b"{\"format\":1,\n\"teams\":[", 2, 9)]
#[case::tail(b"{\"format\":1}\n}", 2, 1)]
#[case::huge_number(b"{\"format\":1e999}", 1, 15)]
fn a_file_that_is_not_json_is_rejected_with_line_and_column(
    #[case] body: &[u8],
    #[case] line: usize,
    #[case] column: usize,
) {
    let faults = check::check(body).expect_err("the file is not JSON");
    match &faults.list()[0].problem {
        fault::Problem::NotJson { line: l, column: c, .. } => assert_eq!((*l, *c), (line, column)),
        other => panic!("another problem: {other}"),
    }
}

/// The limit of the older formats is frozen.
#[rstest]
#[case::oldest(1, 1 << 20)]
#[case::with_keys(5, 1 << 20)]
#[case::latest(check::LATEST_FORMAT, check::MAX_BYTES)]
fn a_file_above_the_limit_is_rejected(#[case] format: u32, #[case] limit: usize) {
    let mut body = json!({"format": format}).to_string().into_bytes();
    body.resize(limit, b' ');
    assert_eq!(faults(&body), expected(&[]));
    body.push(b' ');
    assert_eq!(faults(&body), expected(&[("", "too_large")]));
}

#[test]
fn a_float_without_a_fraction_is_an_integer() {
    assert_eq!(faults(br#"{"format":1.0}"#), expected(&[]));
}

/// The configuration of Cóndor in `format`, with `rollouts`.
fn with_rollouts(format: u32, rollouts: &Value) -> Vec<u8> {
    let mut file: Value = serde_json::from_str(CONDOR).expect("an example is JSON");
    file["format"] = json!(format);
    file["rollouts"] = rollouts.clone();
    file.to_string().into_bytes()
}

fn order(service: &str, version: &str) -> Value {
    json!({ "order": 7, "service": service, "version": version, "within_ms": 12_000 })
}

#[rstest]
#[case::sound(4, json!([order("catalogue", "v2"), order("manuscript", "v2")]), &[])]
#[case::none(3, json!([]), &[])]
#[case::older_format(3, json!([order("catalogue", "v2")]), &[("/rollouts", "unknown_field")])]
#[case::nowhere(4, json!([order("x", "v2")]), &[("/rollouts/0/service", "dangling_reference")])]
#[case::no_version(4, json!([order("catalogue", "")]), &[("/rollouts/0/version", "wrong_value")])]
#[case::twice(
    4,
    json!([order("catalogue", "v2"), order("catalogue", "v3")]),
    &[("/rollouts/1/service", "wrong_value")]
)]
fn rollout_orders_are_checked(
    #[case] format: u32,
    #[case] rollouts: Value,
    #[case] wanted: &[(&str, &str)],
) {
    assert_eq!(faults(&with_rollouts(format, &rollouts)), expected(wanted));
}

#[test]
fn a_rollout_order_is_converted_unchanged() {
    let mesh = check::check(&with_rollouts(4, &json!([order("catalogue", "v2")]))).expect("sound");
    let [rollout] = &mesh.rollouts[..] else { panic!("one order: {:?}", mesh.rollouts) };
    assert_eq!((rollout.order.number, rollout.order.version.as_str()), (7, "v2"));
    assert_eq!(rollout.order.within, std::time::Duration::from_secs(12));
}

/// A file of format 5 with two organisations, each with a list of digests.
fn keyed(one: &[&str], other: &[&str]) -> Value {
    json!({
        "format": 5,
        "organisations": [
            {"name": "one", "keys": one, "rate_per_s": 2.5, "burst": 9, "priority": 3},
            {"name": "other", "keys": other},
        ],
        "services": [{"name": "s", "organisation": "one", "kinds": [{"name": "k"}]}],
        "routes": [
            {"name": "closed", "path": "/closed", "service": "s", "kind": "k"},
            {"name": "open", "path": "/open", "service": "s", "kind": "k", "public": true},
        ],
    })
}

const DIGEST: &str = "00112233445566778899aabbccddeeff";
const OTHER_DIGEST: &str = "ffeeddccbbaa99887766554433221100";

#[test]
fn organisations_are_found_by_the_digests_of_their_keys() {
    let file = keyed(&[DIGEST], &[OTHER_DIGEST]).to_string();
    let mesh = check::check(file.as_bytes()).expect("the file has no fault");
    let found = |digest: &str| {
        let key = mesh.organisation_of_key(digest.parse().expect("a digest"));
        key.map(|key| mesh.organisation(key).name.as_str())
    };
    assert_eq!(found(DIGEST), Some("one"));
    assert_eq!(found(OTHER_DIGEST), Some("other"));
    assert_eq!(found("00000000000000000000000000000000"), None);
    assert!(mesh.requires_keys());
    let one = mesh.organisation(mesh.organisation_named("one").expect("an organisation"));
    let limit = one.limit.expect("a limit");
    assert_eq!((limit.rate, limit.burst, one.priority), (2.5, 9.0, 3));
    let other = mesh.organisation(mesh.organisation_named("other").expect("an organisation"));
    assert_eq!((other.limit, other.priority), (None, 0));
    assert_eq!(mesh.routes.iter().map(|r| r.public).collect::<Vec<_>>(), [false, true]);
}

/// The text of a fault names the organisations and never a key.
#[rstest]
#[case::shared(keyed(&[DIGEST], &[OTHER_DIGEST, DIGEST]), "/organisations/1/keys/1", "shared_key")]
#[case::twice(keyed(&[DIGEST, DIGEST], &[]), "/organisations/0/keys", "repeated_item")]
#[case::not_a_digest(keyed(&["dsk_secret"], &[]), "/organisations/0/keys/0", "wrong_text")]
fn a_malformed_list_of_keys_is_refused(
    #[case] file: Value,
    #[case] pointer: &str,
    #[case] code: &str,
) {
    let body = file.to_string();
    assert_eq!(faults(body.as_bytes()), expected(&[(pointer, code)]));
    let text = check::check(body.as_bytes()).expect_err("faults").to_string();
    let json = serde_json::to_string(check::check(body.as_bytes()).expect_err("faults").list());
    for printed in [text, json.expect("faults serialise")] {
        assert!(!printed.contains(DIGEST) && !printed.contains("secret"), "{printed}");
    }
}

#[rstest]
#[case::keys("keys", json!([]))]
#[case::rate("rate_per_s", json!(1))]
#[case::burst("burst", json!(1))]
#[case::priority("priority", json!(1))]
fn the_fields_of_format_5_are_unknown_before(
    #[case] field: &str,
    #[case] value: Value,
    #[values(3, 4)] format: u32,
) {
    let mut file: Value = serde_json::from_str(CONDOR).expect("an example is JSON");
    file["format"] = json!(format);
    assert!(!check::check(file.to_string().as_bytes()).expect("accepted").requires_keys());
    file["organisations"][0][field] = value;
    let pointer = format!("/organisations/0/{field}");
    assert_eq!(faults(file.to_string().as_bytes()), expected(&[(&pointer, "unknown_field")]));
}
