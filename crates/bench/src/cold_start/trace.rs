//! Seeded random traces of sessions: most models are idle, sessions start with a burst, and events
//! start sessions of several models at once.

use miette::miette;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal, Zipf};
use rand_pcg::Pcg64Mcg;

/// Median duration of a request, in seconds.
const REQUEST_SECONDS: f64 = 4.0;
/// Mean pause between the requests of a session, in seconds.
const PAUSE_SECONDS: f64 = 20.0;
/// Mean number of requests of a session after its first burst.
const SESSION_REQUESTS: f64 = 12.0;
/// Maximum number of requests in the first burst of a session.
const BURST_REQUESTS: u32 = 12;
/// Time over which the first burst of a session is spread, in seconds.
const BURST_SECONDS: f64 = 0.2;
/// Fraction of models that are used at regular intervals.
const SCHEDULED_SHARE: f64 = 0.2;
/// Mean time between events that start sessions of several models at once, in hours.
const EVENT_HOURS: f64 = 0.75;
/// Maximum number of sessions that one event starts.
const EVENT_MODELS: usize = 8;
/// Number of bytes in a gibibyte.
const GIBIBYTE: f64 = (1_u64 << 30) as f64;
/// Size of the smallest and largest model, in gibibytes; the logarithm of sizes is uniform.
const MODEL_GIBIBYTES: (f64, f64) = (4.0, 60.0);
/// Mean time between sessions of the most and the least used model, in hours; its logarithm is
/// uniform.
const SESSION_HOURS: (f64, f64) = (0.25, 16.0);

/// Sizes of the fleet of one user.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetSize {
    /// Name of the fleet in the results.
    pub name: &'static str,
    /// Number of models.
    pub models: usize,
    /// Number of adapters.
    pub adapters: usize,
    /// Number of runners, one accelerator each.
    pub runners: usize,
    /// Models of mean size that the weight store loads per second, with four concurrent loads.
    pub loads_per_second: f64,
    /// Number of teams.
    pub teams: usize,
}

impl FleetSize {
    /// Fleet of the Ceangal Rail Replacement Partnership.
    pub const CEANGAL: Self = Self {
        name: "ceangal",
        models: 50,
        adapters: 55,
        runners: 9,
        loads_per_second: 4.0,
        teams: 5,
    };
    /// Fleet of the Célula Atlântica Integração.
    pub const CELULA: Self = Self {
        name: "celula",
        models: 65,
        adapters: 75,
        runners: 12,
        loads_per_second: 3.0,
        teams: 5,
    };

    /// Returns the full speed of one load from the weight store, in bytes per second.
    pub fn load_speed(&self) -> f64 {
        let (small, large) = MODEL_GIBIBYTES;
        // Mean of a log-uniform distribution.
        let mean = (large - small) / (large / small).ln();
        mean * GIBIBYTE * self.loads_per_second / 4.0
    }
}

/// One request of a trace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SessionRequest {
    /// Time of arrival, in seconds from the start of the trace.
    pub at: f64,
    /// Index of the requested model.
    pub model: usize,
    /// Index of the team that sends the request.
    pub team: usize,
    /// Duration of the request on a loaded model, in seconds.
    pub seconds: f64,
}

/// A trace of requests with the sizes of the models.
#[derive(Clone, Debug, PartialEq)]
pub struct SessionTrace {
    /// Requests, in order of arrival.
    pub requests: Vec<SessionRequest>,
    /// Sizes of the models, in bytes, by model index.
    pub sizes: Vec<u64>,
    /// Length of the trace, in seconds.
    pub length: f64,
}

/// Draws a trace of `hours` for a fleet of `size`.
///
/// # Errors
/// Fails if the length is not a positive number.
pub fn draw_sessions(size: &FleetSize, hours: f64, seed: u64) -> miette::Result<SessionTrace> {
    if !(hours > 0.0 && hours.is_finite()) {
        return Err(miette!("the length must be a positive number of hours, not {hours}"));
    }
    let mut generator = SessionGenerator::new(size, hours * 3_600.0, seed)?;
    for model in 0..size.models {
        generator.draw_model(model)?;
    }
    generator.draw_events()?;
    let mut requests = generator.requests;
    requests.sort_by(|a, b| a.at.total_cmp(&b.at));
    Ok(SessionTrace { requests, sizes: generator.sizes, length: generator.length })
}

struct SessionGenerator {
    random: Pcg64Mcg,
    teams: Zipf<f64>,
    pause: Exp<f64>,
    work: LogNormal<f64>,
    requests: Vec<SessionRequest>,
    sizes: Vec<u64>,
    length: f64,
}

impl SessionGenerator {
    fn new(size: &FleetSize, length: f64, seed: u64) -> miette::Result<Self> {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let sizes = (0..size.models)
            .map(|_| (log_uniform(&mut random, MODEL_GIBIBYTES) * GIBIBYTE) as u64)
            .collect();
        let teams = Zipf::new(size.teams as f64, 1.0).map_err(|error| miette!("{error}"))?;
        let pause = Exp::new(1.0 / PAUSE_SECONDS).map_err(|error| miette!("{error}"))?;
        let work = LogNormal::new(REQUEST_SECONDS.ln(), 0.6).map_err(|error| miette!("{error}"))?;
        Ok(Self { random, teams, pause, work, requests: Vec::new(), sizes, length })
    }

    fn draw_model(&mut self, model: usize) -> miette::Result<()> {
        let period = log_uniform(&mut self.random, SESSION_HOURS) * 3_600.0;
        let scheduled = self.random.random_bool(SCHEDULED_SHARE);
        let gaps = Exp::new(1.0 / period).map_err(|error| miette!("{error}"))?;
        let mut at = self.random.random_range(0.0..period);
        while at < self.length {
            self.draw_session(model, at);
            at += match scheduled {
                true => period * self.random.random_range(0.98..1.02),
                false => gaps.sample(&mut self.random),
            };
        }
        Ok(())
    }

    /// Draws events, each of which starts sessions of several models at once.
    fn draw_events(&mut self) -> miette::Result<()> {
        let gaps = Exp::new(1.0 / (EVENT_HOURS * 3_600.0)).map_err(|error| miette!("{error}"))?;
        let mut at = gaps.sample(&mut self.random);
        while at < self.length {
            for _ in 0..self.random.random_range(3..=EVENT_MODELS) {
                let model = self.random.random_range(0..self.sizes.len());
                let delay = self.random.random_range(0.0..1.0);
                self.draw_session(model, at + delay);
            }
            at += gaps.sample(&mut self.random);
        }
        Ok(())
    }

    fn draw_session(&mut self, model: usize, start: f64) {
        let team = self.teams.sample(&mut self.random) as usize - 1;
        for _ in 0..self.random.random_range(1..=BURST_REQUESTS) {
            let at = start + self.random.random_range(0.0..BURST_SECONDS);
            self.push(model, team, at);
        }
        let mut at = start;
        let stop = 1.0 / SESSION_REQUESTS;
        while !self.random.random_bool(stop) {
            at += self.pause.sample(&mut self.random) + REQUEST_SECONDS;
            self.push(model, team, at);
        }
    }

    fn push(&mut self, model: usize, team: usize, at: f64) {
        let seconds = self.work.sample(&mut self.random);
        if at < self.length {
            self.requests.push(SessionRequest { at, model, team, seconds });
        }
    }
}

fn log_uniform(random: &mut Pcg64Mcg, (low, high): (f64, f64)) -> f64 {
    random.random_range(low.ln()..high.ln()).exp()
}
