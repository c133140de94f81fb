//! Runs the scenarios of team shares; the limit on admissions is checked after every step.

use std::error::Error;
use std::fmt::Write as _;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use dotterellane_decisions::shares::ShareTimings;
use dotterellane_decisions::shares::fleet_model::{FleetModel, LoadSource, SharePolicy};
use dotterellane_settings::document::TeamEntry;
use dotterellane_units::{HostId, TeamId, TokenCount};
use goldenscript::{Command, Context, Runner};
use googletest::prelude::*;

const SEED: u64 = 0x5ba7e5;

struct ScenarioRunner {
    fleet: FleetModel,
    teams: Vec<TeamId>,
}

type StepResult<T> = std::result::Result<T, Box<dyn Error>>;

impl ScenarioRunner {
    fn new(policy: SharePolicy) -> Self {
        let fleet = FleetModel::new(policy, ShareTimings::default(), SEED);
        Self { fleet, teams: Vec::new() }
    }

    /// Parses the name of a host, or `ledger/<team>` for the host of that team's ledger.
    fn host(&self, text: &str) -> StepResult<HostId> {
        match text.strip_prefix("ledger/") {
            Some(team) => self.fleet.ledger(&team.parse()?).ok_or_else(|| "no ledger".into()),
            None => Ok(text.parse()?),
        }
    }

    fn hosts(&self, command: &Command) -> StepResult<Vec<HostId>> {
        let mut arguments = command.consume_args();
        let mut hosts = Vec::new();
        while let Some(text) = arguments.next_pos() {
            hosts.push(self.host(text)?);
        }
        Ok(hosts)
    }

    fn load(&mut self, command: &Command) -> StepResult<()> {
        let mut arguments = command.consume_args();
        let team = arguments.next_pos().ok_or("which team?")?.parse()?;
        let (low, high) =
            arguments.take_key("tokens").ok_or("tokens=?")?.split_once('-').ok_or("a-b")?;
        let mut load = LoadSource {
            team,
            requests: value(&mut arguments, "requests")?.ok_or("requests=?")?,
            tokens: (low.parse()?, high.parse()?),
            weights: Vec::new(),
            max_wait: span(arguments.take_key("patience").unwrap_or("30s"))?,
            unused: value(&mut arguments, "unused")?.unwrap_or(0.0),
            shaped: value(&mut arguments, "in-rate")?.unwrap_or(false),
        };
        while let Some((host, weight)) = arguments.next_key() {
            load.weights.push((self.host(host)?, weight.parse()?));
        }
        arguments.reject_next()?;
        self.fleet.add_load(load);
        Ok(())
    }

    fn network(&mut self, command: &Command) -> StepResult<()> {
        let mut arguments = command.consume_args();
        let faults = &mut self.fleet.network;
        faults.lost = value(&mut arguments, "lost")?.unwrap_or(0.0);
        faults.doubled = value(&mut arguments, "doubled")?.unwrap_or(0.0);
        faults.late = value(&mut arguments, "late")?.unwrap_or(0.0);
        if let Some(delay) = arguments.take_key("delay") {
            faults.delay = span(delay)?;
        }
        arguments.reject_next()
    }

    fn team(&mut self, command: &Command) -> StepResult<()> {
        let mut arguments = command.consume_args();
        let team: TeamId = arguments.next_pos().ok_or("which team?")?.parse()?;
        let rate = value(&mut arguments, "rate")?.ok_or("rate=?")?;
        let burst = value(&mut arguments, "burst")?.ok_or("burst=?")?;
        arguments.reject_next()?;
        self.fleet.set_team(&team, TeamEntry { rate, burst });
        if !self.teams.contains(&team) {
            self.teams.push(team);
        }
        Ok(())
    }

    fn request(&mut self, command: &Command) -> StepResult<String> {
        let mut arguments = command.consume_args();
        let host = self.host(arguments.next_pos().ok_or("which host?")?)?;
        let team = arguments.next_pos().ok_or("which team?")?.parse()?;
        let tokens: TokenCount = value(&mut arguments, "tokens")?.ok_or("tokens=?")?;
        let max_wait = span(arguments.take_key("patience").unwrap_or("30s"))?;
        arguments.reject_next()?;
        let before = self.fleet.tally(&team);
        let request = self.fleet.send_request(&host, &team, tokens, max_wait);
        // Long enough for several round trips between hosts.
        self.fleet.run(Duration::from_millis(60));
        let outcome = match self.fleet.tally(&team) {
            _ if self.fleet.waits(request) => "waits",
            tally if tally.admitted > before.admitted => "admitted",
            _ => "refused",
        };
        Ok(outcome.to_owned())
    }

    fn outcome(&self) -> String {
        let mut text = String::new();
        for team in &self.teams {
            let tally = self.fleet.tally(team);
            let (sent, admitted, tokens) = (tally.sent, tally.admitted, tally.tokens);
            let (in_rate, over_rate, waiting) =
                (tally.refused_in_rate, tally.refused_over_rate, tally.waiting);
            let _ = writeln!(
                text,
                "{team}: sent {sent}, admitted {admitted} with {tokens} tokens, refused in rate \
                 {in_rate}, refused over rate {over_rate}, waiting {waiting}, longest wait {:.1?} s, \
                 beyond rate and burst {}",
                tally.longest_wait.as_secs_f64(),
                tally.overshoot
            );
        }
        text
    }

