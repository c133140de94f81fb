//! Serves the console for an in-memory fleet with sample figures, for `scripts/console-test`.
//!
//! Prints one line of JSON with the address and two operators' keys, one of which may only read.
//! Exits at the end of standard input.

#[path = "../tests/support/mod.rs"]
mod support;

use std::io::Read;

use dotterellane_admin::FleetOverview;
use dotterellane_admin::overview::{
    ColdStarts, HostState, ModelState, ModelUse, RefusalCount, RunnerUse, TableHealth, TeamUse,
};
use dotterellane_settings::document::{ConfigurationDocument, UpstreamRole};
use dotterellane_settings::read_document;

const DOCUMENT: &str = include_str!("../../../examples/ceangal.yaml");

#[tokio::main]
async fn main() {
    let document = read_document("ceangal.yaml", DOCUMENT).expect("the example is valid");
    let overview = sample_overview(&document);
    let bench = support::TestBench::start_with(document, move || overview.clone());
    let address = format!("http://{}", bench.server.local_addr());
    let key = &bench.all_key;
    println!("{}", serde_json::json!({"address": address, "key": key, "read_key": bench.read_key}));
    let input_end = tokio::task::spawn_blocking(|| std::io::stdin().read_to_end(&mut Vec::new()));
    let _ = input_end.await;
}

fn sample_overview(document: &ConfigurationDocument) -> FleetOverview {
    let teams = document.teams.iter().enumerate().map(|(index, (id, entry))| {
        let rate = entry.rate.milli_tokens() as f64 / 1_000.0;
        TeamUse {
            team: id.to_string(),
            rate,
            used: Some(rate * [0.42, 1.0, 0.86, 0.07, 0.3][index % 5]),
            level: Some(entry.burst.0 / 2),
            burst: entry.burst.0,
            refused_over_rate: Some([0, 214, 3, 0, 0][index % 5]),
            refused_in_rate: Some(0),
        }
    });
    let models = document.models.keys().enumerate().map(|(index, id)| ModelUse {
        model: id.to_string(),
        state: [ModelState::Loaded, ModelState::Idle, ModelState::Idle, ModelState::Idle]
            [index % 4],
        decided: 2,
        loaded_on: if index % 4 == 0 {
            vec![format!("plan-models-{}", index % 9 + 1)]
        } else {
            vec![]
        },
        loading_on: Vec::new(),
        waiting: u32::from(index % 16 == 0),
    });
    let mut models: Vec<ModelUse> = models.collect();
    models[2].state = ModelState::Loading;
    let runners = document.upstreams.iter().filter_map(|(id, upstream)| match &upstream.role {
        UpstreamRole::Service(_) => None,
        UpstreamRole::Runner(runner) => Some(RunnerUse {
            runner: id.to_string(),
            domain: upstream.domain.to_string(),
            memory: runner.memory.0,
            used: Some(
                runner.memory.0 / 10
                    * (id.as_str().len() as u64 * 7 % 9
                        + u64::from(id.as_str().as_bytes()[12]) % 5),
            ),
            running: Some(3),
            answers: (id.as_str() != "plan-models-9").then_some(id.as_str() != "plan-models-4"),
            leaving: false,
        }),
    });
    let domains = ["dub-north", "dub-south", "cork", "galway"];
    let hosts = (0..8).map(|index| HostState {
        host: format!("entry-{}", index + 1),
        domain: domains[index % 4].to_owned(),
        alive: index != 6,
        leaving: index == 3,
    });
    FleetOverview {
        teams: teams.collect(),
        models: Some(models),
        runners: runners.collect(),
        hosts: hosts.collect(),
        cold_starts: Some(ColdStarts {
            count: 118,
            p50_seconds: 3.2,
            p95_seconds: 11.4,
            p99_seconds: 19.0,
        }),
        refusals: Some(vec![
            RefusalCount { cause: "over rate".to_owned(), count: 217 },
            RefusalCount { cause: "too late".to_owned(), count: 12 },
            RefusalCount { cause: "not fresh".to_owned(), count: 2 },
        ]),
        table: TableHealth { reachable: true, answered_ago_seconds: Some(0.4), failures: Some(1) },
        keys: Vec::new(),
    }
}
