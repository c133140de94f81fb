//! Arguments of the operators' commands. The doc comments on them are the help texts.

use std::path::PathBuf;

use clap::{Args, Subcommand, ValueEnum};
use dotterellane_units::{ByteSize, KeyId, ModelId, OperatorId, TeamId, TokenCount, TokenRate};

/// Connection of the operators' commands
#[derive(Clone, Debug)]
#[derive(Args)]
pub struct ConnectionArguments {
    /// URL of the administration API on any host of the fleet
    #[arg(
        long,
        global = true,
        env = "DOTTERELLANE_SERVER",
        value_name = "URL",
        default_value = "http://127.0.0.1:8081",
        help_heading = "Connection"
    )]
    pub server: String,

    /// File that contains the operator's key
    #[arg(
        long,
        global = true,
        env = "DOTTERELLANE_KEY_FILE",
        value_name = "FILE",
        help_heading = "Connection"
    )]
    pub key_file: Option<PathBuf>,

    /// PEM file with the CA certificates that an https server is verified against
    #[arg(
        long,
        global = true,
        env = "DOTTERELLANE_CA_FILE",
        value_name = "FILE",
        help_heading = "Connection"
    )]
    pub ca_file: Option<PathBuf>,
}

/// Commands for operators
#[derive(Debug)]
#[derive(Subcommand)]
pub enum OperatorCommand {
    /// Check a configuration document or the settings of a daemon
    ///
    /// Prints every error with its line number; the exit code is 2 if there are any.
    Check {
        /// YAML file to check
        file: PathBuf,

        /// What the file contains
        #[arg(long, value_enum, default_value_t = FileKind::Document)]
        kind: FileKind,
    },
    /// Read and change the configuration document
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Issue, rotate and withdraw keys
    #[command(subcommand)]
    Key(KeyCommand),
    /// Read and change teams
    #[command(subcommand)]
    Team(TeamCommand),
    /// Read and change models
    #[command(subcommand)]
    Model(ModelCommand),
    /// Show the state of the fleet as seen by one host
    Status {
        /// Print JSON instead of tables
        #[arg(long)]
        json: bool,
    },
    /// Show the state of the fleet, refreshed periodically
    Top {
        /// Seconds between refreshes
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..))]
        interval: u64,

        /// Number of times to show the state; unlimited if not given
        #[arg(long)]
        count: Option<u32>,
    },
}

/// What a file contains
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(ValueEnum)]
pub enum FileKind {
    /// The configuration document
    Document,
    /// The settings of a daemon
    Daemon,
}

/// Options for making a change
#[derive(Clone, Debug, Default)]
#[derive(Args)]
pub struct ChangeArguments {
    /// Print what the change would do without making it
    #[arg(long)]
    pub dry_run: bool,

    /// Summary of the change for the history
    #[arg(long, short, value_name = "TEXT")]
    pub message: Option<String>,

    /// Longest time to wait until the change is in force, in seconds
    #[arg(long, value_name = "SECONDS", default_value_t = 5)]
    pub wait: u32,
}

