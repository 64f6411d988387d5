use rstest::rstest;
use serde_json::json;

use crate::mesh;
use crate::mesh::check;

fn route(name: &str, host: Option<&str>, path: &str, methods: &[&str]) -> serde_json::Value {
    let mut route =
        json!({"name": name, "path": path, "methods": methods, "service": "s", "kind": "k"});
    if let Some(host) = host {
        route["host"] = json!(host);
    }
    route
}

fn mesh() -> mesh::Mesh {
    let file = json!({
        "format": 1,
        "teams": [{"name": "t"}],
        "services": [{"name": "s", "team": "t", "kinds": [{"name": "k"}]}],
        "routes": [
            route("root", None, "/", &["GET"]),
            route("books", None, "/books", &["GET"]),
            route("books-post", None, "/books", &["POST"]),
            route("order", None, "/books/order", &["POST"]),
            route("named", Some("shop.example"), "/books", &[]),
            route("other", Some("desk.example"), "/desk", &["PUT"]),
        ],
    });
    check::check(file.to_string().as_bytes()).expect("the file has no fault")
}

#[rstest]
#[case::root(None, "GET", "/", Some("root"))]
#[case::prefix(None, "GET", "/books", Some("books"))]
#[case::trailing_slash(None, "GET", "/books/", Some("books"))]
#[case::deeper(None, "GET", "/books/9/pages", Some("books"))]
#[case::method(None, "POST", "/books", Some("books-post"))]
#[case::longest(None, "POST", "/books/order/9", Some("order"))]
#[case::complete_segments(None, "GET", "/bookshelf", Some("root"))]
#[case::method_not_in_longest(None, "GET", "/books/order", None)]
#[case::extension_method(None, "BREW", "/books", None)]
#[case::extension_method_of_route_for_every_method(
    Some("shop.example"),
    "BREW",
    "/books",
    Some("named")
)]
#[case::host_first(Some("shop.example"), "POST", "/books/order", Some("named"))]
#[case::host_spelling(Some("Shop.EXAMPLE.:8080"), "GET", "/books", Some("named"))]
#[case::host_without_the_path(Some("desk.example"), "GET", "/books", Some("books"))]
#[case::host_without_the_method(Some("desk.example"), "GET", "/desk", None)]
#[case::other_host(Some("else.example"), "GET", "/books", Some("books"))]
#[case::no_slash(None, "GET", "books", None)]
#[case::empty(None, "GET", "", None)]
#[case::empty_segment(None, "POST", "/books//order", None)]
#[case::dots(None, "POST", "/books/x/../order", None)]
#[case::trailing_dots(None, "GET", "/books/..", None)]
#[case::needless_encoding(None, "POST", "/books/%6Frder", None)]
#[case::encoded_slash(None, "GET", "/books%2forder", None)]
#[case::needed_encoding(None, "GET", "/books/a%20b%C3%A9", Some("books"))]
#[case::truncated_encoding(None, "GET", "/books/a%2", None)]
#[case::signed_encoding(None, "GET", "/books/%+4", None)]
#[case::parameter(None, "GET", "/books/order;a", None)]
#[case::backslash(None, "GET", "/books\\order", None)]
fn a_request_finds_its_route(
    #[case] host: Option<&str>,
    #[case] method: &str,
    #[case] path: &str,
    #[case] name: Option<&str>,
) {
    let mesh = mesh();
    let method = method.parse().expect("a method");
    let found = mesh.find(host, &method, path).map(|key| mesh.route(key).name.as_str());
    assert_eq!(found, name);
}
