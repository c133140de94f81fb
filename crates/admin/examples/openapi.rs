//! Prints the OpenAPI document of the administration API.

fn main() {
    println!("{:#}", dotterellane_admin::openapi());
}