/// Read and change the configuration document
#[derive(Debug)]
#[derive(Subcommand)]
pub enum ConfigCommand {
    /// Print the document
    Get {
        /// Version to print instead of the newest one
        #[arg(long, value_name = "VERSION")]
        version: Option<u64>,
    },
    /// Replace the document
    ///
    /// The first line of the file names the version it was edited from, as printed by `config get`.
    Put {
        /// File with the new document
        file: PathBuf,

        /// Version that the file was edited from; overrides the first line
        #[arg(long, value_name = "VERSION")]
        from: Option<u64>,

        /// Options for making the change
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Print the differences between the document and a file, or between two versions
    Diff {
        /// File to compare with the document, or older version if a newer one is given
        older: String,

        /// Newer version
        newer: Option<u64>,
    },
    /// Check a document without sending it
    Check {
        /// File with the document
        file: PathBuf,
    },
    /// Print who changed what and when, newest first
    History {
        /// Largest number of changes to print
        #[arg(long, default_value_t = 20)]
        limit: u32,
    },
    /// Make a new version with the content of an earlier one
    Restore {
        /// Version to restore
        version: u64,

        /// Options for making the change
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Show which hosts have not confirmed a version
    Progress {
        /// Version to show
        version: u64,
    },
}

/// Issue, rotate and withdraw keys
#[derive(Debug)]
#[derive(Subcommand)]
pub enum KeyCommand {
    /// Print the callers' keys
    List {
        /// Print JSON instead of a table
        #[arg(long)]
        json: bool,
    },
    /// Issue a key and print its secret, which is shown only once
    Issue {
        /// Id of the new key, its public part
        id: KeyId,

        /// Team that requests with this key belong to
        #[arg(long)]
        team: TeamId,

        /// Time from which the key is refused, in seconds since the Unix epoch
        #[arg(long, value_name = "SECONDS")]
        expires_at: Option<u64>,

        /// Options for making the change
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Withdraw a key
    Withdraw {
        /// Id of the key
        id: KeyId,

        /// Options for making the change
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Issue a key that replaces another
    Rotate {
        /// Id of the old key
        id: KeyId,

        /// Id of the new key
        #[arg(long, value_name = "ID")]
        new_id: KeyId,

        /// Seconds for which the old key stays valid
        #[arg(long, value_name = "SECONDS", default_value_t = 3600)]
        overlap: u64,

        /// Options for making the change
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Give an operator a role and a new key; its secret is shown only once
    Operator {
        /// Name of the operator
        id: OperatorId,

        /// What the operator may do
        #[arg(long, value_enum)]
        role: RoleArgument,

        /// Print a key and its digest for `first_operator` in the settings, without asking a host
        #[arg(long)]
        offline: bool,

        /// Options for making the change
        #[command(flatten)]
        change: ChangeArguments,
    },
}

/// What an operator may do
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(ValueEnum)]
pub enum RoleArgument {
    /// Read the configuration document and the state of the fleet
    Read,
    /// Also issue, rotate and withdraw keys
    Keys,
    /// Make any change
    All,
}

/// Read and change teams
#[derive(Debug)]
#[derive(Subcommand)]
pub enum TeamCommand {
    /// Print the teams and their token usage
    List,
    /// Add a team
    Add {
        /// Name of the team
        id: TeamId,

        /// Token rate over all hosts, such as 1500/s
        #[arg(long)]
        rate: TokenRate,

        /// Largest burst over all hosts, in tokens
        #[arg(long)]
        burst: TokenCount,

        /// Options for making the change
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Change a team
    Set {
        /// Name of the team
        id: TeamId,

        /// Token rate over all hosts, such as 1500/s
        #[arg(long, required_unless_present = "burst")]
        rate: Option<TokenRate>,

        /// Largest burst over all hosts, in tokens
        #[arg(long)]
        burst: Option<TokenCount>,

        /// Options for making the change
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Remove a team that nothing refers to
    Remove {
        /// Name of the team
        id: TeamId,

        /// Options for making the change
        #[command(flatten)]
        change: ChangeArguments,
    },
}

/// Read and change models
#[derive(Debug)]
#[derive(Subcommand)]
pub enum ModelCommand {
    /// Print the models and their states
    List,
    /// Print one model
    Show {
        /// Name of the model
        id: ModelId,
    },
    /// Add a model; fields not given take their defaults
    Add {
        /// Name of the model
        id: ModelId,

        /// Fields of the model
        #[command(flatten)]
        fields: ModelFields,

        /// Options for making the change
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Change a model; fields not given keep their values
    Set {
        /// Name of the model
        id: ModelId,

        /// Fields of the model
        #[command(flatten)]
        fields: ModelFields,

        /// Options for making the change
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Remove a model that nothing refers to
    Remove {
        /// Name of the model
        id: ModelId,

        /// Options for making the change
        #[command(flatten)]
        change: ChangeArguments,
    },
}

/// Fields of a model
#[derive(Clone, Debug, Default)]
#[derive(Args)]
#[group(required = true, multiple = true)]
pub struct ModelFields {
    /// Version of the weights that new loads use
    #[arg(long = "model-version", value_name = "LABEL")]
    pub version: Option<String>,

    /// Accelerator memory of the weights, such as 14GiB
    #[arg(long)]
    pub memory: Option<ByteSize>,

    /// Accelerator memory reserved for the KV cache, such as 2GiB
    #[arg(long)]
    pub kv_reserve: Option<ByteSize>,

    /// Number of slots while the model is idle; a slot lets one runner load a replica
    #[arg(long)]
    pub slots: Option<u32>,

    /// Largest number of slots
    #[arg(long)]
    pub max_slots: Option<u32>,

    /// Requests that one replica runs concurrently
    #[arg(long)]
    pub concurrency: Option<u32>,

    /// Largest output of one request, in tokens
    #[arg(long)]
    pub max_output: Option<TokenCount>,

    /// Time within which a request is answered or refused, in seconds
    #[arg(long)]
    pub deadline_seconds: Option<f64>,
}
