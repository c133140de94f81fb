//! Commands of the scenario files, and their execution against a simulation.

use std::error::Error;
use std::path::PathBuf;
use std::time::Duration;

use super::simulation::Simulation;

/// One command of a scenario.
#[derive(Clone, Debug, PartialEq)]
#[derive(goldenscript::Command)]
pub enum ScenarioCommand {
    /// Starts a fleet of hosts `a`, `b` and so on.
    Fleet {
        /// Number of hosts.
        count: usize,
        /// Seed of all random choices.
        #[arg(key, optional)]
        seed: u64,
    },
    /// Makes a host propose a change of the configuration.
    Change(String),
    /// Advances the time by seconds.
    Run(f64),
    /// Sets the table `up` or `down`.
    Table(String),
    /// Sets whether answers to commits are `lost` or `kept`.
    Answers(String),
    /// Cuts hosts off from the table.
    Cut(Vec<String>),
    /// Splits the network into partitions, each written as its hosts' letters.
    Split(Vec<String>),
    /// Ends all faults of the network and the table.
    Heal,
    /// Starts a new incarnation on a host.
    Restart(String),
    /// Kills a daemon.
    Stop(String),
    /// Kills a daemon; the platform's host list drops its host some seconds later.
    Reclaim(String),
    /// Lets a daemon leave gracefully.
    Leave(String),
    /// Pauses a process.
    Pause {
        /// Host of the process.
        host: String,
        /// Length of the pause, in seconds.
        seconds: f64,
    },
    /// Loses this percentage of the messages; others are duplicated and delayed.
    Loss(u32),
    /// Prints the state of the daemons.
    State,
    /// Prints whether the newest entry is in force, and after which time.
    Progress,
}

enum Held<'a> {
    Own(Box<Simulation>),
    Lent(&'a mut Simulation),
}

/// Runs scenario commands against a simulation.
pub struct ScenarioRunner<'a>(Held<'a>);

impl Default for ScenarioRunner<'_> {
    fn default() -> Self {
        Self(Held::Own(Box::new(Simulation::new(0, 0))))
    }
}

impl<'a> ScenarioRunner<'a> {
    /// Returns a runner on `simulation`.
    pub fn with(simulation: &'a mut Simulation) -> Self {
        Self(Held::Lent(simulation))
    }

    fn simulation(&mut self) -> &mut Simulation {
        match &mut self.0 {
            Held::Own(simulation) => simulation,
            Held::Lent(simulation) => simulation,
        }
    }

    /// Applies one command.
    ///
    /// # Errors
    /// Fails with the violated invariant.
    pub fn apply(&mut self, command: &ScenarioCommand) -> Result<String, String> {
        if let ScenarioCommand::Fleet { count, seed } = command {
            *self.simulation() = Simulation::new(*count, *seed);
            return Ok(String::new());
        }
        let simulation = self.simulation();
        match command {
            ScenarioCommand::Fleet { .. } => {}
            ScenarioCommand::Change(host) => simulation.change(host),
            ScenarioCommand::Run(seconds) => simulation.run(Duration::from_secs_f64(*seconds))?,
            ScenarioCommand::Table(state) => simulation.table_up = state == "up",
            ScenarioCommand::Answers(state) => simulation.answers_lost = state == "lost",
            ScenarioCommand::Cut(hosts) => {
                hosts.iter().for_each(|host| simulation.set_reach(host, false));
            }
            ScenarioCommand::Split(groups) => {
                for (group, hosts) in (0..).zip(groups) {
                    hosts.chars().for_each(|host| simulation.set_group(&host.to_string(), group));
                }
            }
            ScenarioCommand::Heal => simulation.heal(),
            ScenarioCommand::Restart(host) => simulation.start(host),
            ScenarioCommand::Stop(host) => simulation.stop(host),
            ScenarioCommand::Reclaim(host) => simulation.reclaim(host),
            ScenarioCommand::Leave(host) => simulation.leave(host),
            ScenarioCommand::Pause { host, seconds } => {
                simulation.pause(host, Duration::from_secs_f64(*seconds));
            }
            ScenarioCommand::Loss(percent) => simulation.loss_percent = *percent,
            ScenarioCommand::State => return Ok(simulation.describe()),
            ScenarioCommand::Progress => return Ok(progress(simulation)),
        }
        Ok(String::new())
    }
}

fn progress(simulation: &Simulation) -> String {
    let newest = simulation.newest();
    match simulation.delays(newest.0).get(&newest) {
        Some(Some(delay)) => {
            format!("entry {newest}: in force after {:.1} s\n", delay.as_secs_f64())
        }
        Some(None) => format!("entry {newest}: not in force\n"),
        None => "no entry\n".to_owned(),
    }
}

impl goldenscript::Runner for ScenarioRunner<'_> {
    type Command = ScenarioCommand;

    fn run(
        &mut self,
        command: &ScenarioCommand,
        _context: &goldenscript::Context,
    ) -> Result<String, Box<dyn Error>> {
        Ok(self.apply(command)?)
    }
}

/// Returns the paths of the scenario files, sorted.
pub fn scenario_paths() -> Vec<PathBuf> {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios/freshness");
    let entries = std::fs::read_dir(folder).unwrap();
    let mut paths: Vec<PathBuf> = entries.map(|entry| entry.unwrap().path()).collect();
    paths.sort();
    paths
}
