//! The `serve` command: runs the daemon that a settings file describes.

use std::path::Path;
use std::sync::Arc;

use dotterellane_admin::{AdminOptions, AdminTls};
use dotterellane_entry::EntryLimits;
use dotterellane_fleet::{NodePlatform, NodeSettings};
use dotterellane_platform::http;
use dotterellane_settings::daemon::{DaemonSettings, LimitSettings, TlsSettings, read_settings};
use dotterellane_upstream::orders::RunnerOrders;
use miette::{IntoDiagnostic, Report, WrapErr, miette};

use crate::daemon::{self, DaemonOptions};
use crate::exit_codes::ExitCode;
use crate::files::read_file;
use crate::signals;

/// Smallest length of the fleet secret, in bytes.
const MIN_SECRET_BYTES: usize = 32;

/// Runs a daemon until it receives SIGINT or SIGTERM. Prints invalid settings and returns
/// [`ExitCode::InvalidInput`] for them.
///
/// # Errors
/// Fails if the daemon cannot listen on an address, or a file cannot be read.
pub fn run(file: &Path) -> miette::Result<ExitCode> {
    let settings = match read_settings(&file.display().to_string(), &read_file(file)?) {
        Ok(settings) => settings,
        Err(error) => {
            anstream::eprintln!("{:?}", Report::new(error));
            return Ok(ExitCode::InvalidInput);
        }
    };
    let options = daemon_options(settings)?;
    let runtime = tokio::runtime::Runtime::new().into_diagnostic()?;
    runtime.block_on(async {
        let daemon = daemon::start(options).await?;
        spdlog::info!("serving callers on {} and operators on {}", daemon.entry, daemon.admin());
        signals::wait_for_shutdown().await.into_diagnostic()?;
        spdlog::info!("shutting down: waiting for in-flight requests");
        daemon.stop().await?;
        Ok(ExitCode::Success)
    })
}

fn daemon_options(settings: DaemonSettings) -> miette::Result<DaemonOptions> {
    let secret = read_secret(&settings.fleet_secret_file)?;
    let platform = NodePlatform {
        table: http::table(settings.platform.table),
        objects: http::objects(settings.platform.objects),
        hosts: http::host_list(settings.platform.hosts),
    };
    Ok(DaemonOptions {
        entry: settings.listen.entry,
        admin: AdminOptions {
            listen: settings.listen.admin,
            tls: settings.tls.as_ref().map(admin_tls),
            first_operator: settings.first_operator,
        },
        node: NodeSettings {
            host: settings.host,
            domain: settings.domain,
            peers: settings.listen.peers,
            secret,
        },
        platform,
        orders: Arc::new(|_runner, address| RunnerOrders::http(address)),
        limits: entry_limits(&settings.limits),
        tls: settings.tls,
    })
}

fn read_secret(file: &Path) -> miette::Result<Vec<u8>> {
    let secret = std::fs::read(file)
        .into_diagnostic()
        .wrap_err_with(|| format!("reading the fleet secret from {}", file.display()))?;
    if secret.len() < MIN_SECRET_BYTES {
        return Err(miette!(
            help = "write at least 32 random bytes to the file; every host needs the same bytes",
            "{}: the fleet secret is too short: {} bytes",
            file.display(),
            secret.len()
        ));
    }
    Ok(secret)
}

fn admin_tls(tls: &TlsSettings) -> AdminTls {
    AdminTls { certificate_file: tls.certificate_file.clone(), key_file: tls.key_file.clone() }
}

fn entry_limits(limits: &LimitSettings) -> EntryLimits {
    EntryLimits {
        body: limits.body,
        headers: limits.headers,
        connections: usize::try_from(limits.connections).unwrap_or(usize::MAX),
        ..EntryLimits::default()
    }
}
