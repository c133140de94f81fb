//! A whole fleet in one process, with stand-ins for the platform and the upstreams.

mod document;
mod instructions;

use std::net::SocketAddr;

use dotterellane_platform::memory::MemoryPlatform;
use dotterellane_settings::keys::{CallerKey, OperatorKey};
use dotterellane_standins::http_server::StandinServer;
use dotterellane_standins::platform_server;
use dotterellane_standins::runner::{RunnerOptions, StandinRunner};
use miette::{IntoDiagnostic, WrapErr};

use crate::daemon::{self, DaemonHandle, DaemonOptions};
use crate::demo::document::{ADAPTERS, MODELS, RUNNER_DOMAINS, SERVICE, TEAMS};
use crate::demo::instructions::{DemoOutline, TeamKey};
use crate::exit_codes::ExitCode;
use crate::signals;

const DAEMON_DOMAINS: [&str; 3] = ["domain-a", "domain-b", "domain-b"];
