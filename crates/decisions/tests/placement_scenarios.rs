//! Runs the placement scenario files; the invariants are checked after every step.

mod placement_sim;

use std::error::Error;
use std::fmt::Write;
use std::time::Duration;

use dotterellane_units::ByteSize;
use goldenscript::{ArgumentConsumer, Command, Context};
use googletest::prelude::*;
use placement_sim::{HostState, PlacementSim, TableFault};

#[derive(Default)]
struct ScenarioRunner {
    sim: PlacementSim,
}

impl goldenscript::Runner for ScenarioRunner {
    type Command = Command;

    fn run(
        &mut self,
        command: &Command,
        _context: &Context,
    ) -> std::result::Result<String, Box<dyn Error>> {
        let mut args = command.consume_args();
        let mut output = self.command(&command.name, &mut args)?;
        args.reject_next()?;
        for violation in self.sim.violations.drain(..) {
            let _ = writeln!(output, "VIOLATION {violation}");
        }
        Ok(output)
    }
}

impl ScenarioRunner {
    fn command(
        &mut self,
        name: &str,
        args: &mut ArgumentConsumer<'_>,
    ) -> std::result::Result<String, Box<dyn Error>> {
        let memory: u64 = args.take_key("memory").unwrap_or("80").parse()?;
        let memory = ByteSize::gibibytes(memory);
        let words: Vec<String> =
            std::iter::from_fn(|| args.next_pos().map(str::to_owned)).collect();
        let word = |index: usize| words.get(index).map_or("", String::as_str);
        let span = |text: &str| -> std::result::Result<Duration, Box<dyn Error>> {
            Ok(Duration::from_secs_f64(text.trim_end_matches('s').parse()?))
        };
        let sim = &mut self.sim;
        match name {
            "runner" => sim.add_runner(word(0), word(1) == "fencing", memory),
            "model" => sim.add_model(word(0), memory),
            "hosts" => words.iter().for_each(|host| sim.add_host(host)),
            "slots" => words[1..].iter().for_each(|runner| sim.add_slot(word(0), runner)),
            "retire" => sim.retire_slot(word(0), word(1)),
            "wake" => return Ok(format!("{:?}\n", sim.wake(word(0), word(1), word(2)))),
            "unload" => sim.unload(word(0), word(1), word(2)),
            "run" => return Ok(sim.run(span(word(0))?)),
            "state" => return Ok(sim.state()),
            "pause" => sim.set_host(word(0), HostState::Paused),
            "crash" => sim.set_host(word(0), HostState::Crashed),
            "start" => sim.set_host(word(0), HostState::Up),
            "dead" => sim.announce_dead(word(0)),
            "cut" => sim.set_cut(word(0), word(1), true),
            "heal" => sim.set_cut(word(0), word(1), false),
            "restart-runner" => sim.crash_runner(word(0)),
            "late" => sim.order_delay = span(word(0))?,
            "doubled" => sim.copy_after = Some(span(word(0))?).filter(|span| !span.is_zero()),
            "slow-store" => sim.slowdown = word(0).parse()?,
            "table" => {
                sim.table = match word(0) {
                    "up" => TableFault::Up,
                    "down" => TableFault::Down,
                    "answers-lost" => TableFault::AnswersLost,
                    other => return Err(format!("table cannot be {other}").into()),
                }
            }
            other => return Err(format!("no command {other}").into()),
        }
        Ok(String::new())
    }
}

#[gtest]
fn scenarios_placement() -> googletest::Result<()> {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios/placement");
    let mut run_count = 0;
    for entry in std::fs::read_dir(folder).or_fail()? {
        let path = entry.or_fail()?.path();
        // A script whose output differs panics; the other scripts are run nevertheless.
        let outcome =
            std::panic::catch_unwind(|| goldenscript::run(&mut ScenarioRunner::default(), &path));
        expect_that!(outcome, ok(ok(anything())), "in {}", path.display());
        let text = std::fs::read_to_string(&path).or_fail()?;
        expect_that!(text, not(contains_substring("VIOLATION")), "in {}", path.display());
        run_count += 1;
    }
    expect_that!(run_count, gt(0));
    Ok(())
}