    fn check_limits(&self) -> StepResult<()> {
        if let Some(violation) = self.fleet.violation() {
            return Err(violation.to_owned().into());
        }
        match self.fleet.overshoot() {
            TokenCount(0) => Ok(()),
            tokens => {
                Err(format!("a team got {tokens} tokens beyond rate x window + burst").into())
            }
        }
    }
}

fn value<T>(arguments: &mut goldenscript::ArgumentConsumer, key: &str) -> StepResult<Option<T>>
where
    T: FromStr,
    T::Err: Error + 'static,
{
    Ok(arguments.take_key(key).map(str::parse).transpose()?)
}

fn span(text: &str) -> StepResult<Duration> {
    let (number, unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 0.001),
        None => match text.strip_suffix("min") {
            Some(number) => (number, 60.0),
            None => (text.strip_suffix('s').ok_or("write 5s, 20ms or 60min")?, 1.0),
        },
    };
    Ok(Duration::from_secs_f64(number.parse::<f64>()? * unit))
}

impl Runner for ScenarioRunner {
    type Command = Command;

    fn run(&mut self, command: &Command, _context: &Context) -> StepResult<String> {
        match command.name.as_str() {
            "hosts" | "start" => self.hosts(command)?.iter().for_each(|h| self.fleet.start(h)),
            "kill" => self.hosts(command)?.iter().for_each(|host| self.fleet.kill(host)),
            "pause" => self.hosts(command)?.iter().for_each(|host| self.fleet.pause(host)),
            "resume" => self.hosts(command)?.iter().for_each(|host| self.fleet.resume(host)),
            "cut" => {
                self.hosts(command)?.iter().for_each(|host| self.fleet.set_group(host, 1, false));
            }
            "cut-from-peers" => {
                self.hosts(command)?.iter().for_each(|host| self.fleet.set_group(host, 1, true));
            }
            "heal" => {
                self.hosts(command)?.iter().for_each(|host| self.fleet.set_group(host, 0, true));
            }
            "drift" => {
                let mut arguments = command.consume_args();
                let drift: i64 = value(&mut arguments, "ppm")?.ok_or("ppm=?")?;
                let host = self.host(arguments.next_pos().ok_or("which host?")?)?;
                self.fleet.set_drift(&host, drift);
            }
            "table" => {
                let state = command.consume_args().next_pos().ok_or("up or down?")?;
                self.fleet.set_table(state == "up");
            }
            "network" => self.network(command)?,
            "team" => self.team(command)?,
            "load" => self.load(command)?,
            "stop" => self.fleet.stop_load(&command.consume_args().next_pos().ok_or("?")?.parse()?),
            "run" => {
                self.fleet.run(span(command.consume_args().next_pos().ok_or("how long?")?)?);
            }
            "request" => {
                let outcome = self.request(command)?;
                self.check_limits()?;
                return Ok(outcome);
            }
            "outcome" => return Ok(self.outcome()),
            "slots" => {
                let slots = self.fleet.slots();
                let lines = slots.iter().map(|(host, count)| format!("{host}: {count}"));
                return Ok(lines.collect::<Vec<_>>().join("\n"));
            }
            other => return Err(format!("unknown command {other}").into()),
        }
        self.check_limits()?;
        Ok(String::new())
    }
}

fn run_scenario(name: &str) {
    let path = Path::new("tests/scenarios/shares").join(name);
    let mut runner = ScenarioRunner::new(SharePolicy::Ledgers);
    if let Err(error) = goldenscript::run(&mut runner, path) {
        panic!("{name}: {error}");
    }
}

macro_rules! scenarios {
    ($($test:ident = $file:literal;)*) => {$(
        #[gtest]
        fn $test() {
            run_scenario($file);
        }
    )*};
}

scenarios! {
    shares_clocks_drift = "clocks_drift";
    shares_entry_pauses = "entry_pauses";
    shares_entry_restarts = "entry_restarts";
    shares_even_partition_without_table = "even_partition_without_table";
    shares_hosts_added = "hosts_added";
    shares_hosts_replaced = "hosts_replaced";
    shares_ledger_cut_off = "ledger_cut_off";
    shares_ledger_dies = "ledger_dies";
    shares_ledger_pauses = "ledger_pauses";
    shares_network_loses_and_delays = "network_loses_and_delays";
    shares_one_host = "one_host";
    shares_one_team_far_over = "one_team_far_over";
    shares_partition_while_slots_move = "partition_while_slots_move";
    shares_rates_changed = "rates_changed";
    shares_refunds = "refunds";
    shares_small_rate = "small_rate";
    shares_steady = "steady";
    shares_table_down_and_ledger_dies = "table_down_and_ledger_dies";
    shares_table_down_for_an_hour = "table_down_for_an_hour";
    shares_waits_or_refuses_at_once = "waits_or_refuses_at_once";
}
