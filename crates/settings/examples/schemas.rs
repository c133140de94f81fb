//! Prints the JSON Schema of the document, or with `daemon` that of the daemon's settings.

use dotterellane_settings::schema::{daemon_schema, document_schema};

fn main() {
    let daemon = std::env::args().nth(1).is_some_and(|name| name == "daemon");
    let schema = if daemon { daemon_schema() } else { document_schema() };
    println!("{schema:#}");
}
