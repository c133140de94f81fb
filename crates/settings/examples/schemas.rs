//! Prints the JSON Schema of the configuration document, or of the daemon settings if the first
//! argument is `daemon`.

use dotterellane_settings::schema::{daemon_schema, document_schema};

fn main() {
    let daemon = std::env::args().nth(1).is_some_and(|name| name == "daemon");
    let schema = if daemon { daemon_schema() } else { document_schema() };
    println!("{schema:#}");
}
